"""New settings while the router runs: whole or not at all, and never under a request's feet."""

from __future__ import annotations

import copy
import json
import logging
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lupintack.core.settings_update import SettingsUpdate
from lupintack.decisions.router import Router
from lupintack.interface import (
    AttemptEnded,
    Fetch,
    ListKind,
    MemberList,
    Outcome,
    Request,
    ServiceClass,
    Settings,
)
from lupintack.peers import resp
from lupintack.settings.changes import assign_class_numbers, first_missing_key
from tests.helpers import CACHES, member, settings
from tests.scenario import Scenario

TILE = "/ops/map-tiles/00000000000000aa"
Data = dict[str, Any]


def hup(
    play: Scenario, tmp: Path, change: Callable[[Data], object] = lambda data: None, raw: str = ""
) -> None:
    data = copy.deepcopy(play.data)
    change(data)
    file = tmp / "config.json"
    file.write_text(raw or json.dumps(data))
    play.node.reload({"EDGE_CONFIG": str(file)})
    applied = threading.Event()  # the core's turn may be on another thread: until it has come, the old holds
    play.node.core.enqueue(SettingsUpdate(on_applied=lambda numbers: applied.set()))
    assert applied.wait(5.0)


def services(data: Data) -> list[Data]:
    found: list[Data] = data["settings"]["services"]
    return found


def without(name: str) -> Callable[[Data], None]:
    def change(data: Data) -> None:
        data["settings"]["services"] = [one for one in services(data) if one["name"] != name]

    return change


def test_classes_come_go_and_change(tmp_path: Path) -> None:
    play = Scenario()
    play.run("client a send GET /ops/new/00000000000000aa\nclient a expect 404", close=False)
    hup(play, tmp_path, lambda d: services(d).append({**services(d)[1], "name": "new", "deadline": 900.0}))
    play.run(
        """
        client b send GET /ops/new/00000000000000aa
        cache expect w cls=new
        cache send w ok - one
        client b expect 200 body=one
        """,
        close=False,
    )
    hup(play, tmp_path, without("map-tiles"))
    play.run(
        f"""
        client c send GET {TILE}
        client c expect 404
        client d send GET /ops/new/00000000000000aa
        client d expect 404
        client e send GET /ops/river-video/00000000000000aa
        cache expect w cls=river-video
        cache send w ok - two
        client e expect 200 body=two
        """
    )
    assert play.node.core.counters["reload.taken"] == 2


def test_what_is_under_way_keeps_its_class_when_that_goes_and_another_comes(tmp_path: Path) -> None:
    play = Scenario()
    play.run(f"client a send GET {TILE} Req-Wait-Ms:2000\ncache expect w cls=map-tiles", close=False)

    def change(data: Data) -> None:
        without("map-tiles")(data)
        services(data).insert(0, {**services(data)[0], "name": "other", "repeat": "single_shot"})

    hup(play, tmp_path, change)
    play.run(
        """
        client b send GET /ops/other/00000000000000bb
        cache expect v cls=other
        cache send v ok - other
        client b expect 200 body=other
        cache send w error tell=h
        cache expect u cls=map-tiles
        cache send u ok - again
        client a expect 200 body=again
        """
    )


@pytest.mark.parametrize("effect", ["free", "guarded", "single_shot"])
def test_an_alert_ack_under_way_never_runs_twice_whatever_its_class_becomes(
    effect: str, tmp_path: Path
) -> None:
    play = Scenario()
    ack = "/ops/alert-ack/00000000000000ac"
    play.run(f"client a send PUT {ack} body=x Req-Wait-Ms:1000\ncache expect w cls=alert-ack", close=False)
    hup(play, tmp_path, lambda d: services(d)[2].update(repeat=effect))
    play.run("cache close w\nclient a expect 502\ncache expect nothing 100")


def test_a_stricter_effect_binds_new_requests(tmp_path: Path) -> None:
    play = Scenario()
    hup(play, tmp_path, lambda d: services(d)[1].update(repeat="single_shot"))
    play.run(
        f"""
        client a send GET {TILE}
        cache expect w
        cache close w
        client a expect 502
        cache expect nothing 100
        """
    )


def broken(what: str) -> Callable[[Data], object]:
    """A file with one fault, and the board elsewhere."""

    def change(data: Data) -> None:
        told = data["settings"]
        data["board"] = "127.0.0.1:9"
        one = services(data)[1]
        if what in ("deadline", "name"):
            one.pop(what)
        elif what in ("board", "limits", "settings"):
            data.pop(what)
        elif what in ("rules", "services"):
            told.pop(what)
        elif what == "try-limit":
            told["limits"].pop(what)
        elif what == "twice":
            services(data).append(dict(one))
        else:
            key, _, value = what.partition("=")
            {"services": told, "try-limit": told["limits"]}.get(key, one)[key] = json.loads(value)

    return change


@pytest.mark.parametrize(
    ("what", "told"),
    [
        ("deadline=0", "deadline"), ("deadline=-5.0", "-5.0"), ("deadline=NaN", "nan"),
        ('deadline="long"', "'long'"), ("deadline", "services[1].deadline"), ("name", "services[1].name"),
        ("twice", "'map-tiles'"), ("try-limit=0", "try-limit"), ("try-limit", "limits.try-limit"),
        ("services", "settings.services"), ("services=[]", "services[0]"), ("services={}", "a list"),
        ("settings", "settings"), ("rules", "settings.rules"), ("limits", "limits"), ("board", "board"),
        ('repeat="sometimes"', "'sometimes'"),
    ],
)  # fmt: skip
def test_a_broken_file_changes_nothing_and_is_one_line(
    what: str, told: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    play = Scenario()
    before, board, classes = play.node.core.settings, play.node.discovery.address, play.node.platform.classes
    with caplog.at_level(logging.INFO):
        hup(play, tmp_path, broken(what))
    lines = [r for r in caplog.records if r.levelno >= logging.ERROR]
    assert len(lines) == 1 and told in str(lines[0].__dict__), lines[0].__dict__
    assert play.node.core.settings is before and play.node.platform.classes is classes
    assert play.node.discovery.address == board
    assert play.node.core.counters["reload.refused"] == 1
    play.run(f"client a send GET {TILE}\ncache expect w\ncache send w ok - one\nclient a expect 200")


@pytest.mark.parametrize("part", [0.0, 0.3, 0.999])
def test_a_file_cut_short_changes_nothing(part: float, tmp_path: Path) -> None:
    play = Scenario()
    whole = json.dumps(play.data)
    hup(play, tmp_path, raw=whole[: int(len(whole) * part)] or " ")
    assert play.node.core.counters["reload.refused"] == 1
    play.close()


def test_good_and_bad_files_in_quick_succession_under_load(tmp_path: Path) -> None:
    """Requests go on all the while, each with one answer, and the last good file is what holds."""
    play = Scenario()
    over = threading.Event()

    def answers() -> None:
        while not over.is_set():
            try:
                _, sock, parts = play.wants.get(timeout=0.05)
            except Exception:
                continue
            fields = f"entity=t0,issued={int(time.time() * 1000)}"
            try:
                sock.sendall(resp.encode_command(parts[1].encode(), b"ok", fields.encode(), b"x"))
            except OSError:
                return

    thread = threading.Thread(target=answers)
    thread.start()
    try:
        for n in range(20):
            if n % 2:
                hup(play, tmp_path, broken("deadline"))
            elif n % 4:
                hup(play, tmp_path, without("river-video"))
            else:
                hup(play, tmp_path, lambda d: services(d).reverse())
            play.run(f"client a send GET {TILE}?nth={n}\nclient a expect 200 body=x", close=False)
    finally:
        over.set()
        thread.join()
    assert set(play.node.platform.classes) == {"map-tiles", "alert-ack"}
    assert (play.node.core.counters["reload.taken"], play.node.core.counters["reload.refused"]) == (10, 10)
    assert len(play.node.core.settings.classes) == 3  # no number was made for what was there before
    play.close()


def test_missing_passes_over_what_only_some_classes_have() -> None:
    before = {"services": [{"name": "a", "aim": 1}, {"name": "b"}], "x": {"y": 1}}
    assert first_missing_key(before, {"services": [{"name": "c"}], "x": {"y": 2}, "z": 0}) == ""
    assert first_missing_key(before, {"services": [{"aim": 1}], "x": {"y": 2}}) == "services[0].name"
    assert first_missing_key(before, {"services": [{"name": "c"}], "x": {}}) == "x.y"


CLASSES = st.lists(st.sampled_from("abcdef"), unique=True, max_size=6)


@given(st.lists(st.tuples(CLASSES, st.sets(st.integers(0, 12)))))
def test_a_number_never_changes_its_meaning_while_it_is_used(steps: list[tuple[list[str], set[int]]]) -> None:
    held: tuple[ServiceClass, ...] = ()
    for names, open_ in steps:
        used = {n for n in open_ if n < len(held)}
        new = assign_class_numbers(held, tuple(ServiceClass(name=n) for n in names), used)
        assert len({c.name for c in new}) == len(new)
        assert set(names) <= {c.name for c in new}
        for n, old in enumerate(held):
            if n in used or old.name in names:
                assert new[n].name == old.name
        assert len(new) <= max(len(held), len(names) + len(used), 6)
        held = new


def test_fewer_attempts_bind_at_once_and_more_only_new_requests() -> None:
    for first, then, want in ((3, 1, 1), (1, 3, 1), (3, 3, 2)):
        router = Router(settings(max_attempts=first), 7)
        router.handle(0.0, [MemberList(ListKind.FULL, tuple(member(n) for n in CACHES))])
        sent = [a for a in router.handle(1.0, [Request(1, 0, 5, 3000.0)]) if isinstance(a, Fetch)]
        router.apply_settings(settings(max_attempts=then))
        ended = AttemptEnded(1, 0, sent[0].member, Outcome.RESET, 10.0, False)
        sent += [a for a in router.handle(20.0, [ended]) if isinstance(a, Fetch)]
        assert len(sent) == want, (first, then)


def test_what_was_learned_of_a_class_stays_with_its_name() -> None:
    one, two = (
        ServiceClass(name="a", latency_objective_ms=100.0),
        ServiceClass(name="b", latency_objective_ms=200.0),
    )
    router = Router(Settings(classes=(one, two)), 7)
    router.transfer_times.record(0, 30.0, True)
    router.apply_settings(Settings(classes=(one, ServiceClass(name="c", latency_objective_ms=400.0), two)))
    assert router.transfer_times.answer_ms == [
        30.0,
        400.0,
        200.0,
    ] and router.transfer_times.answer_samples == [1, 0, 0]
    assert router.transfer_times.transfer_ms == [30.0, 400.0, 200.0]
