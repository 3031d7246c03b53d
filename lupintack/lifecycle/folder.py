"""The folder under `$TMPDIR` that the processes of one router share; all I/O of this package.

Each process locks a file of its own until it exits, so a crash or a reused process id can't be mistaken for a
living peer. Files are replaced atomically, and only under the folder's lock. The bans are stored in two
files, each synced before it is renamed into place, so one of them is complete after a crash.
"""

from __future__ import annotations

import contextlib
import fcntl
import hashlib
import json
import logging
import os
import threading
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import BinaryIO, NamedTuple

from lupintack.lifecycle.upgrade_peer import ProcessAge, UpgradePeer
from lupintack.logs import fields

LOG = logging.getLogger("lifecycle")
LOCK_TIMEOUT_S = 0.4  # the admin address has to answer within 1 s, even if the lock is held
LOCK_RETRY_INTERVAL_S = 0.005
MAX_FILE_BYTES = 1 << 20
PEER_FILE_BYTES = 96
BANS_FILE = "bans.json"
BANS_COPY_FILE = "bans.copy.json"


class FolderError(OSError):
    """Raised for a folder that can't be used; the text gives the reason."""


def lock_file(fd: int, timeout_s: float, retry_interval_s: float = LOCK_RETRY_INTERVAL_S) -> None:
    """Take an exclusive lock; raise FolderError if another process holds one until the timeout."""
    until = time.monotonic() + timeout_s
    while True:
        try:
            return fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            if time.monotonic() >= until:
                raise FolderError("another process keeps the lock") from None
            time.sleep(retry_interval_s)


def unlock_file(fd: int) -> None:
    """Release the lock of `lock_file`."""
    fcntl.flock(fd, fcntl.LOCK_UN)


def folder_path(base: str, name: str, listen: str) -> Path:
    """Return the path of a router's folder, whether it exists or not."""
    key = hashlib.blake2b(f"{name}\0{listen}".encode(), digest_size=8).hexdigest()
    return Path(base) / f"lupintack-{key}"


def read_ban_files(path: Path) -> list[bytes]:
    """Return the contents of the ban files in a folder, the preferred file first.

    Raises OSError if a file exists and none can be read. One readable file is enough: the copy is written
    first and so is never older than the other.
    """
    texts = []
    failed: OSError | None = None
    for name in (BANS_FILE, BANS_COPY_FILE):
        try:
            with open(path / name, "rb") as file:
                texts.append(file.read(MAX_FILE_BYTES))
        except FileNotFoundError:
            continue
        except OSError as error:
            failed = error
    if failed is not None:
        if not texts:
            raise failed
        LOG.warning("bans file unreadable", extra=fields(reason=failed))
    return texts


def replace_file(path: Path, text: bytes) -> None:
    """Replace a file atomically with synced content; on an OSError the old content stays."""
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
    """Sync a folder, so that new names in it survive a crash."""
    fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


class BansStamp(NamedTuple):
    """Identifies one version of the bans file."""

    inode: int
    modified_ns: int
    size_bytes: int


class Folder:
    """One router's files: `lock`, `bans.json`, its copy, and `run.PID` of each living process.

    close() removes this process from the folder. Thread-safe.
    """

    def __init__(self, base: str, name: str, listen: str) -> None:
        """Open or create the folder, and lock this process's own file; raise FolderError on failure."""
        self.shares_keys = True
        self.phase = "starting"
        self.publish_lock = threading.Lock()
        self.path = folder_path(base, name, listen)
        self.pid = os.getpid()
        self.started_ns = time.monotonic_ns()
        self.read_stamp: BansStamp | None = None
        self.known_peers: dict[str, UpgradePeer] = {}  # by file name, as last read
        self.has_unreadable_peers = False  # in the last search
        self.own_fd = -1
        try:
            self.path.mkdir(mode=0o700, exist_ok=True)
            with self.locked():
                self.own_fd = os.open(
                    self.own_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600
                )
                # A peer's search may briefly hold the lock between the file's creation and this call.
                lock_file(self.own_fd, LOCK_TIMEOUT_S)
                # This is a handoff for a crashed process with the same id: none is written for this process
                # before it has published its phase.
                if self.handoff_path.exists():
                    self.handoff_path.unlink()
        except OSError as error:
            if self.own_fd >= 0:
                os.close(self.own_fd)
            raise FolderError(f"{self.path} can't be used: {error.strerror or error}") from None
        self.write_phase(self.phase)

    @property
    def age(self) -> ProcessAge:
        """The key that orders this process among its peers by start."""
        return ProcessAge(self.started_ns, self.pid)

    @property
    def own_path(self) -> Path:
        """This process's own file, locked until it exits."""
        return self.path / f"run.{self.pid}"

    @property
    def handoff_path(self) -> Path:
        """The file in which an older process writes its handoff for this one."""
        return self.path / f"legacy.{self.pid}"

    @property
    def bans_path(self) -> Path:
        """The bans file that is preferred to its copy."""
        return self.path / BANS_FILE

    @contextlib.contextmanager
    def locked(self, timeout_s: float = LOCK_TIMEOUT_S) -> Iterator[None]:
        """Hold the folder's lock; raise FolderError if another process holds it until the timeout."""
        fd = os.open(self.path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            lock_file(fd, timeout_s)
            yield
        finally:
            os.close(fd)  # releases the lock

    def write_phase(self, phase: str) -> bool:
        """Publish this process's phase to its peers; return False if it can't be written now.

        A single write, so a reader gets either the old text or the new one.
        """
        with self.publish_lock:
            self.phase = phase
            return self._publish()

    def write_shares_keys(self, shares_keys: bool) -> bool:
        """Publish whether this process's keys are all in the shared log; return False if that fails now."""
        with self.publish_lock:
            self.shares_keys = shares_keys
            return self._publish()

    def _publish(self) -> bool:
        state = {"born_ns": self.started_ns, "phase": self.phase, "purges": True, "keys": self.shares_keys}
        text = json.dumps(state, separators=(",", ":")).encode().ljust(PEER_FILE_BYTES)
        try:
            return os.pwrite(self.own_fd, text, 0) == len(text)
        except OSError as error:
            LOG.warning("phase not written", extra=fields(reason=error))
            return False

    def find_peers(self) -> list[UpgradePeer]:
        """Return the other living processes of this router, and remove the files of crashed ones.

        A peer whose file can't be read is returned as it was last known.
        """
        try:
            names = [n for n in os.listdir(self.path) if n.startswith("run.") and n != self.own_path.name]
        except OSError:
            self.has_unreadable_peers = True
            return list(self.known_peers.values())
        peers = {}
        self.has_unreadable_peers = False
        for name in names:
            try:
                peer = self.read_peer(name)
            except (OSError, ValueError, KeyError, TypeError, AttributeError):  # may be partly written
                self.has_unreadable_peers = True
                peer = self.known_peers.get(name)
            if peer is not None:
                peers[name] = peer
        self.known_peers = peers
        return list(peers.values())

    def read_peer(self, name: str) -> UpgradePeer | None:
        """Return the living process that owns a file, None if it is dead; raise if the file is unreadable."""
        try:
            fd = os.open(self.path / name, os.O_RDWR | os.O_CLOEXEC)
        except FileNotFoundError:
            return None
        try:
            try:
                fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except BlockingIOError:
                data = json.loads(os.read(fd, PEER_FILE_BYTES))
                shared = data.get("purges") is True, data.get("keys") is True
                pid = int(name.partition(".")[2])
                return UpgradePeer(pid, int(data["born_ns"]), str(data["phase"]), *shared)
            # A file that was just created may not be locked yet, so the removal checks again under the lock.
            fcntl.flock(fd, fcntl.LOCK_UN)
        finally:
            os.close(fd)
        with contextlib.suppress(OSError):  # the next search retries
            self.remove_dead_peer(name)
        return None

    def remove_dead_peer(self, name: str) -> None:
        """Remove the files of a dead process; raise OSError if it is alive."""
        with self.locked():
            fd = os.open(self.path / name, os.O_RDWR | os.O_CLOEXEC)
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                os.unlink(self.path / name)
                (self.path / name.replace("run.", "legacy.")).unlink(missing_ok=True)
            finally:
                os.close(fd)

    # Bans

    def bans_changed(self) -> bool:
        """Return whether the bans were written since this process last read them."""
        return self.bans_stamp() != self.read_stamp

    def bans_stamp(self) -> BansStamp | None:
        """Return the stamp of the bans file, None if it can't be read."""
        try:
            stat = os.stat(self.bans_path)
        except OSError:
            return None
        return BansStamp(stat.st_ino, stat.st_mtime_ns, stat.st_size)

    def read_bans(self) -> list[bytes]:
        """Return the stored bans and their copy; empty if there are none.

        Raises OSError if they can't be read now; `bans_changed` then stays true.
        """
        stamp = self.bans_stamp()
        texts = read_ban_files(self.path)
        self.read_stamp = stamp
        return texts

    def write_bans(self, text: bytes) -> None:
        """Replace the copy of the bans, then the bans. The caller holds the folder's lock."""
        replace_file(self.path / BANS_COPY_FILE, text)
        replace_file(self.bans_path, text)
        self.read_stamp = self.bans_stamp()

    # Handoffs

    def write_handoff(self, pid: int, records: Iterable[bytes]) -> None:
        """Write a handoff for a process atomically; raise OSError on failure."""
        new = self.path / f"legacy.{pid}.new"
        try:
            with open(new, "wb") as file:
                file.writelines(records)
            os.replace(new, self.path / f"legacy.{pid}")
        except OSError:
            new.unlink(missing_ok=True)
            raise

    def open_handoff(self) -> BinaryIO | None:
        """Open and unlink the handoff for this process; return None if there is none.

        Raises OSError if it can't be opened now.
        """
        try:
            file = open(self.handoff_path, "rb")  # noqa: SIM115 - the caller closes it
        except FileNotFoundError:
            return None
        with contextlib.suppress(OSError):  # the next call or close() removes it
            self.handoff_path.unlink(missing_ok=True)
        return file

    def close(self) -> None:
        """Remove this process's files; the bans stay."""
        try:
            with self.locked():
                os.unlink(self.own_path)
                self.handoff_path.unlink(missing_ok=True)
        except OSError:
            pass
        fd, self.own_fd = self.own_fd, -1  # another thread must not write to a reused descriptor
        os.close(fd)
