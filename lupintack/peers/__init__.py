"""Caches, parents and the origin: an actor a member, its connections, and the RESP that they speak."""
