"""Codec for budget messages in datagrams: `B`, the version, the fleet's authentication code, MessagePack.

Version 1 is for budgets with one level. Version 2 is for budgets with two levels and names the level.
Unreadable datagrams and those of the other version are rejected.
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec

from lupintack.budgets.hierarchy import Level
from lupintack.budgets.messages import (
    Epoch,
    LeaseGrant,
    LeaseRequest,
    Message,
    Redirect,
    SubLeaseGrant,
    VoteRelease,
    VoteReply,
    VoteRequest,
)
from lupintack.membership.messages import (
    CODE_BYTES,
    HEADER_BYTES,
    MAX_NAME_BYTES,
    DropReason,
    MessageCodec,
    MessageError,
)
from lupintack.membership.text import encoded_bytes

MAGIC = b"B"
ONE_LEVEL, TWO_LEVELS = 1, 2  # protocol versions
KINDS: tuple[type, ...] = (VoteRequest, VoteReply, VoteRelease, LeaseRequest, LeaseGrant, Redirect)
TWO_LEVEL_KINDS = (*KINDS, SubLeaseGrant)
MAX_AMOUNT = 1 << 60
MAX_DATAGRAM_BYTES = 1_200  # fits into one packet at the usual MTU


class Envelope(msgspec.Struct, array_like=True):
    """A datagram of version 1: sender, reply address, and a message with the index of its type."""

    sender: str
    address: str
    kind: int
    body: msgspec.Raw


class LevelEnvelope(msgspec.Struct, array_like=True):
    """A datagram of version 2. `region`: name of the region for its level, empty for the fleet's level."""

    sender: str
    address: str
    region: str
    kind: int
    body: msgspec.Raw


class Datagram(NamedTuple):
    """The decoded contents of a datagram of version 2."""

    sender: str
    address: str
    level: Level
    message: Message


class BudgetCodec:
    """Encodes and decodes the messages of budgets with one level."""

    def __init__(self, codec: MessageCodec, budgets: int) -> None:
        """`codec`: computes authentication codes; `budgets`: the length of each row of amounts."""
        self.codec, self.budgets = codec, budgets
        self.encoder = msgspec.msgpack.Encoder()
        self.envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self.decoders: list[Any] = [msgspec.msgpack.Decoder(kind) for kind in KINDS]

    def encode(self, sender: str, address: str, message: Message) -> bytes:
        """Return the datagram for a message."""
        raw = msgspec.Raw(self.encoder.encode(message))
        body = self.encoder.encode(Envelope(sender, address, KINDS.index(type(message)), raw))
        return b"%b%c%b%b" % (MAGIC, ONE_LEVEL, self.codec.authentication_code(MAGIC + body), body)

    def decode(self, raw: bytes) -> tuple[str, str, Message]:
        """Return the sender, its address and the message.

        Raise MessageError for any other data.
        """
        # The code covers the magic, so a membership message can't be replayed as a budget message.
        body = checked_body(self.codec, raw, ONE_LEVEL, MAGIC)
        try:
            envelope = self.envelope_decoder.decode(body)
            message = decode_message(self.decoders, envelope.kind, envelope.body)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            raise MessageError(DropReason.UNREADABLE) from None
        check_message(message, (envelope.sender, envelope.address), self.budgets)
        return envelope.sender, envelope.address, message


class TwoLevelCodec:
    """Encodes and decodes the messages of a router at its region's level and the fleet's level."""

    # The code covers magic and version, so a message of one version can't be replayed as the other.
    PREFIX = MAGIC + bytes([TWO_LEVELS])

    def __init__(self, codec: MessageCodec, region: str, fleet_wide: int, budgets: int) -> None:
        """`fleet_wide`: the number of the region's `budgets` that the fleet's level also allocates."""
        self.codec = codec
        self.regions = {Level.FLEET: "", Level.REGION: region}
        self.levels = {text: level for level, text in self.regions.items()}
        self.row_lengths = {Level.FLEET: fleet_wide, Level.REGION: budgets}
        self.encoder = msgspec.msgpack.Encoder()
        self.envelope_decoder = msgspec.msgpack.Decoder(LevelEnvelope)
        self.decoders: list[Any] = [msgspec.msgpack.Decoder(kind) for kind in TWO_LEVEL_KINDS]

    def encode(self, sender: str, address: str, level: Level, message: Message) -> bytes:
        """Return the datagram for a message."""
        raw = msgspec.Raw(self.encoder.encode(message))
        kind = TWO_LEVEL_KINDS.index(type(message))
        body = self.encoder.encode(LevelEnvelope(sender, address, self.regions[level], kind, raw))
        return self.PREFIX + self.codec.authentication_code(self.PREFIX + body) + body

    def decode(self, raw: bytes) -> Datagram:
        """Return a datagram's contents.

        Raise MessageError for any other data, including messages at another region's level.
        """
        body = checked_body(self.codec, raw, TWO_LEVELS, self.PREFIX)
        try:
            envelope = self.envelope_decoder.decode(body)
            message = decode_message(self.decoders, envelope.kind, envelope.body)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            raise MessageError(DropReason.UNREADABLE) from None
        level = self.levels.get(envelope.region)
        if level is None:
            raise MessageError(DropReason.FOREIGN)
        check_message(message, (envelope.sender, envelope.address), self.row_lengths[level])
        return Datagram(envelope.sender, envelope.address, level, message)


def checked_body(codec: MessageCodec, raw: bytes, version: int, prefix: bytes) -> bytes:
    """Return the body of a datagram. Raise MessageError for a wrong header, version or code."""
    if len(raw) < HEADER_BYTES or raw[:1] != MAGIC:
        raise MessageError(DropReason.CUT if raw[:1] == MAGIC else DropReason.FOREIGN)
    if raw[1] != version:
        raise MessageError(DropReason.VERSION)
    if not hmac.compare_digest(
        raw[2 : 2 + CODE_BYTES], codec.authentication_code(prefix + raw[HEADER_BYTES:])
    ):
        raise MessageError(DropReason.FOREIGN)
    return raw[HEADER_BYTES:]


def decode_message(decoders: Sequence[Any], kind: int, body: msgspec.Raw) -> Message:
    """Return the decoded message. Raise ValueError for an unknown kind or a malformed body."""
    if not 0 <= kind < len(decoders):
        raise ValueError
    message: Message = decoders[kind].decode(body)
    return message


def check_message(message: Message, sender_and_address: tuple[str, ...], row_length: int) -> None:
    """Raise MessageError for strings and numbers out of bounds, and for rows of a wrong length."""
    for text in sender_and_address:
        check_field(text)
    fields: tuple[Any, ...] = message
    for field in fields:
        if isinstance(field, Epoch):
            for part in field:
                check_field(part)
        elif isinstance(field, tuple):
            check_row(field, row_length)
        else:
            check_field(field)


def check_field(field: Any) -> None:
    """Raise MessageError for a string that is too long or a number out of bounds."""
    if isinstance(field, str):
        if encoded_bytes(field) > MAX_NAME_BYTES:
            raise MessageError(DropReason.UNREADABLE)
    elif isinstance(field, int) and not 0 <= field <= MAX_AMOUNT:
        raise MessageError(DropReason.UNREADABLE)


def check_row(row: tuple[int, ...], length: int) -> None:
    """Raise MessageError for a row out of bounds or of a wrong length. The receiver checks empty rows."""
    if row and (len(row) != length or min(row) < 0 or max(row) > MAX_AMOUNT):
        raise MessageError(DropReason.UNREADABLE)


def largest_datagram_bytes(amounts: Sequence[int], region: str = "") -> int:
    """Return the largest encoded size of a message with rows of at most `amounts` and the longest names.

    A lease request is the largest message, as it has three rows. `region`: the region name in version 2.
    """
    name, number, row = "x" * MAX_NAME_BYTES, (1 << 64) - 1, tuple(amounts)
    epoch = Epoch(number, name, number)
    request = LeaseRequest(name, number, number, epoch, row, row, False, row)
    encoder = msgspec.msgpack.Encoder()
    raw = msgspec.Raw(encoder.encode(request))
    return HEADER_BYTES + len(encoder.encode(LevelEnvelope(name, name, region, 0, raw)))
