"""Allocation of fleet-wide budgets to routers by leases and epochs, without I/O.

docs/budgets.md states the invariant that the allocation guarantees.
"""
