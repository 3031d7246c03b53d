"""Purges by CDNI bind when they are taken, whatever other triggers and other CDNs do."""

from __future__ import annotations

import http.server
import json
import threading
import time
import unittest.mock
from collections.abc import Iterator

import pytest

from lupintack.core.counters import Counters
from lupintack.core.member_table import MemberTable
from lupintack.fronts.cdni import messages, triggers
from lupintack.fronts.cdni.conf import Cdni, Upstream
from lupintack.fronts.cdni.metadata_store import MetadataStore
from lupintack.fronts.cdni.purges import Purges
from lupintack.fronts.exchange import HttpError
from tests.scenario import Scenario
from tests.site import eventually
from tests.test_cdni import (
    CI_TYPE,
    CONFIG,
    DOWNSTREAM,
    DOWNSTREAM_WITHOUT_URLS,
    EXPECT_METADATA_CALL,
    command,
)

GROUP = 17
CONTENT = ["http://maps.up/maps/a", "http://maps.up/maps/b"]


def send_trigger(name: str, kind: str = "purge", **selectors: list[str]) -> str:
    """Return the lines that send a trigger, and store its URL under `name`."""
    body = command(kind, ("AS64496:0",), **selectors)
    return f"""
        client u send POST {{cdni}}/triggers {CI_TYPE} body='{body}'
        client u expect 201 {name}>Location
    """


def test_purge_binds_at_once_while_all_workers_preposition() -> None:
    """Guards against copies from before a purge that waits behind prepositions, while the origin is slow."""
    Scenario(CONFIG + DOWNSTREAM_WITHOUT_URLS).run(f"""
        {send_trigger("one", "preposition", content_urls=CONTENT[:1])}
        {EXPECT_METADATA_CALL}
        cache expect w1 cls=map-tiles
        {send_trigger("two", "preposition", content_urls=CONTENT[1:])}
        cache expect w2 cls=map-tiles
        {send_trigger("three", "preposition", content_urls=CONTENT)}
        {send_trigger("purge", content_ccid=[str(GROUP)])}
        client a send GET /ops/river-video/00000000000000aa X-Batch:{GROUP}
        cache expect w3 cls=river-video within=?*
        cache send w3 ok - fresh
        client a expect 200 body=fresh
        client u wait {{purge}} body='*"status": "complete"*'
        client u send GET {{one}}
        client u expect 200 body='*"status": "active"*'
    """)


def test_purge_binds_at_once_while_a_downstream_cdn_is_silent() -> None:
    """Guards against copies from before a purge that waits for the end of others at a downstream CDN."""
    purges = [send_trigger(f"p{n}", content_ccid=[str(n)]) for n in range(4)]
    Scenario(CONFIG + DOWNSTREAM).run(f"""
        {purges[0]}
        peer down expect POST /triggers
        {purges[1]} {purges[2]} {purges[3]}
        client a send GET /ops/river-video/00000000000000aa X-Batch:3
        cache expect w cls=river-video within=?*
        cache send w ok - fresh
        client a expect 200 body=fresh
    """)


class DownstreamCdn:
    """A downstream CDN that takes triggers, and reports them as active until the test has ended them."""

    def __init__(self) -> None:
        """Listen on a loopback address."""
        self.taken: list[str] = []  # the first value of each trigger, in the order in which they came
        self.ended: set[str] = set()
        self.is_silent = threading.Event()
        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), self._handler())
        self.url = f"http://127.0.0.1:{self.server.server_port}/triggers"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def _handler(self) -> type[http.server.BaseHTTPRequestHandler]:
        cdn = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_POST(self) -> None:
                spec = json.loads(self.rfile.read(int(self.headers["Content-Length"])))["trigger"]
                value = (spec.get("content.ccid") or spec["content.urls"])[0]
                cdn.taken.append(value)
                self.answer(201, value)

            def do_GET(self) -> None:
                self.answer(200, self.path.rsplit("/", 1)[-1])

            def answer(self, status: int, value: str) -> None:
                while cdn.is_silent.is_set():
                    time.sleep(0.01)
                body = json.dumps({"status": "complete" if value in cdn.ended else "active"}).encode()
                self.send_response(status)
                self.send_header("Location", f"{cdn.url}/{value}")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format: str, *args: object) -> None:
                pass

        return Handler

    def close(self) -> None:
        """End the server."""
        self.is_silent.clear()
        self.server.shutdown()
        self.server.server_close()


@pytest.fixture
def downstreams() -> Iterator[list[DownstreamCdn]]:
    cdns = [DownstreamCdn(), DownstreamCdn()]
    yield cdns
    for cdn in cdns:
        cdn.close()


def config_with(downstreams: list[DownstreamCdn]) -> str:
    """Return the configuration of a CDN that delegates to these."""
    tables = [
        f"[[downstream]]\nid = 'AS{64499 + n}:0'\ntriggers = '{cdn.url}'\n"
        for n, cdn in enumerate(downstreams)
    ]
    return CONFIG + "\n".join(tables)


def test_purge_is_forwarded_while_earlier_triggers_have_not_ended_there(
    downstreams: list[DownstreamCdn],
) -> None:
    """Guards against a downstream CDN that hears of a purge only when it has ended what came before."""
    scenario = Scenario(config_with(downstreams[:1]))
    numbers = [str(n) for n in range(6)]
    scenario.run("".join(send_trigger(f"p{n}", content_ccid=[n]) for n in numbers), close=False)
    eventually(lambda: sorted(downstreams[0].taken) == numbers)
    downstreams[0].ended.add("4")
    scenario.run("""
        client u wait {p4} body='*"status": "complete"*'
        client u send GET {p3}
        client u expect 200 body='*"status": "active"*'
    """)


def test_silent_downstream_cdn_holds_up_no_other(downstreams: list[DownstreamCdn]) -> None:
    """Guards against a downstream CDN that hears of a purge late, as another one does not answer."""
    silent, sound = downstreams
    silent.is_silent.set()
    scenario = Scenario(config_with(downstreams))
    numbers = [str(n) for n in range(6)]
    scenario.run("".join(send_trigger(f"p{n}", content_ccid=[n]) for n in numbers), close=False)
    eventually(lambda: sorted(sound.taken) == numbers)
    sound.ended.add("0")
    scenario.run("""
        client u wait {p0} body='*"status": "failed"*"error": "ecdn"*AS64499:0*'
    """)


def test_purge_is_forwarded_before_prepositions_that_wait(downstreams: list[DownstreamCdn]) -> None:
    """Guards against a downstream CDN that hears of a purge behind prepositions that came before."""
    cdn = downstreams[0]
    cdn.is_silent.set()
    scenario = Scenario(config_with([cdn]))
    urls = [f"http://maps.up/maps/{n}" for n in range(4)]
    lines = [send_trigger(f"w{n}", "preposition", content_urls=[url]) for n, url in enumerate(urls)]
    scenario.run(lines[0], close=False)
    eventually(lambda: cdn.taken == urls[:1])
    scenario.run("".join(lines[1:]) + send_trigger("purge", content_ccid=["5"]), close=False)
    cdn.is_silent.clear()
    eventually(lambda: len(cdn.taken) == 5)
    assert cdn.taken == [urls[0], "5", *urls[1:]]
    scenario.node.stop()


def test_prepositions_that_wait_leave_room_for_purges() -> None:
    """Guards against a purge that is refused behind prepositions, while the origin is slow."""
    body = command("preposition", content_urls=CONTENT)
    with (
        unittest.mock.patch.object(triggers, "MAX_OPEN_PREPOSITIONS", 3),
        unittest.mock.patch.object(triggers, "MAX_RESOURCES", 5),
    ):
        scenario = Scenario(CONFIG + DOWNSTREAM_WITHOUT_URLS)
        for n in range(7):
            scenario.run(
                f"""
                client c{n} send POST {{cdni}}/triggers {CI_TYPE} body='{body}'
                client c{n} expect {201 if n < 3 else "???"}
                """,
                close=False,
            )
        scenario.run(
            f"""
            {send_trigger("purge", content_ccid=[str(GROUP)])}
            client u wait {{purge}} body='*"status": "complete"*'
            """
        )
    assert scenario.node.core.counters["cdni.triggers_refused"] == 4


def test_triggers_that_are_deleted_count_until_they_have_left_their_queue() -> None:
    """Guards against memory that grows without a bound: a client may create and delete triggers."""
    upstream = Upstream("AS64496:0")
    conf = Cdni(("127.0.0.1", 0), "AS64500:0", "http://cdni", upstreams={upstream.id: upstream})
    core = unittest.mock.Mock(counters=Counters())
    table, store = MemberTable(6000.0), MetadataStore()
    workers = triggers.Triggers(conf, Purges(conf, table, store), unittest.mock.Mock(core=core), store)
    spec = {"type": "preposition", "content.urls": CONTENT}
    with unittest.mock.patch.object(triggers, "MAX_RESOURCES", 3):
        for _ in range(3):
            workers.delete(workers.create(spec, [upstream.id]))
        with pytest.raises(HttpError) as refused:
            workers.create(spec, [upstream.id])
        assert refused.value.status == 503 and core.counters["cdni.triggers_refused"] == 1
        workers.execute(workers.preposition_queue.get())
        workers.create(spec, [upstream.id])
    assert (workers.open_count, workers.preposition_queue.qsize()) == (3, 3)


@pytest.mark.parametrize(
    "command_text",
    [
        r'{"trigger": {"type": "purge", "content.ccid": ["\ud800"]}, "cdn-path": ["AS64496:0"]}',
        r'{"trigger": {"type": "purge", "content.urls": ["http://up/\uDFFF"]}, "cdn-path": ["AS64496:0"]}',
        r'{"trigger": {"type": "\ud800\ud800", "content.ccid": ["1"]}, "cdn-path": ["AS64496:0"]}',
        r'{"trigger": {"type": "purge", "content.ccid": ["1"]}, "cdn-path": ["\ud800"]}',
        b'{"trigger": {"type": "purge", "content.ccid": ["\xed\xa0\x80"]}, "cdn-path": ["AS64496:0"]}',
        b'{"trigger": {"type": "purge", "content.ccid": ["\xff"]}, "cdn-path": ["AS64496:0"]}',
    ],
)
def test_text_that_is_no_unicode_is_refused(command_text: str | bytes) -> None:
    """Guards against half a surrogate pair: a purge with one was a 500, and kept the room of a trigger."""
    raw = command_text.encode() if isinstance(command_text, str) else command_text
    with pytest.raises(HttpError, match="not JSON") as error:
        messages.parse_object(raw)
    assert error.value.status == 400
    assert messages.parse_object(rb'{"a": "\ud83d\ude00"}') == {"a": "\U0001f600"}


def test_failed_purge_takes_no_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against triggers that count as open for good, so that later ones are refused."""
    conf = Cdni(("127.0.0.1", 0), "AS64500:0", "http://cdni", {}, {"AS64496:0": Upstream("AS64496:0")})
    table, store = MemberTable(6000.0), MetadataStore()
    purges = Purges(conf, table, store)
    failure = unittest.mock.Mock(side_effect=RuntimeError("a fault"))
    monkeypatch.setattr(purges, "apply", failure)
    delivery = unittest.mock.Mock(core=unittest.mock.Mock(counters=Counters()))
    all_triggers = triggers.Triggers(conf, purges, delivery, store)
    with pytest.raises(RuntimeError):
        all_triggers.create({"type": "purge", "content.ccid": ["1"]}, ["AS64496:0"])
    assert all_triggers.open_count == 0 and not all_triggers.resources
