"""Decisions about limits, without I/O; callers pass in the time and random numbers."""
