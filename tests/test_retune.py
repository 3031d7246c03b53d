"""Reload of settings in a running router: applied completely or not at all, without harm to open requests."""

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


def reload(
    scenario: Scenario, folder: Path, change: Callable[[Data], object] = lambda data: None, raw: str = ""
) -> None:
    data = copy.deepcopy(scenario.data)
    change(data)
    file = folder / "config.json"
    file.write_text(raw or json.dumps(data))
    scenario.node.reload({"EDGE_CONFIG": str(file)})
    applied = threading.Event()  # the core may apply the file later, on another thread
    scenario.node.core.enqueue(SettingsUpdate(on_applied=lambda numbers: applied.set()))
    assert applied.wait(5.0)


def services(data: Data) -> list[Data]:
    entries: list[Data] = data["settings"]["services"]
    return entries


def removing_class(name: str) -> Callable[[Data], None]:
    def change(data: Data) -> None:
        data["settings"]["services"] = [entry for entry in services(data) if entry["name"] != name]

    return change


def test_classes_are_added_removed_and_changed(tmp_path: Path) -> None:
    scenario = Scenario()
    scenario.run("client a send GET /ops/new/00000000000000aa\nclient a expect 404", close=False)
    reload(
        scenario, tmp_path, lambda d: services(d).append({**services(d)[1], "name": "new", "deadline": 900.0})
    )
    scenario.run(
        """
        client b send GET /ops/new/00000000000000aa
        cache expect w cls=new
        cache send w ok - one
        client b expect 200 body=one
        """,
        close=False,
    )
    reload(scenario, tmp_path, removing_class("map-tiles"))
    scenario.run(
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
    assert scenario.node.core.counters["reload.taken"] == 2


def test_open_request_keeps_its_class_when_it_is_removed_and_another_added(tmp_path: Path) -> None:
    scenario = Scenario()
    scenario.run(f"client a send GET {TILE} Req-Wait-Ms:2000\ncache expect w cls=map-tiles", close=False)

    def change(data: Data) -> None:
        removing_class("map-tiles")(data)
        services(data).insert(0, {**services(data)[0], "name": "other", "repeat": "single_shot"})

    reload(scenario, tmp_path, change)
    scenario.run(
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


@pytest.mark.parametrize("repeat", ["free", "guarded", "single_shot"])
def test_open_alert_ack_is_not_retried_after_its_class_changes(repeat: str, tmp_path: Path) -> None:
    scenario = Scenario()
    ack = "/ops/alert-ack/00000000000000ac"
    scenario.run(
        f"client a send PUT {ack} body=x Req-Wait-Ms:1000\ncache expect w cls=alert-ack", close=False
    )
    reload(scenario, tmp_path, lambda d: services(d)[2].update(repeat=repeat))
    scenario.run("cache close w\nclient a expect 502\ncache expect nothing 100")


def test_stricter_repeat_setting_applies_to_new_requests(tmp_path: Path) -> None:
    scenario = Scenario()
    reload(scenario, tmp_path, lambda d: services(d)[1].update(repeat="single_shot"))
    scenario.run(
        f"""
        client a send GET {TILE}
        cache expect w
        cache close w
        client a expect 502
        cache expect nothing 100
        """
    )


def invalid_file(fault: str) -> Callable[[Data], object]:
    """Return a change that puts one fault into a file, and moves the discovery address."""

    def change(data: Data) -> None:
        settings_data = data["settings"]
        data["board"] = "127.0.0.1:9"
        entry = services(data)[1]
        if fault in ("deadline", "name"):
            entry.pop(fault)
        elif fault in ("board", "limits", "settings"):
            data.pop(fault)
        elif fault in ("rules", "services"):
            settings_data.pop(fault)
        elif fault == "try-limit":
            settings_data["limits"].pop(fault)
        elif fault == "twice":
            services(data).append(dict(entry))
        else:
            key, _, value = fault.partition("=")
            {"services": settings_data, "try-limit": settings_data["limits"]}.get(key, entry)[key] = (
                json.loads(value)
            )

    return change


@pytest.mark.parametrize(
    ("fault", "expected_text"),
    [
        ("deadline=0", "deadline"), ("deadline=-5.0", "-5.0"), ("deadline=NaN", "nan"),
        ('deadline="long"', "'long'"), ("deadline", "services[1].deadline"), ("name", "services[1].name"),
        ("twice", "'map-tiles'"), ("try-limit=0", "try-limit"), ("try-limit", "limits.try-limit"),
        ("services", "settings.services"), ("services=[]", "services[0]"), ("services={}", "a list"),
        ("settings", "settings"), ("rules", "settings.rules"), ("limits", "limits"), ("board", "board"),
        ('repeat="sometimes"', "'sometimes'"),
    ],
)  # fmt: skip
def test_invalid_file_changes_nothing_and_logs_one_error(
    fault: str, expected_text: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    scenario = Scenario()
    previous, address, classes = (
        scenario.node.core.settings,
        scenario.node.discovery.address,
        scenario.node.platform.classes,
    )
    with caplog.at_level(logging.INFO):
        reload(scenario, tmp_path, invalid_file(fault))
    lines = [r for r in caplog.records if r.levelno >= logging.ERROR]
    assert len(lines) == 1 and expected_text in str(lines[0].__dict__), lines[0].__dict__
    assert scenario.node.core.settings is previous and scenario.node.platform.classes is classes
    assert scenario.node.discovery.address == address
    assert scenario.node.core.counters["reload.refused"] == 1
    scenario.run(f"client a send GET {TILE}\ncache expect w\ncache send w ok - one\nclient a expect 200")


@pytest.mark.parametrize("part", [0.0, 0.3, 0.999])
def test_truncated_file_changes_nothing(part: float, tmp_path: Path) -> None:
    scenario = Scenario()
    whole = json.dumps(scenario.data)
    reload(scenario, tmp_path, raw=whole[: int(len(whole) * part)] or " ")
    assert scenario.node.core.counters["reload.refused"] == 1
    scenario.close()


def test_valid_and_invalid_files_in_quick_succession_under_load(tmp_path: Path) -> None:
    """Every request gets one answer throughout, and the last valid file is in force at the end."""
    scenario = Scenario()
    stopped = threading.Event()

    def answer_requests() -> None:
        while not stopped.is_set():
            try:
                _, sock, parts = scenario.member_messages.get(timeout=0.05)
            except Exception:
                continue
            fields = f"entity=t0,issued={int(time.time() * 1000)}"
            try:
                sock.sendall(resp.encode_command(parts[1].encode(), b"ok", fields.encode(), b"x"))
            except OSError:
                return

    thread = threading.Thread(target=answer_requests)
    thread.start()
    try:
        for n in range(20):
            if n % 2:
                reload(scenario, tmp_path, invalid_file("deadline"))
            elif n % 4:
                reload(scenario, tmp_path, removing_class("river-video"))
            else:
                reload(scenario, tmp_path, lambda d: services(d).reverse())
            scenario.run(f"client a send GET {TILE}?nth={n}\nclient a expect 200 body=x", close=False)
    finally:
        stopped.set()
        thread.join()
    assert set(scenario.node.platform.classes) == {"map-tiles", "alert-ack"}
    assert (scenario.node.core.counters["reload.taken"], scenario.node.core.counters["reload.refused"]) == (
        10,
        10,
    )
    assert len(scenario.node.core.settings.classes) == 3  # returning classes keep their index
    scenario.close()


def test_missing_ignores_keys_that_only_some_classes_have() -> None:
    before = {"services": [{"name": "a", "aim": 1}, {"name": "b"}], "x": {"y": 1}}
    assert first_missing_key(before, {"services": [{"name": "c"}], "x": {"y": 2}, "z": 0}) == ""
    assert first_missing_key(before, {"services": [{"aim": 1}], "x": {"y": 2}}) == "services[0].name"
    assert first_missing_key(before, {"services": [{"name": "c"}], "x": {}}) == "x.y"


CLASSES = st.lists(st.sampled_from("abcdef"), unique=True, max_size=6)


@given(st.lists(st.tuples(CLASSES, st.sets(st.integers(0, 12)))))
def test_class_index_keeps_its_class_while_it_is_in_use(reloads: list[tuple[list[str], set[int]]]) -> None:
    previous: tuple[ServiceClass, ...] = ()
    for names, open_indexes in reloads:
        used = {n for n in open_indexes if n < len(previous)}
        new = assign_class_numbers(previous, tuple(ServiceClass(name=n) for n in names), used)
        assert len({c.name for c in new}) == len(new)
        assert set(names) <= {c.name for c in new}
        for n, old in enumerate(previous):
            if n in used or old.name in names:
                assert new[n].name == old.name
        assert len(new) <= max(len(previous), len(names) + len(used), 6)
        previous = new


def test_lower_attempt_limit_applies_immediately_and_higher_one_to_new_requests() -> None:
    for initial, reloaded, expected in ((3, 1, 1), (1, 3, 1), (3, 3, 2)):
        router = Router(settings(max_attempts=initial), 7)
        router.handle(0.0, [MemberList(ListKind.FULL, tuple(member(n) for n in CACHES))])
        sent = [a for a in router.handle(1.0, [Request(1, 0, 5, 3000.0)]) if isinstance(a, Fetch)]
        router.apply_settings(settings(max_attempts=reloaded))
        ended = AttemptEnded(1, 0, sent[0].member, Outcome.RESET, 10.0, False)
        sent += [a for a in router.handle(20.0, [ended]) if isinstance(a, Fetch)]
        assert len(sent) == expected, (initial, reloaded)


def test_learned_times_of_a_class_stay_with_its_name() -> None:
    first, second = (
        ServiceClass(name="a", latency_objective_ms=100.0),
        ServiceClass(name="b", latency_objective_ms=200.0),
    )
    router = Router(Settings(classes=(first, second)), 7)
    router.transfer_times.record(0, 30.0, True)
    router.apply_settings(
        Settings(classes=(first, ServiceClass(name="c", latency_objective_ms=400.0), second))
    )
    assert router.transfer_times.answer_ms == [
        30.0,
        400.0,
        200.0,
    ] and router.transfer_times.answer_samples == [1, 0, 0]
    assert router.transfer_times.transfer_ms == [30.0, 400.0, 200.0]
