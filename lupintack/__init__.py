"""Decisions of a router: where objects are served, kept and filled from."""
