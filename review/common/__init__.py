"""Stand-ins and tools that the cases share."""
