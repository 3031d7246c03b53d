"""Idempotency keys in upgrades with real processes: a write runs once, whichever process gets its tries."""

from __future__ import annotations

import secrets
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from lupintack.process.key_sharing import KEY_LOG
from lupintack.standins import deployment
from lupintack.standins.fleet import Fleet, Terms
from lupintack.standins.processes import Processes
from tests.test_cdni_upgrade import Client, folder_of

POST = "/ops/post/0000000000000abc"
WINDOW_S = 2.0


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    terms = Terms(fault=lambda name, cls: "lost" if cls == "post" else "")
    router_processes = Processes(tmp_path, fleet=Fleet(terms, settings=deployment.SECOND_SETTINGS))
    yield router_processes
    router_processes.close()


def send_write(client: Client, key: str, wait_ms: int, **fields: str) -> int:
    """Send a write whose answer never comes; return the status."""
    return client.send("PUT", POST, "notice", Req_Token=key, Req_Wait_Ms=str(wait_ms), **fields)[0]


def test_retry_past_the_window_is_not_sent_by_the_new_process(processes: Processes) -> None:
    """Guards against review/7: a post ran twice, as the new process didn't know the first try."""
    old, _ = processes.start()
    key, began_s = secrets.token_hex(16), time.monotonic()
    assert send_write(Client(processes.listen[1]), key, 300) in (502, 503)
    processes.start()
    processes.wait_for_log(1, "routed=true")
    old.send_signal(signal.SIGTERM)
    time.sleep(max(0.0, began_s + WINDOW_S + 0.1 - time.monotonic()))
    assert send_write(Client(processes.listen[1]), key, 300, Req_Retry="1") == 503
    assert processes.fleet.ran == {key: 1}
    assert old.wait(10) == 0


def test_write_of_the_new_process_is_known_to_the_old_one(processes: Processes) -> None:
    old, _ = processes.start()
    kept = Client(processes.listen[1])
    assert kept.send("GET", "/ops/pages/0000000000000001")[0] == 200
    processes.start()
    processes.wait_for_log(1, "routed=true")
    key, began_s = secrets.token_hex(16), time.monotonic()
    assert send_write(Client(processes.listen[1]), key, 300) in (502, 503)
    time.sleep(max(0.0, began_s + WINDOW_S + 0.1 - time.monotonic()))
    assert send_write(kept, key, 300, Req_Retry="1") == 503
    assert processes.fleet.ran == {key: 1}
    old.send_signal(signal.SIGTERM)
    assert old.wait(10) == 0


def test_retry_at_a_process_that_cannot_read_the_keys_is_refused(processes: Processes) -> None:
    """Guards against the same where the handoff fails: the retry is refused, a new write is held back."""
    old, _ = processes.start()
    key = secrets.token_hex(16)
    assert send_write(Client(processes.listen[1]), key, 300) in (502, 503)
    log = folder_of(processes) / KEY_LOG
    log.unlink()
    log.mkdir()  # which can't be opened as a log
    processes.start()
    processes.wait_for_log(1, "routed=true")
    for fields in ({"Req_Retry": "1"}, {}):
        status = send_write(
            Client(processes.listen[1]), key if fields else secrets.token_hex(16), 300, **fields
        )
        assert status == 503
    assert processes.fleet.ran == {key: 1}
    assert Client(processes.listen[1]).send("GET", "/ops/pages/0000000000000001")[0] == 200
    old.send_signal(signal.SIGTERM)
    assert old.wait(10) == 0
