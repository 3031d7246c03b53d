"""Writes the bytes of frames to the kernel; a separate thread writes those that it does not accept now."""

from __future__ import annotations

import logging
import select
import socket
import threading
from collections.abc import Callable
from typing import Protocol

from lupintack import sockets
from lupintack.logs import fields

LOG = logging.getLogger("http2")
WRITE_TIMEOUT_MS = 10_000  # a peer that accepts no bytes for this long is disconnected


class WriterOwner(Protocol):
    """The connection whose frames are written."""

    lock: threading.RLock
    ended: bool

    def pump(self, from_writer: bool = False) -> None:
        """Frame more bytes and flush them; under the lock."""

    def abort(self, reason: str) -> None:
        """End the connection now."""

    def end_writing(self) -> None:
        """Shut down writing, after all frames have been written."""


class FrameWriter:
    """Buffer for the framed bytes of one connection; used under its lock."""

    def __init__(
        self, sock: socket.socket, owner: WriterOwner, spawn: Callable[[Callable[[], None], str], None]
    ) -> None:
        """`spawn`: runs a call on a new thread with the given name."""
        self.sock = sock
        self.owner = owner
        self.spawn = spawn
        self.framed = bytearray()
        self.has_thread = False
        self.is_closed = False  # the socket must not be used any more

    def flush(self, from_writer: bool = False) -> bool:
        """Write frames; return False if some remain for the writer's thread."""
        if self.is_closed or (self.has_thread and not from_writer):
            return not self.framed
        if not self.framed or self._write_now():
            return True
        if not from_writer:
            self.has_thread = True
            try:
                self.spawn(self._write_remaining, "http2 writer")
            except RuntimeError as error:
                LOG.error("can't start a writer thread", extra=fields(reason=error))
                self.owner.abort("no thread")
        return False

    def _write_now(self) -> bool:
        """Write as much as the kernel accepts without waiting; return whether all is written."""
        try:
            written = sockets.send_now(self.sock, self.framed)
        except OSError as error:
            self.owner.abort(f"broken: {error.strerror or error}")
            return True
        del self.framed[:written]
        return not self.framed

    def _write_remaining(self) -> None:
        """Write the bytes as fast as a slow peer accepts them; return when nothing can be written."""
        poll = select.poll()
        try:
            poll.register(self.sock, select.POLLOUT)
        except (OSError, ValueError):  # closed before this thread started
            self.has_thread = False
            return
        while True:
            ready = poll.poll(WRITE_TIMEOUT_MS)
            with self.owner.lock:
                if not ready:
                    self.owner.abort("the peer takes nothing")
                if not self.is_closed:
                    self.owner.pump(from_writer=True)
                if self.is_closed or not self.framed:
                    self.has_thread = False
                    if self.owner.ended and not self.is_closed:
                        self.owner.end_writing()
                    return
