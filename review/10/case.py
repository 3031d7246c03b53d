"""Prepositioned content is fetched and kept under the wrong collection, so that purges do not reach it."""

from __future__ import annotations

import json
import secrets
import socket
import threading
import time
from pathlib import Path

from lupintack.standins import deployment
from review.common2 import cdni
from review.common2.frame import Case, free_ports, main
from review.common2.net import Reply, address_of, listen, request
from review.common2.site import Site

CLASS, ITEM = "river-video", "00000000000000aa"
DEFAULT_GROUP, GROUP = 9, 17  # of the host in the file, and of its content by the upstream CDN's metadata
NOTICE_S = 0.3 + 0.05  # `notice-time` of the settings, and the protocol page's 50 ms
DROPS_AFTER_S = 5.5  # when the members have dropped the older copies: `purge-settles` is 6 s
PREPOSITION_AFTER_S = 1.0  # after the purge
ASKS_AFTER_S = 11.0


def serve_metadata(sock: socket.socket) -> None:
    """Answer a request for the upstream CDN's HostIndex: all content of the host is in one collection."""
    grouping = {"generic-metadata-type": "MI.Grouping", "generic-metadata-value": {"ccid": str(GROUP)}}
    index = {"hosts": [{"host": cdni.HOST, "host-metadata": {"metadata": [grouping]}}]}
    body = json.dumps(index).encode()
    head = "HTTP/1.1 200 OK\r\nContent-Type: application/cdni; ptype=MI.HostIndex\r\nConnection: close\r\n"
    with sock:
        sock.recv(65536)
        sock.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)


def play(case: Case) -> None:
    """A collection is published anew, purged, and one of its objects is prepositioned."""
    site = Site(case.record, deployment.SETTINGS)
    port, cdni_port = free_ports(2)
    metadata = f"http://{address_of(listen(serve_metadata))}/hostindex"
    file = cdni.configuration(cdni_port, DEFAULT_GROUP, metadata)
    case.start_router("a", site.configuration(), port, cdni=file).wait_ready()

    def ask() -> Reply:
        headers = {"Req-Id": secrets.token_hex(8), "Req-Wait-Ms": "2000"}
        reply = request(cdni_port, "GET", f"/delivery/{cdni.HOST}/video/{ITEM}", headers)
        case.record.write("client", f"{headers['Req-Id']} gets {reply.status} {reply.body[:40]!r}")
        return reply

    ask()
    time.sleep(1.0)
    told_s, purged_ms = time.monotonic(), 0
    if case.trouble:
        purged_ms = site.change(ITEM)
        site.board.publish({"flush": {"collection": GROUP, "ms": purged_ms}})
        told_s = time.monotonic()
        threading.Timer(DROPS_AFTER_S, site.drop_older, (ITEM, purged_ms)).start()
    time.sleep(PREPOSITION_AFTER_S)
    cdni.trigger(case, cdni_port, "preposition", content_urls=[f"http://{cdni.HOST}/video/{ITEM}"])
    for want in site.wants:
        if want.at_s > told_s + NOTICE_S and want.copy is not None and want.copy.issued_ms < purged_ms:
            case.broken(
                f"a request sent {want.at_s - told_s:.2f} s after the purge was told, with"
                f" within={want.fields.get('within', '-')}, was answered from a copy issued"
                f" {purged_ms - want.copy.issued_ms} ms before the purge"
            )
    time.sleep(max(0.0, told_s + ASKS_AFTER_S - time.monotonic()))
    reply = ask()
    if reply.status == 200 and reply.body != site.content(ITEM, "0"):
        case.broken(
            f"a client that asked {ASKS_AFTER_S:.0f} s after the purge was told got the older"
            f" {reply.body[:30]!r}, which no member holds any more"
        )


if __name__ == "__main__":
    main(Path(__file__).parent, play)
