"""Coordination layer: decisions as pure functions, and the actors that use them."""
