"""How two processes of one router share its limits while an upgrade runs. Pure.

The two are one router: descriptors and memory are counted together, and a cold member's budget is the
router's, not the process's.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

HANDOFF_PART = 0.9  # of the memory that both processes and what is handed over may use together
PROCESS_MB = 24  # what one process needs without any copies of its own


class Side(Enum):
    """Who a process is in an upgrade."""

    ALONE = "alone"
    OLD = "old"  # there is a younger one
    NEW = "new"  # there is an older one


@dataclass(frozen=True)
class UpgradePeer:
    """Another living process of this router, as its file in the folder says."""

    pid: int
    born_ns: int
    phase: str


@dataclass(frozen=True)
class Share:
    """What a process may use of the router's limits."""

    member_sockets: int
    memory_mb: int  # from which the room for own copies is reckoned; 0: none
    processes: int  # that share each cold member's budget
    handoff_bytes: int = 0  # of own copies, that the old side may leave to the new one


CLOSED = "closed"  # of a process that ends, once it listens no more


class Listeners:
    """The kernel's table of the listeners on one port, as the youngest process follows it to steer by place.

    A listener that closes leaves its place to the last of the table. Danger: a place that is steered to and
    is empty makes the kernel spread new connections over all listeners, also to those about to close.
    """

    def __init__(self, older: list[UpgradePeer], mine: int) -> None:
        """In the order in which they began to listen."""
        self.mine = mine
        self.table = [o.pid for o in sorted(older, key=lambda o: (o.born_ns, o.pid))] + [mine]

    @property
    def place(self) -> int:
        """Where new connections are to go."""
        return self.table.index(self.mine)

    def look(self, others: list[UpgradePeer]) -> bool:
        """Whether the own place has changed, by what is left of the others."""
        before = self.place
        listening = {o.pid for o in others if o.phase != CLOSED} | {self.mine}
        for pid in [one for one in self.table if one not in listening]:
            at = self.table.index(pid)
            last = self.table.pop()
            if at < len(self.table):
                self.table[at] = last
        return self.place != before


def older_ends_first(mine: tuple[int, int], others: list[UpgradePeer], stopping: str) -> bool:
    """Whether a process that ends has to go on listening: an older one ends, too, and has not closed yet.

    Guards against connections that go to its queue in the moment in which the older one's place is empty.
    """
    younger = any((o.born_ns, o.pid) > mine for o in others)
    return younger and any((o.born_ns, o.pid) < mine and o.phase == stopping for o in others)


def side(born_ns: int, pid: int, others: list[UpgradePeer]) -> Side:
    """Which side of an upgrade a process is on; of several others the one that matters is any younger one."""
    if not others:
        return Side.ALONE
    return Side.OLD if any((o.born_ns, o.pid) > (born_ns, pid) for o in others) else Side.NEW


def share(which: Side, others: int, sockets: int, memory_mb: int, own: int) -> Share:
    """Descriptors to members, memory and budgets; `sockets` are those for members of a process alone, `own`
    what a further process needs for itself: it comes off before the rest is divided.
    """
    if which is Side.ALONE:
        return Share(sockets, memory_mb, 1)
    processes = others + 1
    each = max(8, (sockets - own * others) // processes)
    # Own copies go where the clients are going: the old side's give way at once.
    left = 0 if which is Side.OLD else max(0, memory_mb - PROCESS_MB * others)
    # What is left lies three times for a moment: in the old process, in the file, in the new one.
    spare = max(0.0, memory_mb * HANDOFF_PART - PROCESS_MB * processes) / 3
    return Share(each, left, processes, int(spare * 1e6) if which is Side.OLD else 0)
