"""Stand-ins for the surrounding services: the platform's table and the targets."""
