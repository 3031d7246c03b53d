"""Scale tests: what one role costs as the fleet grows, and hollow routers that run its control code."""
