"""Encoding and validation of the messages between routers."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lupintack.membership.gossip import max_record_bytes
from lupintack.membership.messages import (
    MAX_NAME_BYTES,
    VERSION,
    DropReason,
    FullState,
    Message,
    MessageCodec,
    MessageError,
    MessageKind,
    SuspicionReport,
    max_message_bytes,
    parse_record,
)  # fmt: skip
from lupintack.membership.view import State
from tests.support.membership import RECORDS

NAMES = st.text(max_size=20)


MESSAGES = st.builds(
    Message, st.sampled_from(MessageKind).map(int), st.text(min_size=1, max_size=20), st.integers(0, 1 << 61),
    st.integers(0, 1 << 61), st.sampled_from(State).map(int), NAMES, NAMES, st.integers(0, (1 << 64) - 1),
    st.integers(0, (1 << 64) - 1), st.integers(0, (1 << 48)), NAMES,
    st.tuples(st.integers(0, 1 << 61), st.integers(0, 1 << 61), st.integers(-1, 6)),
    st.lists(RECORDS.map(lambda record: (*record[:3], int(record.state), *record[4:])), max_size=5),
    st.lists(
        st.builds(
            SuspicionReport, NAMES, st.integers(0, 9), st.integers(0, 9), st.booleans(), st.integers(0, 9999)
        ),
        max_size=3,
    ),
)  # fmt: skip


def test_sizes_and_limits_of_names_count_bytes() -> None:
    """Guards against datagrams over their limit, and answers longer than the question: a name isn't ASCII."""
    name = "\u20ac" * (MAX_NAME_BYTES // 3)
    record = (name, 1, 1, int(State.ALIVE), name, name)
    report = SuspicionReport(name, 1, 1, False, 1)
    message = Message(0, name, 1, 1, int(State.ALIVE), name, name, 1, target=name)
    message.records, message.reports = [record] * 3, [report] * 3
    raw = MessageCodec("fleet", "secret").encode(message)
    assert len(raw) <= max_message_bytes(message) + 3 * max_record_bytes(parse_record(record))
    parse_record((name, 1, 1, int(State.ALIVE), "", ""))
    with pytest.raises(MessageError):
        parse_record((name + "\u20ac", 1, 1, int(State.ALIVE), "", ""))


@given(MESSAGES, st.binary(max_size=60), st.data())
@settings(max_examples=200)
def test_encoded_messages_are_decoded_and_invalid_datagrams_are_rejected(
    message: Message, noise: bytes, data: Any
) -> None:
    codec = MessageCodec("fleet", "secret")
    raw = codec.encode(message)
    assert codec.decode(raw) == message
    gossip_bytes = sum(max_record_bytes(parse_record(record)) for record in message.records)
    assert len(raw) <= max_message_bytes(message) + gossip_bytes
    position = data.draw(st.integers(0, len(raw) - 1))
    corrupted = raw[:position] + bytes([raw[position] ^ data.draw(st.integers(1, 255))]) + raw[position + 1 :]
    for invalid in (
        corrupted,
        raw[:position],
        noise,
        raw + b"x",
        MessageCodec("other", "secret").encode(message),
    ):
        with pytest.raises(MessageError):
            codec.decode(invalid)
    with pytest.raises(MessageError) as raised:
        codec.decode(raw[:1] + bytes([VERSION + 1]) + raw[2:])
    assert raised.value.reason is DropReason.VERSION


def test_appended_fields_are_skipped_and_out_of_range_values_are_rejected() -> None:
    codec = MessageCodec("fleet", "secret")
    message = Message(0, "a", 1, 0, 1, "s", "h:1", 1)
    body = codec.encoder.encode(
        [0, "a", 1, 0, 1, "s", "h:1", 1, 0, 0, "", (0, 0, -1), [], [], b"", "more", {"x": 1}]
    )
    assert codec.decode(b"L" + bytes([VERSION]) + codec.authentication_code(body) + body) == message
    for field, value in (
        ("kind", 77),
        ("state", 9),
        ("start", -1),
        ("sender", ""),
        ("sender", "x" * 65),
        ("sequence", -1),
    ):
        invalid = Message(0, "a", 1, 0, 1, "s", "h:1", 1)
        setattr(invalid, field, value)
        with pytest.raises(MessageError):
            codec.decode(codec.encode(invalid))
    full_state = FullState(("a", 1, 0, 1, "s", "h:1"), 5, [("b", 1, 0, 9, "s", "h:1")])
    with pytest.raises(MessageError):
        codec.decode_full_state(codec.encode(full_state))
