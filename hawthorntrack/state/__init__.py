"""What a process knows: values, slots, jobs, targets, documents and the table."""
