"""Budgets of the whole fleet, allocated to its routers by leases and epochs. No I/O: docs/budgets.md has the
promise.
"""
