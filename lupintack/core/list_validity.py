"""Validity of the endpoint list: the last proof that it was current, and when that proof expires."""

from __future__ import annotations

import threading

FOREVER_US = 1 << 62  # without a source that can prove the list, it is always current
NEVER_PROVED_MS = -1


class ListValidity:
    """The age of the endpoint list. Written by the table's thread except in `set_validity`; read by any."""

    def __init__(self) -> None:
        """Start with a list that is always current, as without discovery."""
        self.validity_us = FOREVER_US  # how long a proof is valid
        self.proved_us = FOREVER_US  # as of when the list was last proved current; 0: never
        self.valid_until_us = FOREVER_US  # checked at each write
        self.is_current = True  # the core has been notified that it is
        self.confirmed = threading.Event()  # set while a proof is in force
        self.confirmed.set()

    def require_proof(self, validity_us: int) -> None:
        """Start with a list of unknown age; from now on a proof is valid for `validity_us`."""
        self.validity_us, self.proved_us, self.valid_until_us = validity_us, 0, 0
        self.is_current = False
        self.confirmed.clear()

    def set_validity(self, validity_us: int, now_us: int) -> None:
        """Set how long a proof is valid, by new settings; FOREVER_US if discovery is no longer used."""
        if self.validity_us == FOREVER_US and validity_us != FOREVER_US:
            self.proved_us = now_us  # a list that was current without a proof counts as proved now
        self.validity_us = validity_us
        if validity_us == FOREVER_US:
            self.proved_us = self.valid_until_us = FOREVER_US
        elif self.proved_us:
            self.valid_until_us = self.proved_us + validity_us

    def confirm(self, proved_us: int, now_us: int) -> bool:
        """Record a proof as of `proved_us`; return whether it makes the list current."""
        if proved_us <= self.proved_us:
            return False
        self.proved_us = proved_us
        self.valid_until_us = proved_us + self.validity_us
        if self.is_current or self.has_expired(now_us):
            return False
        self.is_current = True
        return True

    def expire(self, now_us: int) -> bool:
        """Mark the list as no longer current if its proof has expired; return whether that was done."""
        if not self.is_current or not self.has_expired(now_us):
            return False
        self.is_current = False
        self.confirmed.clear()
        return True

    def has_expired(self, now_us: int) -> bool:
        """Return whether the last proof is no longer valid."""
        return now_us >= self.valid_until_us

    def wait_s(self, now_us: int) -> float | None:
        """Return how long the list stays valid, in seconds; None: until the next update."""
        if not self.is_current or self.valid_until_us >= FOREVER_US:
            return None
        return max(0.0, (self.valid_until_us - now_us) / 1e6)

    def proof_age_ms(self, now_us: int) -> int:
        """Return the age of the last proof that the list was current; NEVER_PROVED_MS without one."""
        return (now_us - self.proved_us) // 1000 if self.proved_us else NEVER_PROVED_MS
