"""The operators' bans of one router: applied to the member table, and saved in the router's folder.

A change is applied first and saved afterwards; a failed save is retried on top of the folder's content at
that time. Not thread-safe: the admin service calls it under its own lock.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

from lupintack.clock import now_us, unix_now_ms
from lupintack.core.member_table import MemberTable
from lupintack.lifecycle import bans as bans_module
from lupintack.lifecycle.bans import Bans
from lupintack.lifecycle.folder import LOCK_TIMEOUT_S, Folder, folder_path, read_ban_files
from lupintack.logs import LineLimit, fields

LOG = logging.getLogger("bans")
BanChange = Callable[[Bans, str, float], bool]
MAX_LINES_PER_S = 2  # log lines about an unusable folder
RETRY_INTERVAL_S = 0.5


class FolderLocation(NamedTuple):
    """The parameters that identify a router's folder."""

    base: str
    name: str
    listen: str


class UnsavedChange(NamedTuple):
    """The last change to one member's ban, applied in this process and not saved yet."""

    change: BanChange
    at_ms: float  # Unix time


class BanKeeper:
    """Applies bans and saves them in the folder shared with the router's other processes."""

    def __init__(self, member_table: MemberTable) -> None:
        """Start without a folder; `join` opens it."""
        self.member_table = member_table
        self.location: FolderLocation | None = None  # also set while the folder can't be used
        self.folder: Folder | None = None
        self.folder_error_limit = LineLimit(MAX_LINES_PER_S)
        self.unreadable_limit = LineLimit(MAX_LINES_PER_S)
        self.are_bans_unreadable = False  # the folder has saved bans, and none could be read at the last join
        self.unsaved_changes: dict[str, UnsavedChange] = {}  # by member
        self.last_attempt_us = 0

    def change(self, name: str, change: BanChange) -> str:
        """Apply and save a change of a member's ban; return the error if saving failed, or ""."""
        now_ms = unix_now_ms()
        bans = copy_of(self.member_table.bans)
        change(bans, name, now_ms)
        self.member_table.set_bans(bans)  # before saving: it must apply even if the disk fails
        if self.location is None:
            return ""
        self.unsaved_changes[name] = UnsavedChange(change, now_ms)
        if self.folder is None:
            return "the folder can't be used"
        return self.save(self.folder, LOCK_TIMEOUT_S)

    def save(self, folder: Folder, timeout_s: float) -> str:
        """Save the unsaved changes on top of the folder's bans; return the error if that failed, or ""."""
        self.last_attempt_us = now_us()
        try:
            with folder.locked(timeout_s):
                bans = self.with_unsaved_changes(self.load() or copy_of(self.member_table.bans))
                folder.write_bans(bans.dump())
        except OSError as error:
            LOG.error("bans not saved", extra=fields(reason=error))
            return str(error)
        self.unsaved_changes.clear()
        self.member_table.set_bans(bans)
        return ""

    def with_unsaved_changes(self, bans: Bans) -> Bans:
        """Apply the unsaved changes to bans that were loaded, and return them.

        Otherwise a ban that is applied in this process alone would be lifted by the next successful save.
        """
        for name, unsaved in self.unsaved_changes.items():
            unsaved.change(bans, name, unsaved.at_ms)
        return bans

    def load(self) -> Bans | None:
        """Return the bans saved in the folder; log an error and return None if none are valid."""
        if self.folder is None:
            return None
        try:
            return self.first_valid(self.folder.read_bans())
        except OSError as error:
            if self.folder_error_limit.allow(now_us()) >= 0:
                LOG.error("saved bans unreadable", extra=fields(file=self.folder.bans_path, reason=error))
            return None

    def first_valid(self, texts: list[bytes]) -> Bans | None:
        """Return the first saved state that is valid, or None: a crash may have truncated one of them."""
        for number, text in enumerate(texts):
            try:
                return bans_module.parse(text)
            except bans_module.BansError as error:
                LOG.error("saved bans invalid", extra=fields(copy=number, reason=error))
        return None

    def join(self, phase: str) -> bool:
        """Register this process in the folder with its phase and load the bans; return whether both worked.

        Raises ValueError if the location is not set.
        """
        location = self.location
        if location is None:
            raise ValueError("the folder's location is not set")
        self.last_attempt_us = now_us()
        try:
            if self.folder is None:
                self.folder = Folder(*location)
                self.folder.write_phase(phase)
            texts = self.folder.read_bans()
        except OSError as error:
            if self.folder_error_limit.allow(now_us()) >= 0:
                LOG.error("shared folder unusable", extra=fields(reason=error))
            try:
                texts = read_ban_files(folder_path(location.base, location.name, location.listen))
            except OSError as unreadable:
                self.are_bans_unreadable = True
                if self.unreadable_limit.allow(now_us()) >= 0:
                    LOG.error("saved bans unreadable", extra=fields(reason=unreadable))
                return False
        self.are_bans_unreadable = False
        saved = self.first_valid(texts)
        if saved is not None and saved != self.member_table.bans:
            self.member_table.set_bans(self.with_unsaved_changes(saved))
            if saved.excluded:
                LOG.info("bans loaded", extra=fields(excluded=",".join(sorted(saved.excluded))))
        return self.folder is not None

    def refresh(self, phase: str) -> None:
        """Load bans that another process has saved, and retry failed saves."""
        if (
            self.folder is None
            and self.location is not None
            and now_us() - self.last_attempt_us >= RETRY_INTERVAL_S * 1e6
        ):
            self.join(phase)
        folder = self.folder
        if folder is None:
            return
        if self.unsaved_changes and now_us() - self.last_attempt_us >= RETRY_INTERVAL_S * 1e6:
            self.save(folder, 0.0)
        if not folder.bans_changed():
            return
        saved = self.load()
        if saved is not None:
            saved = self.with_unsaved_changes(saved)
        if saved is not None and saved != self.member_table.bans:
            self.member_table.set_bans(saved)
            LOG.info("bans taken over", extra=fields(excluded=",".join(sorted(saved.excluded))))

    def close(self) -> None:
        """Close the folder; the saved bans stay in it."""
        self.location = None
        folder, self.folder = self.folder, None
        if folder is not None:
            folder.close()


def copy_of(bans: Bans) -> Bans:
    """Return a copy that may be modified: the member table's own bans never are."""
    return Bans(dict(bans.excluded), dict(bans.included))
