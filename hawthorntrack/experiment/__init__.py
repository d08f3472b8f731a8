"""Deployments on one machine, for the demo, trace replays and measurements.

Only the launcher in this package starts processes; the daemons never do.
"""
