"""Files in `$TMPDIR` shared by the processes of one router name: stored votes, and the lock of the name.

During an upgrade, only the process that holds the lock votes and has the name's reservations.
"""

from __future__ import annotations

import fcntl
import hashlib
import logging
import os
from pathlib import Path

from lupintack.budgets import vote_file
from lupintack.budgets.hierarchy import Level
from lupintack.budgets.terms import Terms
from lupintack.budgets.voter import Promise
from lupintack.logs import fields

LOG = logging.getLogger("budgets")
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
LOCK_RETRY_US = 1_000_000
FILE_MODE = 0o600


def read_boot_id() -> str:
    """Return the kernel's boot id; "" if it can't be read."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


def file_key(fleet: str, name: str) -> str:
    """Return the part of a file name that identifies a router name in a fleet."""
    return hashlib.blake2b(f"{fleet}\0{name}".encode(), digest_size=8).hexdigest()


class VoteFiles:
    """The stored promises of a router name's voter, one file for each level."""

    def __init__(self, name: str, fleet: str, region: str | None, tmp: str, terms: Terms) -> None:
        """`region`: None if budgets have one level; `tmp`: the directory, "" for none."""
        self.name, self.terms = name, terms
        self.boot_id = read_boot_id()
        self.groups = {Level.FLEET: fleet}
        if region is not None:
            self.groups[Level.REGION] = f"{fleet}/{region}"
        self.paths: dict[Level, Path] = {}
        if tmp:
            base = f"lupintack-vote-{file_key(fleet, name)}"
            names = {level: base if region is None else f"{base}-{level.value}" for level in self.groups}
            self.paths = {level: Path(tmp) / file_name for level, file_name in names.items()}

    def read(self, level: Level, now_us: int) -> Promise | None:
        """Return the previous process's promise at this level; None if there is no valid file."""
        path = self.paths.get(level)
        if path is None:
            return None
        try:
            raw = path.read_bytes()
        except OSError:
            return None
        return vote_file.decode_promise(raw, self.name, self.groups[level], self.boot_id, self.terms, now_us)

    def write(self, level: Level, promise: Promise) -> bool:
        """Replace a level's file atomically, before the vote is sent; return whether that succeeded."""
        path = self.paths.get(level)
        if path is None:
            return False
        temporary_path = path.with_suffix(".new")
        try:
            temporary_path.write_bytes(
                vote_file.encode_promise(promise, self.name, self.groups[level], self.boot_id)
            )
            os.replace(temporary_path, path)
        except OSError as error:
            LOG.error("promise could not be stored and is not sent", extra=fields(reason=error))
            return False
        return True


class NameLock:
    """The lock of a router name, which a process holds until it ends.

    Without it both processes of an upgrade would vote under the name. The older process's last promise is
    read after that process has ended, not when this one starts.
    """

    def __init__(self, name: str, fleet: str, tmp: str) -> None:
        """`tmp`: the directory; with "" the lock is never acquired."""
        self.path = Path(tmp) / f"lupintack-name-{file_key(fleet, name)}" if tmp else None
        self.descriptor = -1
        self.next_try_us = 0

    @property
    def is_held(self) -> bool:
        """Whether this process holds the lock."""
        return self.descriptor >= 0

    def try_acquire(self, now_us: int) -> bool:
        """Try to acquire the lock, at most every LOCK_RETRY_US; return whether this call acquired it."""
        if self.is_held or self.path is None or now_us < self.next_try_us:
            return False
        self.next_try_us = now_us + LOCK_RETRY_US
        try:
            descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        except OSError:
            return False
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return False
        self.descriptor = descriptor
        return True

    def close(self) -> None:
        """Release the lock for good."""
        if self.is_held:
            os.close(self.descriptor)
            self.descriptor, self.path = -1, None
