"""A real process at its limit of descriptors: idle clients take all that they can while discovery is down."""

from __future__ import annotations

import os
import resource
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from lupintack.standins.deployment import HOSTS, line
from lupintack.standins.fleet import Fleet
from lupintack.standins.processes import Processes, call
from tests.scenario import MessageReader
from tests.site import eventually

SOCKETS = 72
PROOF_LASTS_S = 6.0  # 7 s by the rule, of which discovery's last word may be a second old
GRACE_S = 2.0  # that second, and the grace behind the 7 s
TOLD_S = 4.0  # from when all that the board has counts as told; a try comes each 0.12 to 0.28 s
BOXES = {f"s-{n}": "box" for n in range(1, 61)}  # more than there is room for connections to members
MANY = BOXES | {name: kind for name, kind in HOSTS.items() if kind != "box"}


@pytest.fixture(params=["few", "many"])
def site(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Processes]:
    fleet = Fleet(hosts=MANY if request.param == "many" else HOSTS)
    play = Processes(tmp_path, fleet=fleet, sockets=SOCKETS)
    yield play
    play.close()


def ask(where: tuple[str, int], number: int) -> int:
    """A new client's request; its status."""
    with socket.create_connection(where, timeout=5.0) as sock:
        head = f"GET /ops/map-tiles/{number:016x} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        sock.sendall(f"{head}Req-Id: {number:016x}\r\nReq-Wait-Ms: 3000\r\n\r\n".encode())
        return int(MessageReader(sock).read_message()[0].split()[1])


def open_files(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


def test_idle_clients_fill_the_descriptors_while_discovery_is_down(site: Processes) -> None:
    process, admin = site.start()
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
    down_s = time.monotonic()
    site.fleet.discovery_server.down()
    idle: list[socket.socket] = []
    try:
        for n in range(3 * SOCKETS):  # some say nothing, some have asked once and rest
            sock = socket.create_connection(site.listen, timeout=5.0)
            idle.append(sock)
            if n % 3 == 0:
                sock.sendall(b"GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
        statuses, most = [], 0
        for n in range(120):
            statuses.append(ask(site.listen, n))
            most = max(most, open_files(process.pid))
        assert set(statuses) == {200}, {s: statuses.count(s) for s in statuses}
        asked_s = time.monotonic()
        status, said = call(admin, "GET", "/api/ready")
        assert status == 200
        if time.monotonic() - down_s < PROOF_LASTS_S:
            assert said == "ready"
        elif asked_s - down_s > PROOF_LASTS_S + GRACE_S:
            assert said.endswith("the origin alone serves")  # as the rule has it, on a machine that is slow
        assert most < SOCKETS
        # Discovery is back: what it tells binds within its usual time.
        gone = "s-1"
        told = line(gone, site.fleet.members[gone].address, "Gone", "box")
        site.fleet.discovery_server.publish({"pool": {"seq": 2, "whole": False, "hosts": [told]}})
        site.fleet.discovery_server.back()
        eventually(lambda: call(admin, "POST", f"/api/include?name={gone}")[0] == 404, TOLD_S)
        assert [ask(site.listen, n) for n in range(200, 230)] == [200] * 30
    finally:
        for sock in idle:
            sock.close()
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    log = site.log(0)
    assert "Traceback" not in log and log.count("accept failed") < 20, log[-2000:]
    assert "ended.connect_failed" not in log and "out of use" not in log, log[-2000:]
