"""Decisions as plain functions, and the tasks that act on them."""
