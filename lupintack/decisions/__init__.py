"""Decisions of the router: `router.Router` turns events into actions; each other module has one concern.

lupintack/interface.py defines the types, events and actions. No module here does I/O or reads a clock; times
are milliseconds on the router's clock, passed in as `now_ms`.
"""
