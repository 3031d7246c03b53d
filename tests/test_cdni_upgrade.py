"""What one process of an upgrade takes by CDNI binds the other one, from its start to the old one's end."""

from __future__ import annotations

import json
import secrets
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from urllib.parse import urlsplit

import pytest

from lupintack.lifecycle.folder import folder_path
from lupintack.process.cdni_setup import PURGE_LOG
from lupintack.standins.fleet import Call
from lupintack.standins.net import free_ports
from lupintack.standins.processes import Processes
from tests.scenario import MessageReader
from tests.site import eventually
from tests.test_cdni_triggers import DownstreamCdn

HOST, UPSTREAM, GROUP = "maps.up", "AS64496:0", 17
ITEM = "00000000000000aa"
VIDEO = f"/ops/river-video/{ITEM}"
ACK = f"/content/{HOST}/ack/00000000000000ac"
KILL_AFTER_S = 3.7  # SIGKILL follows SIGTERM by this at the earliest: 3 s for answers, and 0.7 s
NOTICE_S = 0.35  # from when a purge is told: `notice-time`, and 50 ms on sockets


class Client:
    """A connection to a router that is kept, as to the process that accepted it."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=5)
        self.reader = MessageReader(self.sock)

    def send(
        self, method: str, target: str, body: str = "", **fields: str
    ) -> tuple[int, dict[str, str], str]:
        headers = {"Host": "x", "Req-Id": secrets.token_hex(8), "Req-Wait-Ms": "2000"}
        headers |= {name.replace("_", "-"): value for name, value in fields.items()}
        if body:
            headers["Content-Length"] = str(len(body))
        lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
        self.sock.sendall(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
        first, answer, text = self.reader.read_message()
        return int(first.split()[1]), answer, text


def folder_of(processes: Processes) -> Path:
    """Return the folder that the processes of the router share."""
    return folder_path(str(processes.tmp), "n0", f"127.0.0.1:{processes.listen[1]}")


class CdniProcesses(Processes):
    """Processes of a router with a CDNI front."""

    def __init__(self, tmp: Path) -> None:
        super().__init__(tmp, link_bytes_per_s=1e7)
        self.cdni_port = free_ports(1)[0]
        self.fleet.terms.stamped = True
        self.calls: list[Call] = []
        self.fleet.on_call = self.calls.append
        self.cdni_file = tmp / "cdni.toml"
        self.cdni_file.write_text(f"""
            enabled = true
            listen = "127.0.0.1:{self.cdni_port}"
            id = "AS64500:0"
            base = "http://127.0.0.1:{self.cdni_port}"
            [[host]]
            name = "{HOST}"
            group = {GROUP}
            upstream = "{UPSTREAM}"
            [[host.path]]
            prefix = "/video/"
            class = "river-video"
            [[host.path]]
            prefix = "/ack/"
            class = "alert-ack"
            [[upstream]]
            id = "{UPSTREAM}"
        """)
        self.environment = {"LUPINTACK_CDNI": str(self.cdni_file)}

    def add_downstream(self, triggers_url: str) -> None:
        """Let processes that are started from now on forward triggers to a downstream CDN."""
        with self.cdni_file.open("a") as file:
            file.write(f"[[downstream]]\nid = 'AS64499:0'\ntriggers = '{triggers_url}'\n")

    def start_new(self) -> None:
        """Start a new process beside the running one, and wait until new connections go to it."""
        self.start()
        self.wait_for_log(len(self.running) - 1, "routed=true")

    @property
    def folder(self) -> Path:
        return folder_of(self)

    def purge(
        self, client: Client, selector: str = "content.ccid", value: str = str(GROUP)
    ) -> tuple[int, str]:
        """Send a purge; return the status and the Location."""
        spec = {"type": "purge", selector: [value]}
        body = json.dumps({"trigger": spec, "cdn-path": [UPSTREAM]})
        content_type = "application/cdni; ptype=ci-trigger-command"
        status, answer, _ = client.send("POST", "/triggers", body, Content_Type=content_type)
        return status, answer.get("location", "")

    def ages_asked(self, since_s: float) -> list[str]:
        """Return the bound of age of each request for the object that came after a time."""
        calls = [call for call in self.calls if call.at_s > since_s and call.fields["item"] == ITEM]
        return [call.fields.get("within", "") for call in calls]


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[CdniProcesses]:
    router_processes = CdniProcesses(tmp_path)
    yield router_processes
    router_processes.close()


@pytest.fixture
def downstream() -> Iterator[DownstreamCdn]:
    cdn = DownstreamCdn()
    yield cdn
    cdn.close()


def issued_ms(body: str) -> int:
    """Return when a copy was issued, by its bytes."""
    return int(body.split()[0].removeprefix("issued="))


def assert_purge_binds(
    processes: CdniProcesses, client: Client, told_s: float, told_ms: float, requests: int = 4
) -> None:
    """Assert that nothing older than a purge is served from the time by which it binds, nor asked for."""
    time.sleep(max(0.0, told_s + NOTICE_S - time.monotonic()))
    asked_s = time.monotonic()
    for _ in range(requests):
        status, _, body = client.send("GET", VIDEO, X_Batch=str(GROUP))
        assert status == 200 and issued_ms(body) >= told_ms
    ages = processes.ages_asked(asked_s)
    assert all(age and int(age) <= (time.monotonic() - told_s) * 1000 for age in ages), ages


@pytest.mark.parametrize(
    ("selector", "value"), [("content.urls", f"http://{HOST}/video/{ITEM}"), ("content.ccid", str(GROUP))]
)
def test_purge_during_the_start_of_the_new_process_binds_it(
    processes: CdniProcesses, selector: str, value: str
) -> None:
    """Guards against review/9: the new process served copies older than a purge that the old one took."""
    old, _ = processes.start()
    client = Client(processes.listen[1])
    for _ in range(3):
        client.send("GET", VIDEO, X_Batch=str(GROUP))
    cdni = Client(processes.cdni_port)
    processes.start(wait=False)
    eventually(lambda: len(list(processes.folder.glob("run.*"))) == 2)
    told_s, told_ms = time.monotonic(), time.time() * 1000
    assert processes.purge(cdni, selector, value)[0] == 201
    assert "event=ready" not in processes.log(1)
    processes.wait_for_log(1, "routed=true")
    old.send_signal(signal.SIGTERM)
    assert_purge_binds(processes, Client(processes.listen[1]), told_s, told_ms)
    assert old.wait(10) == 0


def test_purge_at_either_process_binds_the_other_until_its_end(processes: CdniProcesses) -> None:
    """Guards against the same while both serve, both ways: each has clients on connections that are kept."""
    old, _ = processes.start()
    old_client, old_cdni = Client(processes.listen[1]), Client(processes.cdni_port)
    for _ in range(3):
        old_client.send("GET", VIDEO, X_Batch=str(GROUP))
    old_cdni.send("GET", "/alive")
    processes.start_new()
    new_client, new_cdni = Client(processes.listen[1]), Client(processes.cdni_port)
    for _ in range(3):
        new_client.send("GET", VIDEO, X_Batch=str(GROUP))
    new_cdni.send("GET", "/alive")
    for cdni, client in ((new_cdni, old_client), (old_cdni, new_client)):
        told_s, told_ms = time.monotonic(), time.time() * 1000
        assert processes.purge(cdni)[0] == 201
        assert_purge_binds(processes, client, told_s, told_ms)
    old.send_signal(signal.SIGTERM)
    told_s, told_ms = time.monotonic(), time.time() * 1000
    assert processes.purge(new_cdni)[0] == 201
    assert_purge_binds(processes, old_client, told_s, told_ms, requests=1)  # its connection's last one
    assert old.wait(10) == 0


def test_purge_of_a_process_that_has_ended_binds_one_that_starts_afterwards(processes: CdniProcesses) -> None:
    """Guards against a purge that is lost with the process that had taken it, killed or not."""
    old, _ = processes.start()
    told_s, told_ms = time.monotonic(), time.time() * 1000
    assert processes.purge(Client(processes.cdni_port))[0] == 201
    old.kill()
    old.wait()
    processes.start()
    assert_purge_binds(processes, Client(processes.listen[1]), told_s, told_ms)


def test_new_process_without_the_log_takes_everything_for_purged(processes: CdniProcesses) -> None:
    """Guards against older copies where the handoff fails: it can't know what the old process has taken."""
    old, _ = processes.start()
    client = Client(processes.listen[1])
    for _ in range(3):
        client.send("GET", VIDEO, X_Batch=str(GROUP))
    told_s, told_ms = time.monotonic(), time.time() * 1000
    assert processes.purge(Client(processes.cdni_port))[0] == 201
    (processes.folder / PURGE_LOG).unlink()
    (processes.folder / PURGE_LOG).mkdir()  # which can't be opened as a log
    processes.start_new()
    cdni = Client(processes.cdni_port)
    assert "shared log unusable" in processes.log(1)
    assert_purge_binds(processes, Client(processes.listen[1]), told_s, told_ms)
    assert processes.purge(cdni)[0] == 503, "it can't tell the old one"
    old.send_signal(signal.SIGTERM)
    assert old.wait(10) == 0


def test_triggers_of_two_processes_have_different_numbers(processes: CdniProcesses) -> None:
    """Guards against a status that is another trigger's: the new process began to count anew."""
    old, _ = processes.start()
    _, location = processes.purge(Client(processes.cdni_port), value="1")
    processes.start_new()
    cdni = Client(processes.cdni_port)
    for _ in range(3):
        _, other = processes.purge(cdni, value="2")
        assert other != location
    assert cdni.send("GET", urlsplit(location).path)[0] == 404
    old.send_signal(signal.SIGTERM)
    assert old.wait(10) == 0


@pytest.mark.parametrize("silent_s", [1.2, 60.0])
def test_purges_are_forwarded_before_their_process_ends(
    processes: CdniProcesses, downstream: DownstreamCdn, silent_s: float
) -> None:
    """Guards against purges that a downstream CDN never gets: their process ended while it was slow.

    One that stays silent holds the end up for as long as clients may, and what it lacks is reported.
    """
    downstream.is_silent.set()
    processes.add_downstream(downstream.url)
    old, _ = processes.start()
    cdni = Client(processes.cdni_port)
    for number in range(3):
        assert processes.purge(cdni, value=str(number))[0] == 201
    terminated_s = time.monotonic()
    old.send_signal(signal.SIGTERM)
    time.sleep(min(silent_s, 1.2))
    if silent_s < 60.0:
        downstream.is_silent.clear()
    assert old.wait(10) == 0
    assert time.monotonic() - terminated_s < KILL_AFTER_S
    is_reported = "purges not forwarded" in processes.log(0)
    assert (len(downstream.taken) < 3) == is_reported == (silent_s == 60.0)
