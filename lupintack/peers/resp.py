"""RESP, limited to arrays of bulk strings. Lengths are checked before memory is allocated."""

from __future__ import annotations

import socket
import time
from collections.abc import Sequence

from lupintack import sockets

MAX_LENGTH_LINE_BYTES = 64
MAX_TEXT_BYTES = 8192  # of an id, a word or the fields
MAX_BODY_BYTES = 240_000
MAX_STRINGS = 8
LEADING_TEXT_STRINGS = 3  # the strings of an array after these are bodies
READ_BYTES = 65536
STALL_TIMEOUT_S = 0.5  # without data within an array; ends the connection
LINE_END = b"\r\n"


class FrameError(ValueError):
    """The bytes are not what the protocol allows."""


class EndOfStreamError(EOFError):
    """The other side has closed the connection."""


def encode_command(*strings: bytes) -> bytes:
    """Return an array of bulk strings."""
    parts = [b"*%d\r\n" % len(strings)]
    for string in strings:
        parts.append(b"$%d\r\n" % len(string))
        parts.append(string)
        parts.append(LINE_END)
    return b"".join(parts)


class Reader:
    """Reads arrays of bulk strings from a blocking socket; one thread uses it.

    Each method raises FrameError for bytes that the protocol does not allow, EndOfStreamError if the other
    side has closed the connection, and OSError as the socket does.
    """

    def __init__(self, sock: socket.socket) -> None:
        """`sock`: its receive timeout bounds the wait for the rest of an array."""
        self.sock = sock
        self.buffer = bytearray()
        self.position = 0
        self.in_array = False

    def read_array(self) -> Sequence[bytearray]:
        """Return the strings of one array."""
        self.in_array = False
        count = self.read_length(b"*", MAX_STRINGS)
        self.in_array = True
        return [
            self.read_string(MAX_BODY_BYTES if index >= LEADING_TEXT_STRINGS else MAX_TEXT_BYTES)
            for index in range(count)
        ]

    def read_more(self) -> None:
        """Wait for data; raise FrameError if the socket times out within an array."""
        if self.position:
            del self.buffer[: self.position]
            self.position = 0
        while True:
            try:
                data = sockets.read(self.sock, READ_BYTES)
                break
            except BlockingIOError:
                if self.in_array or self.buffer:
                    raise FrameError("incomplete array") from None
        if not data:
            raise EndOfStreamError()
        self.buffer += data

    def read_length(self, prefix: bytes, maximum: int) -> int:
        """Return the length on a line that begins with `prefix`."""
        while (end := self.buffer.find(LINE_END, self.position)) < 0:
            if len(self.buffer) - self.position > MAX_LENGTH_LINE_BYTES:
                raise FrameError("length line too long")
            self.read_more()
        line = bytes(self.buffer[self.position : end])
        self.position = end + len(LINE_END)
        if line[:1] != prefix or not line[1:].isdigit() or len(line) > MAX_LENGTH_LINE_BYTES:
            raise FrameError(f"{prefix.decode()} and a length expected, not {line[:16]!r}")
        length = int(line[1:])
        if length > maximum:
            raise FrameError(f"length {length} is over the maximum ({maximum})")
        return length

    def read_string(self, maximum: int) -> bytearray:
        """Return one bulk string of at most `maximum` bytes."""
        size = self.read_length(b"$", maximum)
        length = size + len(LINE_END)
        if len(self.buffer) - self.position >= length:
            string = self.buffer[self.position : self.position + size]
            self.position += length
            check_line_end(self.buffer[self.position - len(LINE_END) : self.position])
            return string
        string = bytearray(length)
        received = min(length, len(self.buffer) - self.position)
        string[:received] = self.buffer[self.position : self.position + received]
        self.position += received
        self.receive_rest(string, received)
        check_line_end(string[size:])
        del string[size:]
        return string

    def receive_rest(self, string: bytearray, received: int) -> None:
        """Fill the rest of a string from the socket; `received`: bytes that it already has."""
        length = len(string)
        with memoryview(string) as view:
            while received < length:
                # One call for the whole string: each return to Python waits for the interpreter lock.
                try:
                    count = self.sock.recv_into(view[received:], length - received, socket.MSG_WAITALL)
                except BlockingIOError:
                    raise FrameError("incomplete bulk string") from None
                except OSError as error:
                    if not sockets.is_transient(error):
                        raise
                    time.sleep(sockets.RETRY_DELAY_S)
                    continue
                if not count:
                    raise EndOfStreamError()
                received += count


def check_line_end(data: bytearray) -> None:
    """Raise FrameError unless the bytes after a string are a line end."""
    if data != LINE_END:
        raise FrameError("no line end after a bulk string")


def parse_fields(raw: bytes | bytearray, separator: str = ",", assignment: str = "=") -> dict[str, str]:
    """Return the fields of `name=value,name=value`; `-` and an empty text mean none."""
    text = raw.decode("latin-1")
    if text in ("-", ""):
        return {}
    fields = {}
    for part in text.split(separator):
        name, mark, value = part.partition(assignment)
        if not mark:
            raise FrameError(f"field without {assignment}: {part[:32]!r}")
        fields[name] = value
    return fields
