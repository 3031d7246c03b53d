"""A purge that one process of an upgrade has taken by CDNI does not bind the other one."""

from __future__ import annotations

import secrets
import threading
import time
from pathlib import Path

from lupintack.standins import deployment
from review.common2 import cdni
from review.common2.frame import Case, free_ports, main
from review.common2.net import Reply, request
from review.common2.site import Site

CLASS, ITEM, GROUP = "river-video", "00000000000000aa", 17
NOTICE_S = 0.3 + 0.05  # `notice-time` of the settings, and the protocol page's 50 ms
SETTLES_S = 6.0  # `purge-settles` of the settings
DROPS_AFTER_S = 5.5  # when the members have dropped the older copies


def play(case: Case) -> None:
    """An object is published anew and purged by CDNI while an upgrade is under way."""
    site = Site(case.record, deployment.SETTINGS)
    port, cdni_port, admin, new_admin = free_ports(4)
    configuration, file = site.configuration(), cdni.configuration(cdni_port, GROUP)
    old = case.start_router("old", configuration, port, admin, file)
    old.wait_ready()

    def ask() -> Reply:
        headers = {"Req-Id": secrets.token_hex(8), "Req-Wait-Ms": "2000", "X-Batch": str(GROUP)}
        reply = request(port, "GET", f"/ops/{CLASS}/{ITEM}", headers)
        case.record.write("client", f"{headers['Req-Id']} gets {reply.status} {reply.body[:40]!r}")
        return reply

    for _ in range(3):
        ask()
    if case.trouble:
        new = case.start_router("new", configuration, port, new_admin, file)
        time.sleep(0.1)
    changed_ms = site.change(ITEM)
    url = f"http://{cdni.HOST}/video/{ITEM}"
    told_s = cdni.trigger(case, cdni_port, "purge", content_urls=[url])
    threading.Timer(DROPS_AFTER_S, site.drop_older, (ITEM, changed_ms)).start()
    if case.trouble:
        new.wait_ready()
        case.record.write("new", "says yes")
        case.terminate(old)
    time.sleep(max(0.0, told_s + NOTICE_S + 0.05 - time.monotonic()))
    stale_s: list[float] = []
    while time.monotonic() < told_s + SETTLES_S + 2.0:
        asked_s = time.monotonic()
        reply = ask()
        if reply.status == 200 and reply.body != site.content(ITEM, "0"):
            stale_s.append(asked_s - told_s)
        time.sleep(0.25)
    if stale_s:
        case.broken(
            f"{len(stale_s)} requests, {stale_s[0]:.2f} to {stale_s[-1]:.2f} s after the purge was complete,"
            " were answered from a copy that is older than the purge"
        )


if __name__ == "__main__":
    main(Path(__file__).parent, play)
