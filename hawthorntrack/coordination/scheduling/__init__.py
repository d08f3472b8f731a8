"""Decisions on how waiting tasks share capacity: functions over values, without I/O."""
