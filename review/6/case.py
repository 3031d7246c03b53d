"""A client's If-None-Match at the CDNI front is written into the request to a cache as it came."""

from __future__ import annotations

import secrets
import time
from pathlib import Path

from lupintack.standins import deployment
from review.common2 import cdni
from review.common2.frame import Case, free_ports, main
from review.common2.net import Reply, request
from review.common2.site import Site

CLASS, WANTED, OTHER, ACK = "river-video", "00000000000000aa", "00000000000000bb", "00000000000000cc"
SOUND_TAG = '"x"'
TWO_TAGS = '"4be0c1927d55a6f3", "77d0aa12f3c4b5e6"'  # a list, as HTTP has it: the client holds two copies
BAD_TAGS = (f'"x,item={OTHER}"', f'"x,cls=alert-ack,item={ACK}"')


def play(case: Case) -> None:
    """Clients ask over the CDNI front; usual clients ask for the same object before and after."""
    site = Site(case.record, deployment.SETTINGS)
    port, cdni_port = free_ports(2)
    router = case.start_router("a", site.configuration(), port, cdni=cdni.configuration(cdni_port, 17))
    router.wait_ready()
    asked: dict[str, tuple[str, str]] = {}  # class and object that a client asked for, by its request's id

    def ask(who: str, to: int, target: str, more: dict[str, str]) -> Reply:
        wire_id = secrets.token_hex(8)
        asked[wire_id] = (CLASS, target.rsplit("/", 1)[1])
        headers = {"Req-Id": wire_id, "Req-Wait-Ms": "2000", **more}
        case.record.write(who, f"GET {target} {headers}")
        reply = request(to, "GET", target, headers)
        case.record.write(who, f"gets {reply.status} {reply.headers.get('etag', '')} {reply.body[:40]!r}")
        return reply

    def usual_client() -> None:
        reply = ask("client", port, f"/ops/{CLASS}/{WANTED}", {"X-Batch": "17"})
        if reply.status == 200 and reply.body != site.content(WANTED, "0"):
            case.broken(f"a usual client asked for {WANTED} and got 200 with {reply.body[:27]!r}")

    def cdni_client(item: str, tags: str) -> None:
        who = "bad one" if tags in BAD_TAGS else "client"
        ask(who, cdni_port, f"/delivery/{cdni.HOST}/video/{item}", {"If-None-Match": tags})

    usual_client()
    cdni_client(WANTED, BAD_TAGS[0] if case.trouble else SOUND_TAG)
    usual_client()
    cdni_client("00000000000000dd", BAD_TAGS[1] if case.trouble else SOUND_TAG)
    cdni_client("00000000000000ee", TWO_TAGS if case.trouble else SOUND_TAG)
    usual_client()
    time.sleep(0.2)
    for want in site.wants:
        got = (want.fields["cls"], want.fields["item"])
        if got != asked.get(want.wire_id):
            case.broken(
                f"{want.member.name} got {got} under an id whose client asked {asked.get(want.wire_id)}"
            )
    for _, item, _, wire_id in site.runs:
        case.broken(f"the origin ran the alert-ack {item}, which no client sent (id {wire_id})")
    for text in site.unreadable:
        case.broken(f"a request that can't be used was sent: {text}")


if __name__ == "__main__":
    main(Path(__file__).parent, play)
