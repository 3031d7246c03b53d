"""Fronts: the wires on which requests come in. Each turns its own into what the core takes."""
