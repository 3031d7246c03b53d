"""Connections to the router over HTTP/1.1: one attempt at a time on each, kept open between attempts."""

from __future__ import annotations

import http.client
import socket
from concurrent.futures import ThreadPoolExecutor

from lupintack.client.attempt import Attempt, Reply, reply_of_status
from lupintack.clock import now_us
from lupintack.limits.retries import ClientAttemptResult

CONNECT_S = 2.0


class Http1ConnectionPool:
    """A pool of up to `max_connections` connections, each used by one thread at a time."""

    def __init__(self, address: tuple[str, int], max_connections: int) -> None:
        """Start without a connection."""
        self.address = address
        self.pool = ThreadPoolExecutor(max_connections, "client connection")
        self.idle: list[http.client.HTTPConnection] = []

    def begin(self, attempt: Attempt) -> None:
        """Queue an attempt until a thread is free to send it."""
        self.pool.submit(self.run, attempt)

    def run(self, attempt: Attempt) -> None:
        """Send an attempt and report its result.

        An idle connection may have been closed by the router; an attempt that is unsafe to repeat gets a new
        one.
        """
        idle_connection = self.idle.pop() if attempt.safe and self.idle else None
        reply = self.send(idle_connection, attempt) if idle_connection is not None else None
        if reply is None or (idle_connection is not None and reply.why == "closed"):
            # The router closed the idle connection meanwhile: repeat once on a new one.
            reply = self.send(None, attempt)
        attempt.finish(reply)

    def send(self, connection: http.client.HTTPConnection | None, attempt: Attempt) -> Reply:
        """Send an attempt on a connection, or on a new one for None; return its result."""
        remaining_s = (attempt.deadline_us - now_us()) / 1e6
        if remaining_s <= 0:
            if connection is not None:
                connection.close()
            return Reply(ClientAttemptResult.NOT_PROCESSED, why="no time was left")
        if connection is None:
            connection = http.client.HTTPConnection(*self.address, timeout=min(CONNECT_S, remaining_s))
            try:
                connection.connect()
                connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError as error:
                connection.close()
                return Reply(
                    ClientAttemptResult.NOT_PROCESSED, why=f"no connection: {error.strerror or error}"
                )
        try:
            connection.sock.settimeout(remaining_s)
            connection.request(attempt.method, attempt.path, attempt.body or None, attempt.headers)
            response = connection.getresponse()
            body = response.read()
        except (http.client.RemoteDisconnected, ConnectionError):
            connection.close()
            return Reply(ClientAttemptResult.UNKNOWN, why="closed")
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return Reply(ClientAttemptResult.UNKNOWN, why=f"{type(error).__name__}: {error}")
        if response.will_close:
            connection.close()
        else:
            self.idle.append(connection)
        headers = {name.lower(): value for name, value in response.getheaders()}
        return reply_of_status(response.status, headers, body)

    def close(self) -> None:
        """Close the idle connections and cancel the queued attempts."""
        self.pool.shutdown(wait=False, cancel_futures=True)
        while self.idle:
            self.idle.pop().close()
