"""Handlers of a server or a client for the events of an HTTP/2 connection."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from h2 import events

Header = tuple[bytes, bytes]


class Role:
    """Event handlers of the server or client of one connection; by default they do nothing.

    Methods run on the reader's thread without the connection's lock, unless documented otherwise. Those that
    run under the lock must neither block nor call the connection.
    """

    def on_headers(self, stream: int, headers: Sequence[Header]) -> None:
        """Handle the fields of a request at a server, of a response at a client."""

    def on_trailers(self, stream: int, headers: Sequence[Header]) -> None:
        """Handle the fields after a body."""

    def on_data(self, stream: int, data: bytes) -> None:
        """Handle a part of a body; its flow-control window has been returned."""

    def on_end(self, stream: int) -> None:
        """Handle the end of a request or a response."""

    def on_reset(self, stream: int, code: int) -> None:
        """Handle a stream that the peer has reset, or that h2 has reset for an error of the peer."""

    def on_goaway(self, last: int, code: int) -> None:
        """Handle a GOAWAY: the peer accepts no streams above `last`."""

    def on_pong(self) -> None:
        """Handle the answer to this side's PING."""

    def on_cost(self, kind: str) -> bool:
        """Count a frame of kind "control" or "window"; return False if the peer has sent too many.

        Runs under the connection's lock.
        """
        return True

    def on_closed(self, reason: str) -> None:
        """Handle the end of the connection; the last call, made once."""

    def on_written(self, stream: int, count: int, is_complete: bool) -> None:
        """Count framed bytes of a body; `is_complete`: they are its last. Runs under the lock."""

    def on_window_closed(self, stream: int) -> None:
        """Record that a stream, or the connection (0), waits for window. Runs under the lock."""

    def on_window_opened(self, stream: int) -> None:
        """Record that a stream, or the connection (0), has window again. Runs under the lock."""


def role_call(role: Role, event: events.Event) -> Callable[[], None] | None:
    """Return the call of the role for an event; None for events that the connection handles itself."""
    if isinstance(event, (events.RequestReceived, events.ResponseReceived)):
        stream, headers = event.stream_id, event.headers
        return lambda: role.on_headers(stream, headers)
    if isinstance(event, events.StreamEnded):
        stream = event.stream_id
        return lambda: role.on_end(stream)
    if isinstance(event, events.TrailersReceived):
        stream, headers = event.stream_id, event.headers
        return lambda: role.on_trailers(stream, headers)
    if isinstance(event, events.StreamReset):
        stream, code = event.stream_id, int(event.error_code or 0)
        return lambda: role.on_reset(stream, code)
    if isinstance(event, events.ConnectionTerminated):
        last, code = event.last_stream_id or 0, int(event.error_code or 0)
        return lambda: role.on_goaway(last, code)
    return None
