"""Stand-ins and the frame of the cases of the second review."""
