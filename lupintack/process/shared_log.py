"""A log in a file that the processes of one router share: a ring of records, the oldest of which expire.

Writers hold the file's lock. Readers don't: a reader compares the head in the header, which is mapped into
its memory, with its own position. Positions count all bytes ever written, so the ring's end needs no marker.
"""

from __future__ import annotations

import logging
import mmap
import os
import struct
import threading
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple, NoReturn

from lupintack.clock import now_us
from lupintack.core.record_log import DamagedLogError, OnRecord, RecordLogError
from lupintack.lifecycle.folder import lock_file, unlock_file
from lupintack.logs import fields

LOG = logging.getLogger("process")
MAGIC = b"lupinlog"
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
BOOT_ID_BYTES = 36
HEADER = struct.Struct("=8sQQ36s")  # magic, head, tail, boot id
POSITION = struct.Struct("=Q")
HEAD_OFFSET = 8
TAIL_OFFSET = 16
DATA_OFFSET = 4096  # the header has a page of its own
RECORD = struct.Struct("=IIq")  # length and checksum of the payload, and when it expires
LOCK_TIMEOUT_S = 0.2  # a writer may be stopped while it holds the lock
LOCK_RETRY_INTERVAL_S = 0.0005  # a writer holds it for some microseconds
START = -1  # position of a process that has read nothing


class Positions(NamedTuple):
    """Where the next record begins, and the oldest one that is kept."""

    head: int
    tail: int


class Record(NamedTuple):
    """A record and where the next one begins."""

    payload: bytes
    expires_us: int
    next_position: int


class SharedLog:
    """One log, opened by one process; see `core.record_log`. Records expire on the monotonic clock."""

    def __init__(
        self,
        name: str,
        capacity_bytes: int,
        lock_timeout_s: float = LOCK_TIMEOUT_S,
        reads_expired: bool = False,
    ) -> None:
        """`name`: of the file in the router's folder. Nothing is shared before `open`.

        `reads_expired`: a record expires only for processes that start later. One that has followed the log
        since before that reads it however late, or hears of damage if the log doesn't have it any more.
        """
        self.name = name
        self.lock_timeout_s = lock_timeout_s
        self.capacity_bytes = capacity_bytes
        self.reads_expired = reads_expired
        self._created_us = now_us()
        self._lock = threading.Lock()  # guards all but `_position`, which any thread reads
        self._fd = -1
        self._header: mmap.mmap | None = None
        self._position = START

    @property
    def is_open(self) -> bool:
        """Whether records are shared."""
        return self._header is not None

    def open(self, folder: Path) -> None:
        """Open or create the file; raise RecordLogError if that fails."""
        with self._lock:
            try:
                self._fd = os.open(folder / self.name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
                lock_file(self._fd, self.lock_timeout_s, LOCK_RETRY_INTERVAL_S)
                try:
                    self._initialize()
                finally:
                    unlock_file(self._fd)
                self._header = mmap.mmap(self._fd, DATA_OFFSET, prot=mmap.PROT_READ)
            except (OSError, ValueError) as error:
                self._close()
                raise RecordLogError(f"{folder / self.name}: {error}") from None

    def close(self) -> None:
        """Stop sharing; the file stays."""
        with self._lock:
            self._close()

    def close_if_removed(self) -> bool:
        """Stop sharing if the file was removed, as no other process finds it then; return whether it was."""
        with self._lock:
            try:
                is_removed = self._header is not None and os.fstat(self._fd).st_nlink == 0
            except OSError:
                is_removed = True
            if is_removed:
                self._close()
        return is_removed

    def has_unread(self) -> bool:
        """Return whether another process has added records; does not block."""
        header = self._header
        return header is not None and POSITION.unpack_from(header, HEAD_OFFSET)[0] != self._position

    def poll(self, on_record: OnRecord) -> None:
        """Read the new records; raise RecordLogError if that is not possible now."""
        with self._lock:
            self._require_open()
            try:
                self._read(on_record)
            except OSError as error:
                raise self._typed(error) from None

    def update(self, on_record: OnRecord, create: Callable[[], bytes | None], lifetime_us: int) -> None:
        """Read the new records, then add one; see `core.record_log`."""
        with self._lock:
            self._require_open()
            try:
                lock_file(self._fd, self.lock_timeout_s, LOCK_RETRY_INTERVAL_S)
                try:
                    self._read(on_record)
                    payload = create()
                    if payload is not None:
                        self._append(payload, now_us() + lifetime_us)
                finally:
                    unlock_file(self._fd)
            except OSError as error:
                raise self._typed(error) from None

    def _close(self) -> None:
        # The mapping ends with its last use: `has_unread` may be reading it on another thread.
        fd, self._fd = self._fd, -1
        self._header, self._position = None, START
        if fd >= 0:
            os.close(fd)

    def _require_open(self) -> None:
        if self._header is None:
            raise RecordLogError(f"{self.name} is not open")

    def _typed(self, error: OSError) -> RecordLogError:
        """Return an error of the file as one of the log."""
        return error if isinstance(error, RecordLogError) else RecordLogError(f"{self.name}: {error}")

    def _initialize(self) -> None:
        """Write the header, unless the file has one of this boot: the clock begins anew with each."""
        boot_id = read_boot_id()
        raw = os.pread(self._fd, HEADER.size, 0)
        if len(raw) == HEADER.size:
            magic, _, _, written_boot_id = HEADER.unpack(raw)
            if (magic, written_boot_id) == (MAGIC, boot_id):
                return
        header = HEADER.pack(MAGIC, 0, 0, boot_id).ljust(DATA_OFFSET, b"\0")
        if os.pwrite(self._fd, header, 0) != len(header):
            raise OSError("the header was written in part")

    def _positions(self) -> Positions:
        _, head, tail, _ = HEADER.unpack(os.pread(self._fd, HEADER.size, 0))
        return Positions(head, tail)

    # Reading

    def _read(self, on_record: OnRecord) -> None:
        """Pass on the new records but those that have expired; see `reads_expired` for these."""
        head, tail = self._positions()
        position = self._skip_dropped(self._position, tail)
        while position < head:
            record = self._read_record(position, head)
            if record is None:
                # A writer has freed this place meanwhile, or the file is damaged.
                newest = self._positions()
                if newest.tail <= position:
                    self._lose_records(position, newest.head)
                position = self._skip_dropped(position, newest.tail)
                continue
            if self._matters(record):
                on_record(record.payload)
            position = record.next_position
        self._position = max(position, head)

    def _matters(self, record: Record) -> bool:
        return record.expires_us > (self._created_us if self.reads_expired else now_us())

    def _skip_dropped(self, position: int, tail: int) -> int:
        """Return where to read on if records up to `tail` were dropped, which all had expired."""
        if self.reads_expired and START < position < tail:
            self._lose_records(position, tail)
        return max(position, tail)

    def _lose_records(self, position: int, next_position: int) -> NoReturn:
        """Read on from `next_position` with the next call; raise DamagedLogError now."""
        self._position = next_position
        details = fields(log=self.name, position=position, next=next_position)
        LOG.error("shared log damaged", extra=details)
        raise DamagedLogError(f"{self.name} lacks records")

    def _read_record(self, position: int, head: int) -> Record | None:
        """Return the record at a position, None if there is none that is valid."""
        length, checksum, expires_us = RECORD.unpack(self._read_bytes(position, RECORD.size))
        if length > head - position - RECORD.size:
            return None
        payload = self._read_bytes(position + RECORD.size, length)
        if zlib.crc32(payload) != checksum:
            return None
        return Record(payload, expires_us, position + RECORD.size + length)

    def _read_bytes(self, position: int, count: int) -> bytes:
        """Return bytes of the ring, zeros where the file is too short."""
        offset = position % self.capacity_bytes
        first = min(count, self.capacity_bytes - offset)
        data = os.pread(self._fd, first, DATA_OFFSET + offset)
        if first < count:
            data = data.ljust(first, b"\0") + os.pread(self._fd, count - first, DATA_OFFSET)
        return data.ljust(count, b"\0")

    # Writing, with the file locked

    def _append(self, payload: bytes, expires_us: int) -> None:
        """Add a record behind all others, which have been read; raise RecordLogError if there is no room.

        The head is written last: until then readers don't see the record, and a failed write changes nothing.
        """
        record = RECORD.pack(len(payload), zlib.crc32(payload), expires_us) + payload
        head = self._make_room(len(record))
        self._write_bytes(head, record)
        self._write(POSITION.pack(head + len(record)), HEAD_OFFSET)
        self._position = head + len(record)

    def _make_room(self, count: int) -> int:
        """Drop expired records until `count` bytes are free; return the head."""
        head, tail = self._positions()
        first_tail, now = tail, now_us()
        while head + count - tail > self.capacity_bytes:
            record = self._read_record(tail, head) if tail < head else None
            if record is None or record.expires_us > now:
                raise RecordLogError(f"{self.name} is full")
            tail = record.next_position
        if tail != first_tail:
            self._write(POSITION.pack(tail), TAIL_OFFSET)
        return head

    def _write_bytes(self, position: int, data: bytes) -> None:
        offset = position % self.capacity_bytes
        first = min(len(data), self.capacity_bytes - offset)
        self._write(data[:first], DATA_OFFSET + offset)
        if first < len(data):
            self._write(data[first:], DATA_OFFSET)

    def _write(self, data: bytes, offset: int) -> None:
        if os.pwrite(self._fd, data, offset) != len(data):
            raise OSError("a record was written in part")


def read_boot_id() -> bytes:
    """Return the id of this boot of the machine, zeros if it is not known."""
    try:
        raw = BOOT_ID_FILE.read_bytes()
    except OSError:
        raw = b""
    return raw[:BOOT_ID_BYTES].ljust(BOOT_ID_BYTES, b"\0")
