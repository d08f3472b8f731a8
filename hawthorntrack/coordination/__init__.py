"""Decisions as pure functions, and the actors that act on them."""
