"""A restarted process must not send requests by a list of unknown age.

Guards against requests to drained servers and sources after a restart: readiness did not wait for discovery,
and the list in the configuration was used as if it were current, until discovery's first bytes reported the
drain. With these bytes delayed by a proxy for 3 s, 327 calls went to drained servers in 2.55 s, and none
after the bytes had arrived; without a delay there were none. The time to ready was the same.
"""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from lupintack.discovery.client import MAX_EARLY_RECONNECTS
from lupintack.standins.edge import Edge, End
from lupintack.standins.proxy import Fault, Proxy

DRAINED = ("s-1", "p-1")
LOAD_S = 2.0
READY_S = 6.0  # limit that nine in ten routers meet in a short day's run


@pytest.fixture
def edge(tmp_path: Path) -> Iterator[Edge]:
    new_edge = Edge(tmp_path)
    try:
        yield new_edge
    finally:
        new_edge.close()


def call_later(seconds: float, action: Callable[[], None]) -> None:
    timer = threading.Timer(seconds, action)
    timer.daemon = True
    timer.start()


def delayed(seconds: float, then: Fault = Fault.NONE) -> Callable[[Proxy], None]:
    def fault(proxy: Proxy) -> None:
        proxy.fault = Fault.DELAYED
        call_later(seconds, lambda: setattr(proxy, "fault", then))

    return fault


def refused(seconds: float) -> Callable[[Proxy], None]:
    def fault(proxy: Proxy) -> None:
        proxy.refuse_connections()
        call_later(seconds, proxy.accept_connections)

    return fault


def silent(seconds: float) -> Callable[[Proxy], None]:
    def fault(proxy: Proxy) -> None:
        proxy.silent = True
        call_later(seconds, lambda: setattr(proxy, "silent", False))

    return fault


FAULTS: dict[str, Callable[[Proxy], None]] = {
    "none": lambda proxy: None,
    "late by 0.6 s": delayed(0.6),
    "late by 3 s": delayed(3.0),
    "refused for 2 s": refused(2.0),
    "refused for 8 s": refused(8.0),
    "silent for 2 s": silent(2.0),
    "in pieces from 1 s on": delayed(1.0, Fault.PIECES),
    "doubled": lambda proxy: setattr(proxy, "fault", Fault.DOUBLED),
}


def test_list_is_proved_by_discovery_that_is_slow_on_each_connection(edge: Edge) -> None:
    """Guards against a fixed timeout of 1.8 s per connection, with which the list would never be proved."""
    edge.proxy.delay_s = 2.5
    edge.publish_health("s-1", "Terminating")
    edge.start()
    edge.ready()
    edge.load(4)
    until = time.monotonic() + 6.0
    while not any(call.member == "s-2" for call in list(edge.calls)):
        assert time.monotonic() < until, edge.log()
        time.sleep(0.05)
    edge.stop()
    assert not edge.calls_to(["s-1"]) and "list is current" in edge.log()


def test_watch_reconnects_after_events_instead_of_waiting_for_next_heartbeat(edge: Edge) -> None:
    """Discovery sends its revision immediately to a watch that misses no event, which proves the list up to a
    second sooner.
    """
    edge.fleet.discovery_server.sends_revision_if_current = True
    for member in DRAINED:
        edge.publish_health(member, "Terminating")
    edge.start()
    edge.ready()
    edge.signal(signal.SIGUSR1)
    until = time.monotonic() + 3.0
    while "event=counters" not in edge.log():
        assert time.monotonic() < until
        time.sleep(0.02)
    assert "discovery.early_reconnects=1" in edge.log() and "discovery.connects=2" in edge.log()
    assert "discovery.lost" not in edge.log()


def test_early_reconnects_are_limited_when_discovery_never_answers_immediately(edge: Edge) -> None:
    edge.publish_health("s-1", "Terminating")
    edge.start()
    edge.ready()
    assert edge.proxy.accepted <= 1 + MAX_EARLY_RECONNECTS


@pytest.mark.parametrize("name", FAULTS)
def test_members_drained_before_start_get_no_calls(edge: Edge, name: str) -> None:
    for member in DRAINED:
        edge.publish_health(member, "Terminating")
    FAULTS[name](edge.proxy)
    edge.start()
    ready_after_s = edge.ready()
    edge.load(8)
    threading.Event().wait(LOAD_S)
    requests = edge.stop()
    assert not edge.calls_to(DRAINED), f"{len(edge.calls_to(DRAINED))} of {len(edge.calls)} calls"
    assert ready_after_s < READY_S, edge.log()
    assert requests and all(request.end is End.ANSWERED for request in requests), edge.log()
    served = sum(request.status == 200 for request in requests)
    assert served > len(requests) / 2, (served, len(requests))
