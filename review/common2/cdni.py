"""A stand-in upstream CDN: it sends triggers to the CDNI front, and waits for their end."""

from __future__ import annotations

import json
import time
from urllib.parse import urlsplit

from review.common2.frame import Case, CaseError
from review.common2.net import request

UPSTREAM = "AS64496:0"
HOST = "maps.basin.example"
COMMAND = {
    "Content-Type": "application/cdni; ptype=ci-trigger-command",
    "Accept": "application/cdni; ptype=ci-trigger-status",
}
END_TIMEOUT_S = 8.0


def configuration(
    port: int, group: int, metadata: str = "", prefix: str = "/video/", service_class: str = "river-video"
) -> str:
    """Return the file of the CDNI front: one host of the upstream CDN, whose collection is `group`."""
    return f"""
enabled = true
listen = "127.0.0.1:{port}"
id = "AS64500:0"
base = "http://127.0.0.1:{port}"
[[host]]
name = "{HOST}"
group = {group}
upstream = "{UPSTREAM}"
[[host.path]]
prefix = "{prefix}"
class = "{service_class}"
[[upstream]]
id = "{UPSTREAM}"
metadata = "{metadata}"
"""


def trigger(case: Case, port: int, kind: str, **selectors: list[str]) -> float:
    """Send a trigger and wait until it is complete; return the monotonic time at which that was seen."""
    spec = {"type": kind} | {key.replace("_", "."): value for key, value in selectors.items()}
    body = json.dumps({"trigger": spec, "cdn-path": [UPSTREAM]}).encode()
    case.record.write("upstream", f"POST /triggers {spec}")
    reply = request(port, "POST", "/triggers", COMMAND, body)
    if reply.status != 201:
        raise CaseError(f"the trigger was answered with {reply.status} {reply.body!r}")
    target = urlsplit(reply.headers["location"]).path
    until_s = time.monotonic() + END_TIMEOUT_S
    while time.monotonic() < until_s:
        status = json.loads(request(port, "GET", target).body).get("status")
        if status == "complete":
            case.record.write("upstream", f"sees that {kind} {selectors} is complete")
            return time.monotonic()
        time.sleep(0.02)
    raise CaseError("the trigger did not end")
