"""Stand-ins for the review's scripts: executors, links, and a small site."""
