"""A new class with keys makes the router forget the tries of another class, and a write runs twice."""

from __future__ import annotations

import copy
import json
import secrets
import signal
import threading
import time
from typing import Any

from lupintack.standins import deployment
from lupintack.standins.net import free_ports
from review.common.case import Case, main
from review.common.client import Connection, new_id
from review.common.members import Caches, Want
from review.common.platform import Board, Router

SETTINGS = deployment.SECOND_SETTINGS
POST = next(service for service in SETTINGS["services"] if service["name"] == "post")
VOTE = POST | {"name": "vote", "aim": 300.0, "deadline": 700.0, "dedup-window": 300.0}
WINDOW_S = POST["dedup-window"] / 1000.0
SLACK_S = 0.05  # on sockets each time limit is 50 ms longer
TRY_S = 1.45  # a try is given up after 50 to 100% of the class's 3 s
BACKOFF_S = 0.2  # clients wait 50 to 400 ms before a retry
RESET_AFTER_S = 2.2  # since the first attempt
USED_AFTER_S = 1.3  # a class that comes is used after 1.2 s
VOTE_GAP_S = 0.2
VOTES_S = 5.0


class Archive(Caches):
    """The caches, and a main archive that drops repeats of a key for the window of its class.

    While it fails, the answer to the first attempt of a post is lost, and the connection is reset under the
    first attempt of the client's retry. All others are answered at once.
    """

    def __init__(self, case: Case) -> None:
        """Start without writes."""
        super().__init__(SETTINGS, case.record)
        self.is_failing = False
        self.attempts: dict[str, list[Want]] = {}
        self.ran_s: dict[str, list[float]] = {}

    def handle(self, want: Want) -> None:
        """Run a write unless it is a repeat; answer it, or not."""
        if want.fields["cls"] not in ("post", "vote"):
            super().handle(want)
            return
        key = want.fields["nonce"]
        window_s = (POST if want.fields["cls"] == "post" else VOTE)["dedup-window"] / 1000.0
        with self.lock:
            attempts, runs = self.attempts.setdefault(key, []), self.ran_s.setdefault(key, [])
            attempts.append(want)
            number = len(attempts)
            is_repeat = bool(runs) and want.at_s - runs[-1] < window_s
            if not is_repeat:
                runs.append(want.at_s)
            first_s = attempts[0].at_s
        what = "drops a repeat of" if is_repeat else "RUNS"
        self.record.write("archive", f"{what} key {key}, {want.at_s - first_s:.3f} s after the first attempt")
        if not self.is_failing or want.fields["cls"] == "vote":
            want.answer("ok", f"entity=w1,issued={int(time.time() * 1000)},tell=f")
        elif number == 1:
            self.record.write("archive", f"the answer to {want.id} is lost")
        elif number == 2 and want.id != attempts[0].id:
            time.sleep(max(0.0, first_s + RESET_AFTER_S - time.monotonic()))
            want.reset_connection()
        else:
            want.answer("ok", f"entity=w1,issued={int(time.time() * 1000)},tell=f")


def put(connection: Connection, cls: str, item: str, key: str, wait_s: float) -> int:
    """Send one try of a write."""
    headers = {"Req-Id": new_id(), "Req-Wait-Ms": str(int(wait_s * 1000)), "Req-Token": key, "X-Batch": "3"}
    answer = connection.request("PUT", f"/ops/{cls}/{item}", headers, b"the rota", wait_s)
    connection.close()
    return answer.status


def settings_with_votes() -> dict[str, Any]:
    """Return the settings with one more class that writes, with keys and a shorter window."""
    settings = copy.deepcopy(SETTINGS)
    settings["services"] = [*settings["services"], VOTE]
    for key, value in (("class-write", True), ("fresh-for", 0.0), ("usable-after", 0.0)):
        settings["domain"][key] = [*settings["domain"][key], value]
    return settings


def bring_class(case: Case, router: Router, config: dict[str, Any], listen: str) -> None:
    """Replace the configuration, send SIGHUP, and let clients of the new class come."""
    assert router.process is not None
    router.config_file.write_text(json.dumps(config | {"settings": settings_with_votes()}))
    case.record.write("platform", "SIGHUP: the class vote comes")
    router.process.send_signal(signal.SIGHUP)
    time.sleep(USED_AFTER_S)

    def vote() -> None:
        for _ in range(int(VOTES_S / VOTE_GAP_S)):
            voter = Connection(listen, case.record, "voter")
            put(voter, "vote", secrets.token_hex(8), secrets.token_hex(16), VOTE["deadline"] / 1000.0)
            time.sleep(VOTE_GAP_S)

    threading.Thread(target=vote, daemon=True).start()


def play(case: Case) -> list[str]:
    """Play the case."""
    archive, board = Archive(case), Board()
    listen = f"127.0.0.1:{free_ports(1)[0]}"
    config = deployment.configuration(archive.dials(), board.address, listen) | {"settings": SETTINGS}
    router = case.router("router", config)
    for _ in range(8):  # the router learns how long a post takes
        if (
            put(Connection(listen, case.record), "post", secrets.token_hex(8), secrets.token_hex(16), 3.0)
            != 200
        ):
            raise RuntimeError("the router does not serve")
    if case.trouble:
        bring_class(case, router, config, listen)
    archive.is_failing = True
    item, key = secrets.token_hex(8), secrets.token_hex(16)
    began_s = time.monotonic()
    if put(Connection(listen, case.record), "post", item, key, TRY_S) == 200:
        raise RuntimeError("the first try was answered")
    time.sleep(BACKOFF_S)
    left_s = POST["deadline"] / 1000.0 - (time.monotonic() - began_s)
    put(Connection(listen, case.record), "post", item, key, left_s)
    time.sleep(0.5)
    attempts, runs = archive.attempts[key], archive.ran_s[key]
    broken = [
        f"{want.id} was sent {want.at_s - attempts[0].at_s:.3f} s after the first attempt that may have run"
        for want in attempts
        if want.at_s - attempts[0].at_s > WINDOW_S + SLACK_S
    ]
    if len(runs) > 1:
        broken.append(f"the write with key {key} ran {len(runs)} times")
    return broken


if __name__ == "__main__":
    main(__file__, play)
