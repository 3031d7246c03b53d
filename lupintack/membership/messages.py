"""Messages between routers and their encoding: MessagePack behind a version and a keyed hash.

A datagram consists of the magic byte `L`, the version, 12 bytes of keyed BLAKE2 over the remaining bytes, and
the message as an array. Elements that a later version appends to an array are skipped. A datagram that can't
be decoded is dropped with a reason.
"""

from __future__ import annotations

import hmac
from enum import Enum, IntEnum
from hashlib import blake2b
from typing import TypeVar

import msgspec

from lupintack.membership.text import encoded_bytes
from lupintack.membership.view import START_LIMIT, Record, State

MAGIC, VERSION, CODE_BYTES = b"L", 1, 12
HEADER_BYTES = 2 + CODE_BYTES
MAX_NAME_BYTES = 64  # of a name, site or address
MAX_FULL_STATE_RECORDS = 4096
MAX_SILENT_MS = 1 << 40
FIXED_BYTES = HEADER_BYTES + 93  # upper bound of an encoded message without its strings, records and reports
REPORT_OVERHEAD_BYTES = 31
STATES = tuple(State)
WireRecord = tuple[str, int, int, int, str, str]  # the fields of Record
T = TypeVar("T")


class MessageKind(IntEnum):
    """The purpose of a datagram."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2  # ping the target and relay its ack
    INDIRECT_ACK = 3  # the target answered a relayed ping
    REPORT = 4  # an observer's suspicions, sent to the other observers of the subjects
    GOSSIP = 5  # records only


class DropReason(Enum):
    """The reason for dropping a datagram; the values are keys of the status page."""

    CUT = "cut"
    FOREIGN = "foreign"  # sent by another fleet, or corrupted
    VERSION = "version"
    UNREADABLE = "unreadable"
    REPLAYED = "replayed"
    OLD = "old"  # sent by an earlier process with the sender's name
    SELF = "self"  # this router's own datagram


class MessageError(ValueError):
    """A datagram that is rejected."""

    def __init__(self, reason: DropReason, detail: str = "") -> None:
        """Store the reason; `detail` names the invalid value, if any."""
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)
        self.reason = reason


class SuspicionReport(msgspec.Struct, array_like=True, frozen=True):
    """One observer's report on one subject."""

    subject: str
    start: int
    incarnation: int
    is_unreachable: bool  # a connection was refused
    silent_ms: int


class Message(msgspec.Struct, array_like=True):
    """One datagram. It always carries the sender's own record, since the receiver may not have it yet."""

    kind: int
    sender: str
    start: int
    incarnation: int
    state: int
    site: str
    address: str
    sequence: int
    view_id: int = 0
    nonce: int = 0
    target: str = ""
    receiver_seen: tuple[int, int, int] = (0, 0, -1)  # the receiver's start, incarnation and state, if known
    records: list[WireRecord] = []
    reports: list[SuspicionReport] = []
    padding: bytes = b""  # of a ping: reserves space for gossip in its ack

    def sender_record(self) -> WireRecord:
        """Return the sender's own record."""
        return (self.sender, self.start, self.incarnation, self.state, self.site, self.address)


class FullState(msgspec.Struct, array_like=True):
    """One direction of an exchange: a view id, and either all records or those missing on the other side."""

    sender: WireRecord
    view_id: int
    records: list[WireRecord]
    is_answer: bool = False


def wire_record(record: Record) -> WireRecord:
    """Return the encoded form of a record."""
    return (record.name, record.start, record.incarnation, int(record.state), record.site, record.address)


def max_message_bytes(message: Message) -> int:
    """Return an upper bound of a message's encoded size, without its records and without encoding it."""
    texts = sum(map(encoded_bytes, (message.sender, message.site, message.address, message.target)))
    reports = sum(REPORT_OVERHEAD_BYTES + encoded_bytes(report.subject) for report in message.reports)
    return FIXED_BYTES + texts + len(message.padding) + reports


class MessageCodec:
    """Encodes and decodes the messages of one fleet."""

    def __init__(self, fleet: str, secret: str) -> None:
        """Derive the keys from the fleet's name and shared secret."""
        self.key = blake2b(secret.encode(), digest_size=32, person=b"lupintack fleet").digest()
        self.person = blake2b(fleet.encode(), digest_size=16).digest()
        self.encoder = msgspec.msgpack.Encoder()
        self.message_decoder = msgspec.msgpack.Decoder(Message)
        self.full_state_decoder = msgspec.msgpack.Decoder(FullState)

    def authentication_code(self, body: bytes) -> bytes:
        """Return the keyed hash of a body."""
        return blake2b(body, digest_size=CODE_BYTES, key=self.key, person=self.person).digest()

    def encode(self, message: Message | FullState) -> bytes:
        """Return the encoded datagram or frame."""
        body = self.encoder.encode(message)
        return b"%b%c%b%b" % (MAGIC, VERSION, self.authentication_code(body), body)

    def encoded_size(self, message: Message) -> int:
        """Return the encoded size in bytes."""
        return HEADER_BYTES + len(self.encoder.encode(message))

    def decode(self, raw: bytes) -> Message:
        """Return the message of a datagram; raises MessageError for an invalid one."""
        return self.validate(self._decode(raw, self.message_decoder))

    def decode_full_state(self, raw: bytes) -> FullState:
        """Return the message of an exchange; raises MessageError for an invalid one."""
        full_state: FullState = self._decode(raw, self.full_state_decoder)
        if len(full_state.records) > MAX_FULL_STATE_RECORDS:
            raise MessageError(DropReason.UNREADABLE, f"{len(full_state.records)} records")
        for record in (full_state.sender, *full_state.records):
            parse_record(record)
        return full_state

    def _decode(self, raw: bytes, decoder: msgspec.msgpack.Decoder[T]) -> T:
        if len(raw) < HEADER_BYTES or raw[:1] != MAGIC:
            raise MessageError(DropReason.CUT if raw[:1] == MAGIC else DropReason.FOREIGN)
        if raw[1] != VERSION:
            raise MessageError(DropReason.VERSION, f"version {raw[1]}")
        body = raw[HEADER_BYTES:]
        if not hmac.compare_digest(raw[2:HEADER_BYTES], self.authentication_code(body)):
            raise MessageError(DropReason.FOREIGN)
        try:
            return decoder.decode(body)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise MessageError(DropReason.UNREADABLE, str(error)) from None

    @staticmethod
    def validate(message: Message) -> Message:
        """Return the message; raises MessageError if a value is out of range."""
        parse_record(message.sender_record())
        if message.kind not in MessageKind._value2member_map_:
            raise MessageError(DropReason.UNREADABLE, f"kind {message.kind}")
        for number in (message.sequence, message.view_id, message.nonce):
            if not 0 <= number < 1 << 64:
                raise MessageError(DropReason.UNREADABLE, f"number {number}")
        for record in message.records:
            parse_record(record)
        for report in message.reports:
            if not 0 <= report.silent_ms < MAX_SILENT_MS or encoded_bytes(report.subject) > MAX_NAME_BYTES:
                raise MessageError(DropReason.UNREADABLE, f"report {report}")
        return message


def parse_record(wire: WireRecord) -> Record:
    """Return a received record; raises MessageError if a value is out of range."""
    name, start, incarnation, state, site, address = wire
    if not name or max(map(encoded_bytes, (name, site, address))) > MAX_NAME_BYTES:
        raise MessageError(DropReason.UNREADABLE, "invalid length of a name, site or address")
    if not 0 <= start < START_LIMIT or not 0 <= incarnation < START_LIMIT:
        raise MessageError(DropReason.UNREADABLE, f"start {start}, incarnation {incarnation}")
    if state not in State._value2member_map_:
        raise MessageError(DropReason.UNREADABLE, f"state {state}")
    return Record(name, start, incarnation, State(state), site, address)


def trusted_record(wire: WireRecord) -> Record:
    """Return a record of a message that was already validated."""
    name, start, incarnation, state, site, address = wire
    return Record(name, start, incarnation, STATES[state], site, address)
