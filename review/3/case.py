"""A purge that comes by CDNI waits behind triggers that are under way while the central store is slow."""

from __future__ import annotations

import time

from lupintack.standins import deployment
from lupintack.standins.net import free_ports
from review.common.case import Case, main
from review.common.cdni import CdniFile, send_trigger, trigger_status
from review.common.client import Answer, Connection, new_id
from review.common.members import Caches
from review.common.platform import Board

SETTINGS = deployment.SETTINGS
GROUP = 17
OBJECT = "00000000000000aa"
HOSTS = f"""
[[host]]
name = "maps.up"
group = {GROUP}
upstream = "AS64496:0"
[[host.path]]
prefix = "/video/"
class = "river-video"
"""
NOTICE_S = SETTINGS["domain"]["notice-time"] / 1000.0 + 0.05  # on sockets each time limit is 50 ms longer
ANSWER_S = 0.05  # the central store answers in 32 to 70 ms
SLOWER = 4.0  # it runs 1.9 to 4.5 times slower
SLOW_S = 7.3  # for 7.2 to 18 s
PREPOSITIONED = 30  # objects in each of two triggers
PURGE_AFTER_S = 3.0


def get(listen: str, case: Case, item: str) -> Answer:
    """Ask for an object on a new connection."""
    connection = Connection(listen, case.record)
    headers = {"Req-Id": new_id(), "Req-Wait-Ms": "5000", "X-Batch": str(GROUP)}
    answer = connection.request("GET", f"/ops/river-video/{item}", headers)
    connection.close()
    return answer


def play(case: Case) -> list[str]:
    """Play the case."""
    caches, board = Caches(SETTINGS, case.record), Board()
    listen = f"127.0.0.1:{free_ports(1)[0]}"
    cdni = CdniFile(case.tmp, HOSTS)
    config = deployment.configuration(caches.dials(), board.address, listen)
    caches.fill_s = ANSWER_S
    case.router("router", config, LUPINTACK_CDNI=str(cdni.path))
    if get(listen, case, OBJECT).status != 200:
        raise RuntimeError("the router does not serve")
    slow_s = time.monotonic()
    if case.trouble:
        case.record.write("store", f"runs {SLOWER} times slower")
        caches.fill_s = ANSWER_S * SLOWER
    for n in range(2):
        urls = [f"http://maps.up/video/{n + 1:08x}{m:08x}" for m in range(PREPOSITIONED)]
        send_trigger(cdni.address, case.record, "preposition", content_urls=urls)
    time.sleep(PURGE_AFTER_S)
    purged_ms = int(time.time() * 1000)
    purge = send_trigger(cdni.address, case.record, "purge", content_ccid=[str(GROUP)])
    told_s = time.monotonic()
    time.sleep(NOTICE_S + 0.15)
    broken = []
    while time.monotonic() < told_s + 3.0 and not broken:
        answer = get(listen, case, OBJECT)
        if answer.status == 200 and int(answer.tag[1:]) < purged_ms and answer.sent_s > told_s + NOTICE_S:
            broken.append(
                f"{OBJECT}: asked for {answer.sent_s - told_s:.3f} s after the purge was told, answered from "
                f"a copy issued {purged_ms - int(answer.tag[1:])} ms before it"
            )
            trigger_status(cdni.address, case.record, purge.headers["location"])
        time.sleep(0.25)
    if case.trouble:
        time.sleep(max(0.0, slow_s + SLOW_S - time.monotonic()))
    return broken


if __name__ == "__main__":
    main(__file__, play)
