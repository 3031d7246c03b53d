"""Ids that one process of an upgrade has taken by CDNI are known to the other one, also where that fails."""

from __future__ import annotations

import secrets
import time

from lupintack.process.cdni_setup import ID_LOG
from lupintack.standins.processes import call
from tests.test_cdni_upgrade import ACK, HOST, ITEM, CdniProcesses, Client, processes

__all__ = ["processes"]


def test_id_that_one_process_has_taken_is_known_to_the_other(processes: CdniProcesses) -> None:
    """Guards against an alert-ack that runs twice, as its second copy comes to the other process."""
    old, _ = processes.start()
    old_cdni = [Client(processes.cdni_port) for _ in range(3)]  # an answer of 409 closes a connection
    ids = [secrets.token_hex(8) for _ in range(3)]
    assert old_cdni[0].send("PUT", ACK, "seen", Req_Id=ids[0])[0] == 200
    processes.start_new()
    new_cdni = [Client(processes.cdni_port) for _ in range(3)]
    assert new_cdni[0].send("PUT", ACK, "seen", Req_Id=ids[0])[0] == 409
    assert new_cdni[1].send("PUT", ACK, "seen", Req_Id=ids[1])[0] == 200
    assert old_cdni[1].send("PUT", ACK, "seen", Req_Id=ids[1])[0] == 409
    assert old_cdni[2].send("PUT", ACK, "seen", Req_Id=ids[2])[0] == 200
    old.kill()
    old.wait()
    assert new_cdni[2].send("PUT", ACK, "seen", Req_Id=ids[2])[0] == 409
    assert processes.fleet.ran == {"00000000000000ac": 3}


def test_id_of_a_request_that_was_refused_may_be_used_at_the_other_process(processes: CdniProcesses) -> None:
    processes.fleet.terms.fault = lambda name, cls: "refused" if cls == "alert-ack" else ""
    processes.start()
    old_cdni = Client(processes.cdni_port)
    wire_id = secrets.token_hex(8)
    assert old_cdni.send("PUT", ACK, "seen", Req_Id=wire_id)[0] == 503
    processes.start_new()
    processes.fleet.terms.fault = lambda name, cls: ""
    assert Client(processes.cdni_port).send("PUT", ACK, "seen", Req_Id=wire_id)[0] == 200
    assert processes.fleet.ran == {"00000000000000ac": 1}


def test_ids_are_refused_while_they_cannot_be_shared(processes: CdniProcesses) -> None:
    """The bound of what may not be known: an alert-ack is refused, and may be tried again."""
    processes.folder.mkdir()
    (processes.folder / ID_LOG).mkdir()
    _, admin = processes.start()
    status, answer, _ = Client(processes.cdni_port).send("PUT", ACK, "seen")
    assert status == 503 and "retry-after" in answer and not processes.fleet.ran
    assert Client(processes.cdni_port).send("GET", f"/content/{HOST}/video/{ITEM}")[0] == 200
    (processes.folder / ID_LOG).rmdir()
    time.sleep(0.5)
    assert Client(processes.cdni_port).send("PUT", ACK, "seen")[0] == 200
    assert call(admin, "GET", "/api/ready")[0] == 200
