"""What the coordinator and the processes of a scale run say to one another: MessagePack frames on pipes."""

from __future__ import annotations

import struct
from typing import BinaryIO

import msgspec

from lupintack.scale.hollow_plan import BudgetPlan, RegionSetup, RouterPlan

LENGTH = struct.Struct(">I")


# To a process of hollow routers


class Setup(msgspec.Struct, frozen=True, tag=True):
    """The first frame: the whole fleet, and which of its routers this process drives."""

    seed: int
    fleet: str
    secret: str
    routers: tuple[RouterPlan, ...]
    assigned: tuple[str, ...]
    voters: tuple[str, ...]
    budgets: tuple[BudgetPlan, ...]
    discovery: tuple[str, ...]  # addresses; a router's is given by its number
    tmp: str
    settings_file: str
    regions: tuple[RegionSetup, ...] = ()  # that allocate for their routers; none: budgets have one level


class Start(msgspec.Struct, frozen=True, tag=True):
    """Start these routers, as many at once as may join at once."""

    names: tuple[str, ...]


class Kill(msgspec.Struct, frozen=True, tag=True):
    """End these routers without a word; their ports refuse from then on."""

    names: tuple[str, ...]


class Leave(msgspec.Struct, frozen=True, tag=True):
    """These routers say that they leave, and end a second later."""

    names: tuple[str, ...]


class Pause(msgspec.Struct, frozen=True, tag=True):
    """These routers stand still, their sockets open."""

    names: tuple[str, ...]


class Resume(msgspec.Struct, frozen=True, tag=True):
    """They go on."""

    names: tuple[str, ...]


class Cut(msgspec.Struct, frozen=True, tag=True):
    """Nothing passes between these routers and all others, nor between them and discovery."""

    number: int
    names: tuple[str, ...]
    discovery: bool = True


class Heal(msgspec.Struct, frozen=True, tag=True):
    """A cut is over."""

    number: int


class ChangeSettings(msgspec.Struct, frozen=True, tag=True):
    """The settings file has changed: each router reads it."""

    written_unix_ms: float


class StartMeasurement(msgspec.Struct, frozen=True, tag=True):
    """The measurement begins: counters are zero from here on."""


class Finish(msgspec.Struct, frozen=True, tag=True):
    """Tell what was measured, and end."""


Command = (
    Setup | Start | Kill | Leave | Pause | Resume | Cut | Heal | ChangeSettings | StartMeasurement | Finish
)


# To a process of the discovery stand-in


class Publish(msgspec.Struct, frozen=True, tag=True):
    """An event for all watchers, as JSON."""

    event: bytes


# From a process of hollow routers


class Status(msgspec.Struct, frozen=True, tag=True):
    """How its routers are, about once a second."""

    running: int
    starting: int
    joined: int
    min_members: int
    max_members: int
    views: tuple[int, ...]  # the different view ids, a few at most
    watching: int  # routers whose connection to discovery has told something
    allocators: tuple[str, ...]  # of the fleet
    region_allocators: int
    removals: int  # members that were told to be gone, at all its routers together
    behind: int


class LifecycleEvent(msgspec.Struct, frozen=True, tag=True):
    """A fault of the script took place at this moment of the monotonic clock."""

    kind: str
    name: str
    at_us: int


class Removal(msgspec.Struct, frozen=True):
    """An observer told its users that these members have gone."""

    at_us: int
    observer: str
    names: tuple[str, ...]


class LeaseStatus(msgspec.Struct, frozen=True):
    """What a router could spend during a time: (budget's index, units), those of zero units left out."""

    from_us: int
    until_us: int
    amounts: tuple[tuple[int, int], ...]


class Usage(msgspec.Struct):
    """What a part of a router has used since the mark."""

    cpu_ns: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class RouterReport(msgspec.Struct, frozen=True):
    """One process of one router, from its start or the mark to its end."""

    name: str
    measured_us: int
    voter: bool
    allocator: bool
    region_allocator: bool
    membership: Usage
    budgets: Usage
    discovery: Usage
    settings: Usage
    max_tick_delay_us: int  # by how much it missed its own ticks at most
    leases: tuple[LeaseStatus, ...]


class Finished(msgspec.Struct, frozen=True, tag=True):
    """All that a process has measured."""

    routers: tuple[RouterReport, ...]
    removals: tuple[Removal, ...]
    purge_ms: dict[int, int]  # how many purges reached a router after so many milliseconds
    change_ms: dict[int, int]  # the same of list and settings changes
    exceptions: int  # exceptions that were caught and logged
    loop_cpu_ns: int  # of the whole thread since the mark
    max_turn_us: int  # the longest turn of its loop
    max_turn_cpu_ns: int  # and the most processor time of one


class Address(msgspec.Struct, frozen=True, tag=True):
    """Where a discovery stand-in listens."""

    address: str


Reply = Status | LifecycleEvent | Finished | Address

encoder = msgspec.msgpack.Encoder()
command_decoder: msgspec.msgpack.Decoder[Command | Publish] = msgspec.msgpack.Decoder(Command | Publish)
reply_decoder: msgspec.msgpack.Decoder[Reply] = msgspec.msgpack.Decoder(Reply)


def encode_frame(message: Command | Publish | Reply) -> bytes:
    """A message as it goes through a pipe."""
    raw = encoder.encode(message)
    return LENGTH.pack(len(raw)) + raw


class FrameBuffer:
    """Cuts the bytes of a pipe into frames."""

    def __init__(self) -> None:
        """No bytes yet."""
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are whole with these bytes."""
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
    """The next frame of a blocking pipe; None at its end."""
    header = pipe.read(LENGTH.size)
    if len(header) < LENGTH.size:
        return None
    length = LENGTH.unpack(header)[0]
    body = pipe.read(length)
    return body if len(body) == length else None
