"""Value types and local state: slots, jobs, targets, documents and the table."""
