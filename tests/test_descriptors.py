"""A real process at its descriptor limit: idle clients open many connections while discovery is down."""

from __future__ import annotations

import os
import resource
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from lupintack.standins.deployment import HOSTS, host_entry
from lupintack.standins.fleet import Fleet
from lupintack.standins.processes import Processes, call
from tests.scenario import MessageReader
from tests.site import eventually

SOCKETS = 72
PROOF_VALID_S = 6.0  # of the 7 s of the protocol, as discovery's last line may be a second old
GRACE_S = 2.0  # that second, and the grace period after the 7 s
NOTIFIED_S = 4.0  # after which a change counts as notified; reconnects follow every 0.12 to 0.28 s
BOXES = {f"s-{n}": "box" for n in range(1, 61)}  # more members than connections to members are allowed
MANY = BOXES | {name: kind for name, kind in HOSTS.items() if kind != "box"}


@pytest.fixture(params=["few", "many"])
def site(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Processes]:
    fleet = Fleet(hosts=MANY if request.param == "many" else HOSTS)
    processes = Processes(tmp_path, fleet=fleet, sockets=SOCKETS)
    yield processes
    processes.close()


def send_request(address: tuple[str, int], number: int) -> int:
    """Send a new client's request; return its status."""
    with socket.create_connection(address, timeout=5.0) as sock:
        head = f"GET /ops/map-tiles/{number:016x} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        sock.sendall(f"{head}Req-Id: {number:016x}\r\nReq-Wait-Ms: 3000\r\n\r\n".encode())
        return int(MessageReader(sock).read_message()[0].split()[1])


def open_files(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


def test_idle_clients_fill_the_descriptors_while_discovery_is_down(site: Processes) -> None:
    process, admin = site.start()
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
    down_s = time.monotonic()
    site.fleet.discovery_server.refuse_connections()
    idle: list[socket.socket] = []
    try:
        for n in range(3 * SOCKETS):  # some send nothing, some one request
            sock = socket.create_connection(site.listen, timeout=5.0)
            idle.append(sock)
            if n % 3 == 0:
                sock.sendall(b"GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
        statuses, max_open = [], 0
        for n in range(120):
            statuses.append(send_request(site.listen, n))
            max_open = max(max_open, open_files(process.pid))
        assert set(statuses) == {200}, {s: statuses.count(s) for s in statuses}
        checked_s = time.monotonic()
        status, text = call(admin, "GET", "/api/ready")
        assert status == 200
        if time.monotonic() - down_s < PROOF_VALID_S:
            assert text == "ready"
        elif checked_s - down_s > PROOF_VALID_S + GRACE_S:
            assert text.endswith("the origin alone serves")  # allowed by the protocol, on a slow machine
        assert max_open < SOCKETS
        # Discovery is back: its events take effect within the usual time.
        removed = "s-1"
        removal = host_entry(removed, site.fleet.members[removed].address, "Gone", "box")
        site.fleet.discovery_server.publish({"pool": {"seq": 2, "whole": False, "hosts": [removal]}})
        site.fleet.discovery_server.accept_connections()
        eventually(lambda: call(admin, "POST", f"/api/include?name={removed}")[0] == 404, NOTIFIED_S)
        assert [send_request(site.listen, n) for n in range(200, 230)] == [200] * 30
    finally:
        for sock in idle:
            sock.close()
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    log = site.log(0)
    assert "Traceback" not in log and log.count("accept failed") < 20, log[-2000:]
    assert "ended.connect_failed" not in log and "out of use" not in log, log[-2000:]
