"""Simulation of the membership and the budgets on a virtual clock, without I/O.

Faults are drawn from seeds, invariants are checked during a run, and planted bugs test the checks.
"""
