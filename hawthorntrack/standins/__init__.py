"""Small stand-ins for what surrounds the system: the table service and targets."""
