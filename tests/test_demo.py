"""`lupintack demo` as a user starts it, and the end of its router by SIGTERM."""

from __future__ import annotations

import json
import signal
import subprocess
import sys

from lupintack.cli.demo import Router
from lupintack.client import Client, Served
from lupintack.standins.fleet import Fleet
from lupintack.standins.processes import call
from tests.app import App


def test_one_line_of_json_then_it_serves_until_it_is_interrupted() -> None:
    words = [sys.executable, "-m", "lupintack.cli.main", "demo", "--json"]
    process = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        told = json.loads(process.stdout.readline())
        assert set(told) == {"http1", "http2", "admin", "path", "headers"}
        host, _, port = told["admin"].rpartition(":")
        assert call((host, int(port)), "GET", "/api/ready") == (200, "ready")
        assert call((host, int(port)), "POST", "/api/exclude?name=s-1") == (200, "out")
        cls, item = told["path"].split("/")[2:]
        for name in ("http1", "http2"):
            host, _, port = told[name].rpartition(":")
            with Client((host, int(port)), http2=name == "http2") as client:
                assert isinstance(client.get(cls, item), Served)
    finally:
        process.send_signal(signal.SIGINT)
        out, errors = process.communicate(timeout=15)
    assert process.returncode == 0 and out == "" and "Traceback" not in errors


def test_sigterm_ends_the_router_with_0_and_its_http2_clients_are_told() -> None:
    fleet = Fleet()
    router = Router(fleet, '[http2]\nenabled = true\nlisten = "{http2}"\n')
    try:
        app = App(router.http2)
        router.process.send_signal(signal.SIGUSR1)
        assert app.answer(app.ask("GET", "/ops/map-tiles/00000000000000aa")).status == 200
        router.process.terminate()
        assert app.end() == [((1 << 31) - 1, 0), (1, 0)]
        assert router.process.wait(8.0) == 0
        assert not [line for line in router.lines() if "Traceback" in line]
        assert any("http2.0.now.open=" in line for line in router.lines())
    finally:
        router.close()
        fleet.close()


def test_a_router_that_can_not_start_says_why() -> None:
    fleet = Fleet()
    try:
        Router(fleet, "[http2]\nenabled = true\nlisten = 'nowhere'\n")
    except RuntimeError as error:
        assert "host:port" in str(error)
    else:
        raise AssertionError("it came up")
    finally:
        fleet.close()
