"""Stand-ins on loopback for the peers of an edge router, used by tests, the demo and benchmarks."""
