"""Lines to the router over HTTP/1.1: one try at a time on each, kept open between tries."""

from __future__ import annotations

import http.client
import socket
from concurrent.futures import ThreadPoolExecutor

from lupintack.client.attempt import Attempt, Reply, whole
from lupintack.clock import now_us
from lupintack.limits.retries import ClientAttemptResult

CONNECT_S = 2.0


class Http1Lines:
    """Up to `most` connections, each used by one thread at a time."""

    def __init__(self, address: tuple[str, int], most: int) -> None:
        """Begin without a connection."""
        self.address = address
        self.pool = ThreadPoolExecutor(most, "client line")
        self.idle: list[http.client.HTTPConnection] = []

    def begin(self, attempt: Attempt) -> None:
        """Send it when a thread is free."""
        self.pool.submit(self.run, attempt)

    def run(self, attempt: Attempt) -> None:
        """One try. A kept connection may have ended: what may not run twice gets a new one."""
        kept = self.idle.pop() if attempt.safe and self.idle else None
        reply = self.ask(kept, attempt) if kept is not None else None
        if reply is None or (kept is not None and reply.why == "closed"):
            reply = self.ask(None, attempt)  # a close that crossed the request: again, once
        attempt.finish(reply)

    def ask(self, conn: http.client.HTTPConnection | None, attempt: Attempt) -> Reply:
        """On one connection."""
        left = (attempt.deadline_us - now_us()) / 1e6
        if left <= 0:
            if conn is not None:
                conn.close()
            return Reply(ClientAttemptResult.NOT_PROCESSED, why="no time was left")
        if conn is None:
            conn = http.client.HTTPConnection(*self.address, timeout=min(CONNECT_S, left))
            try:
                conn.connect()
                conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError as error:
                conn.close()
                return Reply(
                    ClientAttemptResult.NOT_PROCESSED, why=f"no connection: {error.strerror or error}"
                )
        try:
            conn.sock.settimeout(left)
            conn.request(attempt.method, attempt.path, attempt.body or None, attempt.headers)
            answer = conn.getresponse()
            body = answer.read()
        except (http.client.RemoteDisconnected, ConnectionError):
            conn.close()
            return Reply(ClientAttemptResult.UNKNOWN, why="closed")
        except (OSError, http.client.HTTPException) as error:
            conn.close()
            return Reply(ClientAttemptResult.UNKNOWN, why=f"{type(error).__name__}: {error}")
        if answer.will_close:
            conn.close()
        else:
            self.idle.append(conn)
        headers = {name.lower(): value for name, value in answer.getheaders()}
        return whole(answer.status, headers, body)

    def close(self) -> None:
        """The end of all of them."""
        self.pool.shutdown(wait=False, cancel_futures=True)
        while self.idle:
            self.idle.pop().close()
