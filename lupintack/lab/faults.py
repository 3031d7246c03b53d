"""Faults to inject into a simulation, drawn from a seed or read from a TOML script."""

from __future__ import annotations

import tomllib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

FAULT_KINDS = {
    "kill": "processes end; their ports refuse connections",
    "vanish": "hosts become unreachable permanently",
    "restart": "processes end and restart immediately, with the same names and addresses",
    "rolling": "processes are restarted gracefully, a few at a time",
    "leave": "processes leave the membership gracefully",
    "pause": "processes are paused and resumed",
    "loss": "a share of all datagrams is dropped",
    "delay": "datagrams are delayed in each direction",
    "double": "datagrams are duplicated and reordered",
    "oneway": "pairs of routers are cut off in one direction",
    "mute": "all datagrams from some routers are dropped",
    "deaf": "all datagrams to some routers are dropped",
    "site": "a site is cut off and reconnected",
    "halves": "the sites are partitioned into two islands",
    "islands": "the sites are partitioned into three islands, which are joined one after another",
    "flap": "a site is cut off and reconnected in alternate seconds",
    "flood": "corrupted, foreign and replayed datagrams",
    "join": "new routers join",
}


SECOND_US = 1_000_000
FIRST_FAULT_US = 6 * SECOND_US
FAULT_INTERVAL_US = 4 * SECOND_US
MAX_FAULT_OFFSET_US = 3 * SECOND_US
MAX_NAMES_FOR_ALL_PAIRS = 16
SCRIPT_KEYS = {"at_s", "kind", "for_s", "who", "size"}
# Shares of the processes to draw from; 0 stands for a single process.
PROCESS_FAULT_SHARES = {
    "kill": (0.0, 0.02, 0.1, 0.7),
    "vanish": (0.0, 0.02, 0.1),
    "leave": (0.0, 0.02, 0.1),
    "restart": (0.02, 0.3, 0.7),
}
# Duration in us and magnitude.
UNTARGETED_FAULTS = {
    "loss": (5 * SECOND_US, 0.1),
    "delay": (6 * SECOND_US, 2.0),
    "double": (6 * SECOND_US, 0.2),
    "flood": (5 * SECOND_US, 200.0),
}


class ScriptError(ValueError):
    """A script or a fault kind is invalid."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; the meaning of the targets (names, pairs or sites) and the magnitude depends on the kind."""

    at_us: int
    kind: str
    duration_us: int = 0
    targets: tuple[str, ...] = ()
    magnitude: float = 0.0

    def end_us(self) -> int:
        """Return when the fault ends."""
        return self.at_us + self.duration_us


def draw_faults(
    random: Random, names: Sequence[str], sites: dict[str, str], kinds: Sequence[str]
) -> list[Fault]:
    """Return two to four faults of these kinds, weighted equally, in the order of their times."""
    faults = []
    count = random.randint(2, 4)
    for number in range(count):
        kind = kinds[random.randrange(len(kinds))]
        at_us = FIRST_FAULT_US + number * FAULT_INTERVAL_US + random.randrange(MAX_FAULT_OFFSET_US)
        faults.append(draw_fault(random, names, sites, kind, at_us))
    return sorted(faults, key=lambda fault: fault.at_us)


def draw_fault(random: Random, names: Sequence[str], sites: dict[str, str], kind: str, at_us: int) -> Fault:
    """Return a fault of this kind with drawn targets and duration; raise ScriptError for an unknown kind."""
    site = random.choice(sorted(set(sites.values())))
    if kind in PROCESS_FAULT_SHARES:
        share = random.choice(PROCESS_FAULT_SHARES[kind])
        return Fault(at_us, kind, 0, _sample(random, names, share))
    if kind in UNTARGETED_FAULTS:
        duration_us, magnitude = UNTARGETED_FAULTS[kind]
        return Fault(at_us, kind, duration_us, magnitude=magnitude)
    match kind:
        case "rolling":
            return Fault(at_us, kind, 6 * SECOND_US, _sample(random, names, 0.3))
        case "pause":
            duration_us = random.choice((500_000, 3 * SECOND_US, 5 * SECOND_US))
            return Fault(at_us, kind, duration_us, _sample(random, names, random.choice((0.0, 0.05, 0.2))))
        case "oneway":
            return Fault(at_us, kind, 8 * SECOND_US, _sample_pairs(random, names))
        case "mute" | "deaf":
            return Fault(at_us, kind, 4 * SECOND_US, _sample(random, names, 0.0))
        case "site" | "flap":
            return Fault(at_us, kind, 6 * SECOND_US, (site,))
        case "halves" | "islands":
            return Fault(at_us, kind, random.choice((6, 15)) * SECOND_US)
        case "join":
            added = max(1, len(names) // 20)
            return Fault(at_us, kind, 0, tuple(f"new{at_us}-{number}" for number in range(added)))
    raise ScriptError(f"unknown fault kind {kind!r}; expected one of {', '.join(FAULT_KINDS)}")


def _sample(random: Random, names: Sequence[str], share: float) -> tuple[str, ...]:
    """Return a share of the names, at least one."""
    return tuple(sorted(random.sample(list(names), max(1, int(len(names) * share)))))


def _sample_pairs(random: Random, names: Sequence[str]) -> tuple[str, ...]:
    """Return pairs `sender>receiver`, half as many as there are names."""
    if len(names) <= MAX_NAMES_FOR_ALL_PAIRS:
        pairs = [f"{sender}>{receiver}" for sender in names for receiver in names if sender != receiver]
    else:
        drawn = (random.sample(list(names), 2) for _ in range(len(names) * 2))
        pairs = [f"{sender}>{receiver}" for sender, receiver in drawn]
    return tuple(sorted(set(random.sample(pairs, max(1, len(names) // 2)))))


def read_script(path: Path) -> list[Fault]:
    """Return the faults of a TOML file with tables `[[fault]]`; raise ScriptError if it is invalid."""
    try:
        data: dict[str, Any] = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScriptError(f"{path.name}: {error}") from None
    tables = data.get("fault", [])
    faults = [_parse_fault(table, f"{path.name}: fault[{number}]") for number, table in enumerate(tables)]
    return sorted(faults, key=lambda fault: fault.at_us)


def _parse_fault(table: dict[str, Any], place: str) -> Fault:
    unknown = set(table) - SCRIPT_KEYS
    if unknown or table.get("kind") not in FAULT_KINDS:
        raise ScriptError(f"{place}: {sorted(unknown) or table.get('kind')!r} is not a known key or kind")
    try:
        return Fault(
            at_us=int(float(table.get("at_s", 0)) * SECOND_US),
            kind=table["kind"],
            duration_us=int(float(table.get("for_s", 0)) * SECOND_US),
            targets=tuple(str(name) for name in table.get("who", [])),
            magnitude=float(table.get("size", 0)),
        )
    except (TypeError, ValueError, OverflowError):
        raise ScriptError(f"{place}: at_s, for_s and size must be numbers, and who a list of names") from None
