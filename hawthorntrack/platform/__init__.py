"""Adapter to the users' platform: its wire formats and its HTTP calls."""
