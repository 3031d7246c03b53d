"""The core: requests in flight, attempts, and the actor that runs the decisions; no protocol code."""
