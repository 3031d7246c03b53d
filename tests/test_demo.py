"""`lupintack demo` as a process: its output, the router's end on SIGTERM, and a failed start."""

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


def test_demo_prints_one_line_of_json_and_serves_until_interrupted() -> None:
    command = [sys.executable, "-m", "lupintack.cli.main", "demo", "--json"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        endpoints = json.loads(process.stdout.readline())
        assert set(endpoints) == {"http1", "http2", "admin", "path", "headers"}
        host, _, port = endpoints["admin"].rpartition(":")
        assert call((host, int(port)), "GET", "/api/ready") == (200, "ready")
        assert call((host, int(port)), "POST", "/api/exclude?name=s-1") == (200, "out")
        cls, item = endpoints["path"].split("/")[2:]
        for name in ("http1", "http2"):
            host, _, port = endpoints[name].rpartition(":")
            with Client((host, int(port)), http2=name == "http2") as client:
                assert isinstance(client.get(cls, item), Served)
    finally:
        process.send_signal(signal.SIGINT)
        out, errors = process.communicate(timeout=15)
    assert process.returncode == 0 and out == "" and "Traceback" not in errors


def test_router_on_sigterm_sends_goaway_to_http2_clients_and_exits_with_0() -> None:
    fleet = Fleet()
    router = Router(fleet, '[http2]\nenabled = true\nlisten = "{http2}"\n')
    try:
        app = App(router.http2)
        router.process.send_signal(signal.SIGUSR1)
        assert app.read_response(app.send_request("GET", "/ops/map-tiles/00000000000000aa")).status == 200
        router.process.terminate()
        assert app.read_until_closed() == [((1 << 31) - 1, 0), (1, 0)]
        assert router.process.wait(8.0) == 0
        assert not [line for line in router.lines() if "Traceback" in line]
        assert any("http2.0.now.open=" in line for line in router.lines())
    finally:
        router.close()
        fleet.close()


def test_error_of_a_failed_start_names_the_cause() -> None:
    fleet = Fleet()
    try:
        Router(fleet, "[http2]\nenabled = true\nlisten = 'nowhere'\n")
    except RuntimeError as error:
        assert "host:port" in str(error)
    else:
        raise AssertionError("the router started")
    finally:
        fleet.close()
