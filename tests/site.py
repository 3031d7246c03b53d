"""An in-process router with HTTP/2 enabled, between stand-ins that answer automatically."""

from __future__ import annotations

import dataclasses
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from lupintack import operator
from lupintack.config import parse
from lupintack.fronts.cdni import conf as cdni_conf
from lupintack.node import Node
from lupintack.standins.fleet import Fleet, Terms
from tests.app import App

TILE = "/ops/map-tiles/00000000000000aa"
VIDEO = "/ops/river-video/00000000000000bb"
ACK = "/ops/alert-ack/00000000000000ac"
CDNI: dict[str, Any] = {
    "enabled": True, "listen": "127.0.0.1:0", "id": "AS64500:0", "base": "http://127.0.0.1:8007",
    "host": [{"name": "own", "group": 3, "path": [{"prefix": "/maps/", "class": "map-tiles"}]}],
}  # fmt: skip


def eventually(condition: Callable[[], bool], timeout_s: float = 5.0) -> None:
    """Poll until the condition holds; fail after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "the condition did not become true in time"
        time.sleep(0.005)


class Site:
    """A router and the stand-ins of its members, discovery and clients."""

    def __init__(self, terms: Terms | None, http2: dict[str, Any], **limits: Any) -> None:
        self.fleet = Fleet(terms)
        operator_config = operator.parse(
            {"http2": {"enabled": True, "listen": "127.0.0.1:0", **http2}}, "operator.toml"
        )
        self.conf = parse(self.fleet.configuration(**limits), {})
        cdni = None
        if operator_config.http2.cdni_listen:
            cdni = cdni_conf.parse(CDNI, "cdni.toml", self.conf.names.classes)
        self.node = Node(self.conf, cdni, operator_config)
        self.node.start()
        self.http1: tuple[str, int] = self.node.servers[0].sock.getsockname()
        self.front = self.node.http2[0]
        self.http2: tuple[str, int] = self.front.sock.getsockname()
        self.apps: list[App] = []
        self.stop_thread: threading.Thread | None = None

    def app(self, **options: Any) -> App:
        app = App(self.http2, **options)
        self.apps.append(app)
        return app

    def count(self, name: str) -> int:
        return self.node.core.counters[name]

    def member_requests(self, cls: str) -> int:
        return sum(member.requests_by_class[cls] for member in self.fleet.members.values())

    def change_limits(self, **changes: Any) -> None:
        """Change limits of the HTTP/2 front, as a reload by SIGHUP would."""
        self.front.apply(dataclasses.replace(self.front.terms, **changes))

    def stop(self) -> None:
        """Stop the router as SIGTERM would, without waiting."""
        self.stop_thread = threading.Thread(target=self.node.stop, daemon=True)
        self.stop_thread.start()

    def wait_stopped(self, timeout_s: float = 6.0) -> None:
        assert self.stop_thread is not None
        self.stop_thread.join(timeout_s)
        assert not self.stop_thread.is_alive()

    def close(self) -> None:
        for app in self.apps:
            app.close()
        self.node.end()
        self.fleet.close()


@contextmanager
def site(terms: Terms | None = None, limits: dict[str, Any] | None = None, **http2: Any) -> Iterator[Site]:
    """Run a site for one test, and close it afterwards."""
    running_site = Site(terms, http2, **(limits or {}))
    try:
        yield running_site
    finally:
        running_site.close()
