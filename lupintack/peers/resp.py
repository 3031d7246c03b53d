"""RESP as caches speak it: wants and other commands out, answers in. Bounds hold before memory is taken."""

from __future__ import annotations

import socket
import time
from collections.abc import Sequence

from lupintack import sockets

LINE_MOST = 64  # a length line
TEXT_MOST = 8192  # id, word or fields
BODY_MOST = 240_000  # what an object holds at most
PARTS_MOST = 8
READ = 65536
STALL_S = 0.5  # an answer that has begun and brings nothing more for so long has stopped short


class FrameError(ValueError):
    """The bytes are not what the protocol allows."""


class Ended(EOFError):
    """The other side has closed."""


def command(*words: bytes) -> bytes:
    """An array of bulk strings."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        parts.append(b"$%d\r\n" % len(word))
        parts.append(word)
        parts.append(b"\r\n")
    return b"".join(parts)


class Reader:
    """Reads arrays of bulk strings from a blocking socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = bytearray()
        self.at = 0
        self.inside = False  # an array has begun

    def more(self) -> None:
        """Wait for bytes; a socket with a read limit of its own ends an array that stops short."""
        if self.at:
            del self.buffer[: self.at]
            self.at = 0
        while True:
            try:
                data = sockets.read(self.sock, READ)
                break
            except BlockingIOError:
                if self.inside or self.buffer:
                    raise FrameError("an array stops short") from None
        if not data:
            raise Ended()
        self.buffer += data

    def number(self, mark: bytes, most: int) -> int:
        """A line of a mark and a length."""
        while (end := self.buffer.find(b"\r\n", self.at)) < 0:
            if len(self.buffer) - self.at > LINE_MOST:
                raise FrameError("a length line is too long")
            self.more()
        line = bytes(self.buffer[self.at : end])
        self.at = end + 2
        if line[:1] != mark or not line[1:].isdigit() or len(line) > LINE_MOST:
            raise FrameError(f"{mark.decode()} and a length are wanted, not {line[:16]!r}")
        length = int(line[1:])
        if length > most:
            raise FrameError(f"a length of {length}")
        return length

    def bulk(self, most: int) -> bytearray:
        """One bulk string."""
        size = self.number(b"$", most)
        if len(self.buffer) - self.at >= size + 2:
            out = self.buffer[self.at : self.at + size]
            self.at += size + 2
            if self.buffer[self.at - 2 : self.at] != b"\r\n":
                raise FrameError("a bulk string runs past its length")
            return out
        length = size + 2
        out = bytearray(length)
        have = min(length, len(self.buffer) - self.at)
        out[:have] = self.buffer[self.at : self.at + have]
        self.at += have
        view = memoryview(out)
        while have < length:
            # One call for the whole string: each return to Python costs a wait for the interpreter.
            try:
                got = self.sock.recv_into(view[have:], length - have, socket.MSG_WAITALL)
            except BlockingIOError:
                raise FrameError("a bulk string stops short") from None
            except OSError as error:
                if not sockets.passes(error):
                    raise
                time.sleep(sockets.PAUSE_S)
                continue
            if not got:
                raise Ended()
            have += got
        if out[size:] != b"\r\n":
            raise FrameError("a bulk string runs past its length")
        view.release()
        del out[size:]
        return out

    def array(self) -> Sequence[bytearray]:
        """One array; the last of its strings may be long."""
        self.inside = False
        count = self.number(b"*", PARTS_MOST)
        self.inside = True
        return [self.bulk(BODY_MOST if n >= 3 else TEXT_MOST) for n in range(count)]


def pairs(raw: bytes | bytearray, between: str = ",", within: str = "=") -> dict[str, str]:
    """FIELDS: name=value,name=value, or - for none."""
    text = raw.decode("latin-1")
    if text in ("-", ""):
        return {}
    out = {}
    for part in text.split(between):
        name, mark, value = part.partition(within)
        if not mark:
            raise FrameError(f"a field without {within}: {part[:32]!r}")
        out[name] = value
    return out
