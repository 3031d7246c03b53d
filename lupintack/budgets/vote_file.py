"""Format and validation of the file that keeps a voter's promise across process restarts. No I/O.

The monotonic clock continues across process restarts but not across reboots, so the file records the boot ID.
A file that is truncated, empty, of another voter, fleet or boot, or later than any possible promise is
rejected, and its voter abstains.
"""

from __future__ import annotations

import json
import zlib

from lupintack.budgets.messages import Epoch
from lupintack.budgets.terms import Terms
from lupintack.budgets.voter import Promise

MAX_BYTES = 2_000


def encode_promise(promise: Promise, voter: str, fleet: str, boot: str) -> bytes:
    """Return the file's contents: a checksum and the JSON object it covers."""
    fields = {
        "voter": voter,
        "fleet": fleet,
        "boot": boot,
        "epoch": promise.epoch,
        "until_us": promise.until_us,
        "top": promise.highest_counter,
    }
    body = json.dumps(fields).encode()
    return b"%08x %b\n" % (zlib.crc32(body), body)


def decode_promise(
    raw: bytes, voter: str, fleet: str, boot: str, terms: Terms, now_us: int
) -> Promise | None:
    """Return the promise in the file, or None if the file is invalid."""
    if not boot or len(raw) > MAX_BYTES or raw[8:9] != b" " or not raw.endswith(b"\n"):
        return None
    body = raw[9:-1]
    try:
        if int(raw[:8], 16) != zlib.crc32(body):
            return None
        fields = json.loads(body)
        if (fields["voter"], fields["fleet"], fields["boot"]) != (voter, fleet, boot):
            return None
        counter, name, start = fields["epoch"]
        until, highest_counter = fields["until_us"], fields["top"]
        numbers = (counter, start, until, highest_counter)
        well_formed = all(type(n) is int and n >= 0 for n in numbers) and type(name) is str
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
    if not well_formed or until > now_us + terms.promise_us or highest_counter < counter:
        return None
    return Promise(Epoch(counter, name, start), until, highest_counter)
