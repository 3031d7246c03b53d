"""Fronts: the protocols by which clients send requests. Each converts them to the messages of the core."""
