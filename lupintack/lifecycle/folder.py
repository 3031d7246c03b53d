"""What the processes of one router leave for one another under `$TMPDIR`. The only I/O of this room.

A process holds a lock on a file of its own for as long as it lives, so that neither a crash nor a number that
comes again leaves a partner that is none. Files are replaced whole, and only under the folder's lock. The
bans stand in two files, each synced before it takes its name: whatever a crash cuts short, one of them is
whole.
"""

from __future__ import annotations

import contextlib
import fcntl
import hashlib
import json
import logging
import os
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import BinaryIO

from lupintack.lifecycle.upgrade_peer import UpgradePeer
from lupintack.logs import fields

LOG = logging.getLogger("lifecycle")
LOCK_S = 0.4  # an answer at the second address is due within 1 s, whatever holds the lock
LOCK_AGAIN_S = 0.005
FILE_MOST = 1 << 20
PEER_BYTES = 96  # of a process's own file
BANS = "bans.json"
BANS_COPY = "bans.copy.json"


class FolderError(OSError):
    """The folder can't be used; the text says how."""


def flock(fd: int, patience_s: float) -> None:
    """An exclusive lock; FolderError where another process keeps one for so long."""
    until = time.monotonic() + patience_s
    while True:
        try:
            return fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            if time.monotonic() >= until:
                raise FolderError("another process keeps the lock") from None
            time.sleep(LOCK_AGAIN_S)


def folder_path(base: str, name: str, listen: str) -> Path:
    """The folder of a router, whether it is there or not."""
    key = hashlib.blake2b(f"{name}\0{listen}".encode(), digest_size=8).hexdigest()
    return Path(base) / f"lupintack-{key}"


def read_bans(path: Path) -> list[bytes]:
    """What the files of bans in a folder hold, the first choice first; OSError where none can be read, and
    one is there.

    One that can be read will do: the copy is written first, and so is never older.
    """
    texts = []
    failed: OSError | None = None
    for name in (BANS, BANS_COPY):
        try:
            with open(path / name, "rb") as file:
                texts.append(file.read(FILE_MOST))
        except FileNotFoundError:
            continue
        except OSError as error:
            failed = error
    if failed is not None:
        if not texts:
            raise failed
        LOG.warning("a file of bans can't be read", extra=fields(reason=failed))
    return texts


def replace_file(path: Path, text: bytes) -> None:
    """Give a file new content, on the disk before it has the name; OSError leaves the old content."""
    new = path.with_name(f"{path.name}.{os.getpid()}.new")
    try:
        with open(new, "wb") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, path)
        sync_folder(path.parent)
    except OSError:
        with contextlib.suppress(OSError):
            new.unlink(missing_ok=True)
        raise


def sync_folder(path: Path) -> None:
    """Make new names in a folder last."""
    fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


class Folder:
    """One router's files: `lock`, `bans.json`, its copy, and `run.PID` of each living process."""

    def __init__(self, base: str, name: str, listen: str) -> None:
        self.path = folder_path(base, name, listen)
        self.pid = os.getpid()
        self.born_ns = time.monotonic_ns()
        self.seen: tuple[int, int, int] | None = None
        self.known: dict[str, UpgradePeer] = {}  # by the name of its file, as of the last look that told
        self.unsure = False  # the last look could not tell of all
        self.fd = -1
        try:
            self.path.mkdir(mode=0o700, exist_ok=True)
            with self.locked():
                self.fd = os.open(self.mine, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
                # A partner's look may hold it for the blink of an eye, between its making and this.
                flock(self.fd, LOCK_S)
                # Of unknown age: left to an earlier process of this number, which a crash ended. Nothing is
                # left to this one before it has told that it starts.
                if self.handoff_path.exists():
                    self.handoff_path.unlink()
        except OSError as error:
            if self.fd >= 0:
                os.close(self.fd)
            raise FolderError(f"{self.path} can't be used: {error.strerror or error}") from None
        self.tell("starting")

    @property
    def mine(self) -> Path:
        return self.path / f"run.{self.pid}"

    @property
    def handoff_path(self) -> Path:
        """What an older process leaves to this one."""
        return self.path / f"legacy.{self.pid}"

    @property
    def bans(self) -> Path:
        return self.path / BANS

    @contextlib.contextmanager
    def locked(self, patience_s: float = LOCK_S) -> Iterator[None]:
        """The folder's lock, for a moment; FolderError where another process keeps it."""
        fd = os.open(self.path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            flock(fd, patience_s)
            yield
        finally:
            os.close(fd)  # and the lock with it

    def tell(self, phase: str) -> bool:
        """How this process stands, for the other one; False where that can't be written now. One write: a
        reader sees the old text or the new.
        """
        text = json.dumps({"born_ns": self.born_ns, "phase": phase}).encode().ljust(PEER_BYTES)
        try:
            return os.pwrite(self.fd, text, 0) == len(text)
        except OSError as error:
            LOG.warning("own state can't be written", extra=fields(reason=error))
            return False

    def others(self) -> list[UpgradePeer]:
        """The other living processes of this router; what crashed ones left is removed.

        A call that fails says nothing of a process: until the next look it stands as it was known.
        """
        try:
            names = [n for n in os.listdir(self.path) if n.startswith("run.") and n != self.mine.name]
        except OSError:
            self.unsure = True
            return list(self.known.values())
        found = {}
        self.unsure = False
        for name in names:
            try:
                one = self.partner(name)
            except (OSError, ValueError, KeyError, TypeError, AttributeError):  # or it is just being written
                self.unsure = True
                one = self.known.get(name)
            if one is not None:
                found[name] = one
        self.known = found
        return list(found.values())

    def partner(self, name: str) -> UpgradePeer | None:
        """The living process that a file is of, None where there is none; an error where it can't be told."""
        try:
            fd = os.open(self.path / name, os.O_RDWR | os.O_CLOEXEC)
        except FileNotFoundError:
            return None
        try:
            try:
                fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except BlockingIOError:
                data = json.loads(os.read(fd, PEER_BYTES))
                return UpgradePeer(int(name.partition(".")[2]), int(data["born_ns"]), str(data["phase"]))
            # Made and not locked yet is told from left behind by the folder's lock, under which both happen.
            fcntl.flock(fd, fcntl.LOCK_UN)
        finally:
            os.close(fd)
        with contextlib.suppress(OSError):  # the next look tries again
            self.remove(name)
        return None

    def remove(self, name: str) -> None:
        with self.locked():
            fd = os.open(self.path / name, os.O_RDWR | os.O_CLOEXEC)
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                os.unlink(self.path / name)
                (self.path / name.replace("run.", "legacy.")).unlink(missing_ok=True)
            finally:
                os.close(fd)

    # The bans

    def changed(self) -> bool:
        """Whether the bans were written since they were last read."""
        return self.stamp() != self.seen

    def stamp(self) -> tuple[int, int, int] | None:
        try:
            stat = os.stat(self.bans)
        except OSError:
            return None
        return (stat.st_ino, stat.st_mtime_ns, stat.st_size)

    def read(self) -> list[bytes]:
        """The bans as they were last written, and their copy; empty where nobody has. OSError where they
        can't be read now: `changed` stays true.
        """
        stamp = self.stamp()
        texts = read_bans(self.path)
        self.seen = stamp
        return texts

    def write(self, text: bytes) -> None:
        """Replace the bans, whole, and their copy before them. Under the lock."""
        replace_file(self.path / BANS_COPY, text)
        replace_file(self.bans, text)
        self.seen = self.stamp()

    # What an old process leaves to a new one

    def leave(self, pid: int, records: Iterable[bytes]) -> None:
        """For the process with that number, whole or not at all."""
        new = self.path / f"legacy.{pid}.new"
        try:
            with open(new, "wb") as file:
                file.writelines(records)
            os.replace(new, self.path / f"legacy.{pid}")
        except OSError:
            new.unlink(missing_ok=True)
            raise

    def handoff(self) -> BinaryIO | None:
        """What was left to this process, None where nothing is; its name is gone once it is open. An OSError
        where it can't be opened now.
        """
        try:
            file = open(self.handoff_path, "rb")
        except FileNotFoundError:
            return None
        with contextlib.suppress(OSError):  # it goes with the next look, or with this process
            self.handoff_path.unlink(missing_ok=True)
        return file

    def close(self) -> None:
        """Leave: nothing of this process is found any more. The bans stay."""
        try:
            with self.locked():
                os.unlink(self.mine)
                self.handoff_path.unlink(missing_ok=True)
        except OSError:
            pass
        fd, self.fd = self.fd, -1  # a look that is under way must not write to a number given anew
        os.close(fd)
