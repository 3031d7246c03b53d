"""HTTP/2 on blocking sockets for clients and servers, on the library `h2`; independent of edge routers."""
