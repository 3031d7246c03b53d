"""Applies the phases of a process, and coordinates its upgrades."""
