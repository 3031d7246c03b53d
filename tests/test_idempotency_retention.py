"""How long the core remembers attempts that may have run under an idempotency key: no write runs twice."""

from __future__ import annotations

import dataclasses
import itertools
import random
import unittest.mock

import pytest

from lupintack import interface as i
from lupintack.clock import module_ms
from lupintack.core.actor import Core
from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.member_table import MemberTable
from lupintack.core.messages import Attempt, AttemptResult, ClientRequest
from lupintack.core.settings_update import SettingsUpdate, apply
from lupintack.core.table_updates import Endpoint
from tests import helpers as h

MS = 1000
POST = i.ServiceClass(
    name="post",
    deadline_ms=3000.0,
    idempotency=i.Idempotency.KEYED,
    deduplication_window_ms=2000.0,
    is_write=True,
)
VOTE = i.ServiceClass(
    name="vote",
    deadline_ms=700.0,
    idempotency=i.Idempotency.KEYED,
    deduplication_window_ms=300.0,
    is_write=True,
)


class ManualCore:
    """A core whose clock and attempts are set by the test; its decisions and members are not involved."""

    def __init__(self, *classes: i.ServiceClass) -> None:
        """Start with these classes and one member."""
        link = unittest.mock.Mock()
        self.core = Core(h.settings(classes=classes), 7, MemberTable(6000.0), lambda number, host: link)
        self.core.member_links.endpoints[11] = Endpoint("s-1", ("127.0.0.1", 1))
        self.started_us = self.core.state.now_us
        self.rejections: list[int] = []
        self.described: list[i.Request] = []  # the events for the decisions
        self._ids = itertools.count(1)

    def reload(self, *classes: i.ServiceClass) -> None:
        """Apply new settings, as SIGHUP does, while no request is open."""
        apply(self.core.state, SettingsUpdate(settings=h.settings(classes=classes)), set)

    def receive(self, class_name: str, key: str, at_ms: float, wait_ms: float = 0.0) -> ClientRequest | None:
        """Accept a client's request at a time since the start; return None if it is refused.

        `wait_ms`: how long the client waits; 0: the deadline of the class.
        """
        state = self.core.state
        state.now_us = self.started_us + int(at_ms * MS)
        index = state.class_indexes[class_name]
        deadline_us = state.now_us + int((wait_ms or state.settings.classes[index].deadline_ms) * MS)
        sink = unittest.mock.Mock(is_disconnected=lambda: False)
        sink.reject = self.rejections.append
        wire_id = f"{next(self._ids):016x}"
        request = ClientRequest(wire_id, index, "0" * 16, 5, 0, 0, deadline_us, sink, class_name=class_name)
        request.is_write, request.idempotency_key = True, key
        event = self.core.intake.accept(request)
        if event is None:
            return None
        self.described.append(event)
        return request

    def attempt(self, request: ClientRequest) -> Attempt:
        """Let the request have an attempt now."""
        self.core.perform(i.Fetch(request.number, 11, 11))
        attempts = self.core.requests_in_flight[request.number].open_attempts
        return attempts[max(attempts)]

    def send(self, class_name: str, key: str, at_ms: float) -> Attempt:
        """Accept a request, and let it have an attempt."""
        request = self.receive(class_name, key, at_ms)
        assert request is not None
        return self.attempt(request)

    def sendable_until_ms(self, attempt: Attempt) -> float | None:
        """Return until when an attempt may be written, since the start; None without a bound."""
        return (attempt.not_after_us - self.started_us) / MS if attempt.not_after_us else None


def test_attempts_of_a_class_with_shorter_times_drop_no_key_of_another_class() -> None:
    """Guards against a write that runs twice: each attempt swept all keys by the times of its own class."""
    core = ManualCore(POST, VOTE)
    core.send("post", "a", 0.0)
    for n in range(20):
        core.send("vote", f"vote-{n}", 1000.0 + 100.0 * n)
    assert core.sendable_until_ms(core.send("post", "a", 2990.0)) == 2000.0


def test_class_that_leaves_and_returns_under_another_number_keeps_its_keys() -> None:
    """Guards against a write that runs twice: keys were filed under the number that SIGHUP may reassign."""
    core = ManualCore(POST)
    core.send("post", "a", 0.0)
    core.reload(VOTE)
    core.reload(VOTE, POST)
    assert core.core.state.class_indexes == {"vote": 0, "post": 1}
    assert core.sendable_until_ms(core.send("vote", "a", 1000.0)) is None
    assert core.sendable_until_ms(core.send("post", "a", 2990.0)) == 2000.0


def test_window_that_new_settings_lengthen_does_not_reopen_for_an_attempt_sent_before() -> None:
    """Guards against a write that runs twice: the window of now was counted from an attempt of before."""
    short = dataclasses.replace(POST, deduplication_window_ms=500.0)
    core = ManualCore(short)
    core.send("post", "a", 0.0)
    core.reload(POST)
    assert core.sendable_until_ms(core.send("post", "a", 1000.0)) == 500.0
    window_ends_ms = core.described[-1].first_attempt_ms + POST.deduplication_window_ms
    assert window_ends_ms == module_ms(core.started_us) + 500.0
    core.send("post", "b", 1000.0)
    core.reload(short)
    assert core.sendable_until_ms(core.send("post", "b", 1400.0)) == 1500.0


def test_first_attempt_is_known_after_its_class_may_no_longer_be_repeated() -> None:
    """Guards against a write that runs twice: keys were looked up by the effect that a class has now."""
    core = ManualCore(POST)
    core.send("post", "a", 0.0)
    core.reload(dataclasses.replace(POST, idempotency=i.Idempotency.NOT_IDEMPOTENT))
    assert core.receive("post", "a", 1000.0) is not None
    assert core.described[-1].first_attempt_member == 11
    assert core.receive("post", "b", 1000.0) is not None
    assert core.described[-1].first_attempt_member == 0


def test_key_is_kept_while_its_client_comes_back_after_refusals() -> None:
    """Guards against a write that runs twice: a key expired by its first attempt, not by its last try."""
    core = ManualCore(POST)
    core.send("post", "a", 0.0)
    for n in range(1, 6):  # each is refused without an attempt after the window, which allows another retry
        assert core.receive("post", "a", 3400.0 * n) is not None
        assert core.described[-1].first_attempt_member == 11
        core.send("post", f"other-{n}", 3400.0 * n + 3300.0)
    assert core.sendable_until_ms(core.send("post", "a", 20400.0)) == 2000.0


def test_key_is_kept_as_long_as_a_request_with_it_is_open() -> None:
    """Guards against a write that runs twice: a client may wait for longer than the deadline of its class."""
    core = ManualCore(POST)
    request = core.receive("post", "a", 0.0, wait_ms=60_000.0)
    assert request is not None
    core.attempt(request)
    for n in range(20):
        core.send("post", f"other-{n}", 3000.0 * n)
    assert core.sendable_until_ms(core.attempt(request)) == 2000.0


def test_new_keys_are_refused_where_the_cache_is_full_of_keys_that_may_return() -> None:
    """Guards against a write that runs twice: a full cache dropped the oldest key, whatever its window."""
    core = ManualCore(POST)
    core.core.idempotency_cache.max_keys = 3
    for n in range(3):
        core.send("post", str(n), 10.0 * n)
    assert core.receive("post", "new", 100.0) is None
    assert core.rejections == [int(core.core.settings.max_retry_after_ms)]
    assert core.core.counters["idempotency_keys.refused"] == core.core.counters["answered.rejected"] == 1
    assert core.sendable_until_ms(core.send("post", "0", 1000.0)) == 2000.0
    assert core.sendable_until_ms(core.send("post", "new", 8100.0)) is None, "others have expired by now"
    assert core.sendable_until_ms(core.send("post", "0", 8100.0)) == 2000.0, "its client came back"
    assert len(core.core.idempotency_cache.records) == 2


def test_requests_without_keys_are_not_refused_by_a_full_cache() -> None:
    read = i.ServiceClass(name="page", deadline_ms=3000.0)
    core = ManualCore(POST, read)
    core.core.idempotency_cache.max_keys = 1
    core.send("post", "a", 0.0)
    assert core.receive("page", "", 0.0) is not None and core.receive("page", "b", 0.0) is not None


def test_attempt_that_cannot_be_recorded_is_held_back() -> None:
    """Guards against a write that runs twice: its class was keyed only after it had been read."""
    core = ManualCore(dataclasses.replace(POST, idempotency=i.Idempotency.IDEMPOTENT))
    core.core.idempotency_cache.max_keys = 0
    request = core.receive("post", "a", 0.0)
    assert request is not None
    core.reload(POST)
    core.core.perform(i.Fetch(request.number, 11, 11))
    assert not core.core.requests_in_flight[request.number].open_attempts
    ended = core.core.mailbox.deferred_events
    assert [event.outcome for event in ended if isinstance(event, i.AttemptEnded)] == [i.Outcome.DISCARDED]
    assert core.core.counters["idempotency_keys.held_back"] == 1


def random_class(rng: random.Random, name: str) -> i.ServiceClass:
    """Return a keyed class with random times."""
    return dataclasses.replace(
        POST,
        name=name,
        deadline_ms=float(rng.choice([100, 700, 3000, 5000])),
        deduplication_window_ms=float(rng.choice([50, 300, 2000, 8000])),
    )


@pytest.mark.parametrize("seed", range(40))
def test_no_attempt_is_sendable_past_the_window_of_an_earlier_one_in_any_order(seed: int) -> None:
    """Guards against a write that runs twice, for random classes, reloads, keys, outcomes and times."""
    rng = random.Random(seed)
    names = ["post", "vote", "note"]
    core = ManualCore(*(random_class(rng, name) for name in names))
    core.core.idempotency_cache.max_keys = rng.choice([4, 8, 1000])
    runs: dict[tuple[str, str], list[tuple[Attempt, int]]] = {}  # attempts that may have run, window ends
    kept_until_us: dict[tuple[str, str], int] = {}
    at_ms, bounded = 0.0, 0
    for _ in range(400):
        at_ms += rng.choice([0, 1, 40, 400, 2500])
        if rng.random() < 0.05:
            served = rng.sample(names, rng.randint(1, 3))
            core.reload(*(random_class(rng, name) for name in served))
        state = core.core.state
        name, key = rng.choice(list(state.class_indexes)), str(rng.randrange(6))
        service_class = state.settings.classes[state.class_indexes[name]]
        window_us = int(service_class.deduplication_window_ms * MS)
        request = core.receive(name, key, at_ms, wait_ms=rng.choice([0.0, 200.0, 20_000.0]))
        if request is None:
            assert core.core.counters["idempotency_keys.refused"]
            continue
        earlier = runs.setdefault((name, key), [])
        if state.now_us > kept_until_us.get((name, key), 0):
            earlier.clear()  # no client comes back so late
        expires_us = request.deadline_us + int(service_class.deadline_ms * MS) + window_us
        kept_until_us[name, key] = max(kept_until_us.get((name, key), 0), expires_us)
        attempt = core.attempt(request)
        for run, window_end_us in earlier:
            bounded += 1
            limit_us = min(window_end_us, run.decided_us + window_us)
            assert 0 < attempt.not_after_us <= limit_us, (seed, at_ms, name, key)
        if rng.random() < 0.3:
            status = rng.choice([AttemptStatus.REJECTED, AttemptStatus.CONNECT_REFUSED])
            core.core.results.on_result(AttemptResult(attempt, status), [])
        else:
            earlier.append((attempt, state.now_us + window_us))
    assert bounded > 20
