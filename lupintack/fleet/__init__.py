"""Threads and sockets between routers. They execute the actions that the modules without I/O return."""
