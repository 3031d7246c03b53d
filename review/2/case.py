"""A keyed write whose client retries across an upgrade of the router is resent after its window."""

from __future__ import annotations

import secrets
import threading
import time

from lupintack.standins import deployment
from lupintack.standins.net import free_ports
from review.common.case import Case, main
from review.common.client import Connection, new_id
from review.common.members import Caches, Want
from review.common.platform import Board

SETTINGS = deployment.SECOND_SETTINGS
POST = next(service for service in SETTINGS["services"] if service["name"] == "post")
WINDOW_S = POST["dedup-window"] / 1000.0
SLACK_S = 0.05  # on sockets each time limit is 50 ms longer
TRY_S = 1.45  # a try is given up after 50 to 100% of the class's 3 s
BACKOFF_S = 0.2  # clients wait 50 to 400 ms before a retry
RESET_AFTER_S = 2.2  # since the first attempt


class Archive(Caches):
    """The caches, and a main archive that drops repeats of a key for the window of the settings.

    While it fails, the answer to the first attempt of a key is lost, and the connection is reset under the
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
        if want.fields["cls"] != "post":
            super().handle(want)
            return
        key = want.fields["nonce"]
        with self.lock:
            attempts, runs = self.attempts.setdefault(key, []), self.ran_s.setdefault(key, [])
            attempts.append(want)
            number = len(attempts)
            is_repeat = bool(runs) and want.at_s - runs[-1] < WINDOW_S
            if not is_repeat:
                runs.append(want.at_s)
            first_s = attempts[0].at_s
        what = "drops a repeat of" if is_repeat else "RUNS"
        self.record.write("archive", f"{what} key {key}, {want.at_s - first_s:.3f} s after the first attempt")
        if not self.is_failing:
            want.answer("ok", f"entity=w1,issued={int(time.time() * 1000)},tell=f")
        elif number == 1:
            self.record.write("archive", f"the answer to {want.id} is lost")
        elif number == 2 and want.id != attempts[0].id:
            time.sleep(max(0.0, first_s + RESET_AFTER_S - time.monotonic()))
            want.reset_connection()
        else:
            want.answer("ok", f"entity=w1,issued={int(time.time() * 1000)},tell=f")


def post(connection: Connection, item: str, key: str, wait_s: float) -> int:
    """Send one try of a write."""
    headers = {"Req-Id": new_id(), "Req-Wait-Ms": str(int(wait_s * 1000)), "Req-Token": key, "X-Batch": "3"}
    answer = connection.request("PUT", f"/ops/post/{item}", headers, b"the rota", wait_s)
    connection.close()
    return answer.status


def play(case: Case) -> list[str]:
    """Play the case."""
    archive, board = Archive(case), Board()
    listen = f"127.0.0.1:{free_ports(1)[0]}"
    config = deployment.configuration(archive.dials(), board.address, listen) | {"settings": SETTINGS}
    old = case.router("old", config)
    connection = Connection(listen, case.record)
    read = {"Req-Id": new_id(), "Req-Wait-Ms": "2000", "X-Batch": "3"}
    if connection.request("GET", "/ops/pages/00000000000000aa", read).status != 200:
        raise RuntimeError("the router does not serve")
    for _ in range(8):  # the router learns how long a post takes
        post(Connection(listen, case.record), secrets.token_hex(8), secrets.token_hex(16), 3.0)
    if case.trouble:
        case.router("new", config)
    archive.is_failing = True
    item, key = secrets.token_hex(8), secrets.token_hex(16)
    if case.trouble:
        threading.Timer(0.1, old.terminate).start()
    began_s = time.monotonic()
    status = post(connection, item, key, TRY_S)
    if status == 200:
        raise RuntimeError("the first try was answered")
    time.sleep(BACKOFF_S)
    post(Connection(listen, case.record), item, key, POST["deadline"] / 1000.0 - (time.monotonic() - began_s))
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
