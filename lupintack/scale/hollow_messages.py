"""Messages between the coordinator and the processes of a scale run: MessagePack frames on pipes."""

from __future__ import annotations

import struct
from typing import BinaryIO

import msgspec

from lupintack.scale.hollow_plan import BudgetPlan, RegionSetup, RouterPlan

MAX_TICK_DELAY_US = 500_000  # a larger delay means that the router does not keep up
LENGTH = struct.Struct(">I")


# To a process of hollow routers


class Setup(msgspec.Struct, frozen=True, tag=True):
    """The first frame: the whole fleet, and the routers that this process runs."""

    seed: int
    fleet: str
    secret: str
    routers: tuple[RouterPlan, ...]
    assigned: tuple[str, ...]
    voters: tuple[str, ...]
    budgets: tuple[BudgetPlan, ...]
    discovery: tuple[str, ...]  # addresses; a router's number selects one
    tmp: str
    settings_file: str
    regions: tuple[RegionSetup, ...] = ()  # with allocators of their own; empty: budgets have one level


class Start(msgspec.Struct, frozen=True, tag=True):
    """Start these routers, with a bounded number joining at a time."""

    names: tuple[str, ...]


class Kill(msgspec.Struct, frozen=True, tag=True):
    """End these routers without notice; their ports refuse connections from then on."""

    names: tuple[str, ...]


class Leave(msgspec.Struct, frozen=True, tag=True):
    """Make these routers announce that they leave, and end them a second later."""

    names: tuple[str, ...]


class Pause(msgspec.Struct, frozen=True, tag=True):
    """Pause these routers, with their sockets open."""

    names: tuple[str, ...]


class Resume(msgspec.Struct, frozen=True, tag=True):
    """Resume these routers."""

    names: tuple[str, ...]


class Cut(msgspec.Struct, frozen=True, tag=True):
    """Cut these routers off from all others, and from discovery if `discovery` is set."""

    number: int
    names: tuple[str, ...]
    discovery: bool = True


class Heal(msgspec.Struct, frozen=True, tag=True):
    """End a cut."""

    number: int


class ChangeSettings(msgspec.Struct, frozen=True, tag=True):
    """Make each router read the changed settings file."""

    written_unix_ms: float


class StartMeasurement(msgspec.Struct, frozen=True, tag=True):
    """Start the measurement and reset the counters."""


class Finish(msgspec.Struct, frozen=True, tag=True):
    """Send the results, and end."""


Command = (
    Setup | Start | Kill | Leave | Pause | Resume | Cut | Heal | ChangeSettings | StartMeasurement | Finish
)


# To a process of the discovery stand-in


class Publish(msgspec.Struct, frozen=True, tag=True):
    """An event for all watchers, as JSON."""

    event: bytes


# From a process of hollow routers


class Status(msgspec.Struct, frozen=True, tag=True):
    """The state of the process's routers, sent twice a second."""

    running: int
    starting: int
    joined: int
    min_members: int
    max_members: int
    views: tuple[int, ...]  # distinct view ids, a few at most
    watching: int  # routers that have received data from discovery
    allocators: tuple[str, ...]  # the routers that are the fleet's allocator
    region_allocators: int
    removals: int  # removals of members reported by all its routers
    behind: int


class LifecycleEvent(msgspec.Struct, frozen=True, tag=True):
    """A router was started, killed, paused, resumed or left at this time of the monotonic clock."""

    kind: str
    name: str
    at_us: int


class Removal(msgspec.Struct, frozen=True):
    """An observer reported the removal of these members."""

    at_us: int
    observer: str
    names: tuple[str, ...]


class LeaseStatus(msgspec.Struct, frozen=True):
    """Amounts that a router held for an interval, as (budget index, units) without zero amounts."""

    from_us: int
    until_us: int
    amounts: tuple[tuple[int, int], ...]


class Usage(msgspec.Struct):
    """Resources that a part of a router has used since the start of the measurement."""

    cpu_ns: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class RouterReport(msgspec.Struct, frozen=True):
    """Results of one run of a router, from its start or that of the measurement to its end."""

    name: str
    measured_us: int
    voter: bool
    allocator: bool
    region_allocator: bool
    membership: Usage
    budgets: Usage
    discovery: Usage
    settings: Usage
    max_tick_delay_us: int  # the largest delay of its ticks
    leases: tuple[LeaseStatus, ...]


class Finished(msgspec.Struct, frozen=True, tag=True):
    """All results of a process."""

    routers: tuple[RouterReport, ...]
    removals: tuple[Removal, ...]
    purge_ms: dict[int, int]  # number of purges by their delay to a router in milliseconds
    change_ms: dict[int, int]  # the same for list and settings changes
    exceptions: int  # caught and logged
    loop_cpu_ns: int  # of the whole thread since the start of the measurement
    max_turn_us: int  # the longest iteration of its event loop
    max_turn_cpu_ns: int  # the largest processor time of an iteration


class Address(msgspec.Struct, frozen=True, tag=True):
    """The address of a discovery stand-in."""

    address: str


Reply = Status | LifecycleEvent | Finished | Address

encoder = msgspec.msgpack.Encoder()
command_decoder: msgspec.msgpack.Decoder[Command | Publish] = msgspec.msgpack.Decoder(Command | Publish)
reply_decoder: msgspec.msgpack.Decoder[Reply] = msgspec.msgpack.Decoder(Reply)


def encode_frame(message: Command | Publish | Reply) -> bytes:
    """Encode a message with its length prefix."""
    raw = encoder.encode(message)
    return LENGTH.pack(len(raw)) + raw


class FrameBuffer:
    """Splits the bytes of a pipe into frames."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Append bytes and return the frames that are complete."""
        self.buffer += data
        frames = []
        while len(self.buffer) >= LENGTH.size:
            end = LENGTH.size + LENGTH.unpack_from(self.buffer)[0]
            if len(self.buffer) < end:
                break
            frames.append(bytes(self.buffer[LENGTH.size : end]))
            del self.buffer[:end]
        return frames


def read_frame(pipe: BinaryIO) -> bytes | None:
    """Read the next frame of a blocking pipe; return None at its end."""
    header = pipe.read(LENGTH.size)
    if len(header) < LENGTH.size:
        return None
    length = LENGTH.unpack(header)[0]
    body = pipe.read(length)
    return body if len(body) == length else None
