"""The table of requests in flight: numbers, wire ids, and removal of entries."""

from __future__ import annotations

import unittest.mock
from typing import Any

from lupintack.core.messages import ClientRequest
from lupintack.core.request_table import RequestTable, is_same_request


def client_request(wire_id: str = "a", **changes: Any) -> ClientRequest:
    defaults: dict[str, Any] = {"class_index": 0, "item": "x", "object_id": 1, "part": 0, "group": 0}
    return ClientRequest(wire_id, deadline_us=0, sink=unittest.mock.Mock(), **(defaults | changes))


def test_entry_is_removed_at_the_end_of_the_turn_once_answered_without_open_attempts() -> None:
    table = RequestTable()
    entry = table.add(client_request(), True)
    entry.open_attempts[0] = unittest.mock.Mock()
    assert table.has_unanswered()
    entry.is_answered = True
    table.forget_if_finished(entry)
    table.remove_finished()
    assert table.get(entry.request.number) is entry and not table.has_unanswered()
    entry.open_attempts.clear()
    table.forget_if_finished(entry)
    assert table.get(entry.request.number) is entry, "an attempt of this turn may still need a number"
    table.remove_finished()
    assert table.get(entry.request.number) is None and not table.number_by_wire_id


def test_wire_id_finds_its_latest_request_after_the_first_is_removed() -> None:
    table = RequestTable()
    first, second = (table.add(client_request(), True) for _ in range(2))
    assert first.request.number != second.request.number
    first.is_answered = True
    table.forget_if_finished(first)
    table.remove_finished()
    assert table.find_by_wire_id("a") is second and table.find_by_wire_id("b") is None


def test_requests_are_the_same_if_object_part_and_key_are_equal() -> None:
    request = client_request("a", idempotency_key="k")
    assert is_same_request(request, client_request("b", idempotency_key="k"))
    for change in ({"class_index": 1}, {"item": "y"}, {"part": 1}, {"group": 1}, {"idempotency_key": "l"}):
        other = client_request("a", **({"idempotency_key": "k"} | change))
        assert not is_same_request(request, other), change
