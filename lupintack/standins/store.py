"""Records the open requests of all routers at the stand-in origin, and runs clients that cause them."""

from __future__ import annotations

import http.client
import json
import secrets
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping

from lupintack.standins.processes import ROOT

ORIGIN = "o-1"
MAX_REQUESTS_PER_CLIENT = 20_000  # after which a client stops
ANSWER_TIMEOUT_S = 5.0  # of a client for one answer


class OpenRequests:
    """Number of open requests that are sent to the origin or name it as their source, over time."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.open = 0
        self.steps: list[tuple[float, int]] = []  # monotonic seconds, open requests from then on

    def watch(self, member: str, fields: dict[str, str]) -> Callable[[], None]:
        """Count a request until the returned function is called; for `Fleet.watch`."""
        if member != ORIGIN and fields.get("miss") != ORIGIN:
            return lambda: None
        self.record_change(1)
        return lambda: self.record_change(-1)

    def record_change(self, delta: int) -> None:
        with self.lock:
            self.open += delta
            self.steps.append((time.monotonic(), self.open))

    def max_open(self) -> int:
        with self.lock:
            return max((level for _, level in self.steps), default=0)

    def mean(self, begin: float, end: float) -> float:
        """Return the mean number of open requests between two times."""
        with self.lock:
            steps = list(self.steps)
        total, open_count, position_s = 0.0, 0, begin
        for time_s, count in steps:
            if time_s > position_s:
                total += open_count * (min(time_s, end) - position_s)
                position_s = min(time_s, end)
            open_count = count
            if time_s >= end:
                break
        return (total + open_count * (end - position_s)) / (end - begin)


class Clients:
    """Clients in another process, so that they take no CPU time from the stand-ins and the switch."""

    def __init__(self, ports: Mapping[str, int], clients_per_router: int) -> None:
        """Start the clients of the routers at `ports`."""
        self.names = {port: name for name, port in ports.items()}
        command = [
            sys.executable,
            "-m",
            "lupintack.standins.store",
            str(clients_per_router),
            *map(str, ports.values()),
        ]
        self.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    def stop(self) -> Counter[str]:
        """Stop the clients; return the number of requests by outcome, also when called again."""
        if self.process.poll() is None:
            out, _ = self.process.communicate(timeout=30)
            ends_by_router = {self.names[int(port)]: Counter(ends) for port, ends in json.loads(out).items()}
            self.by_router: dict[str, Counter[str]] = ends_by_router
            self.ends: Counter[str] = sum(ends_by_router.values(), Counter())
        return self.ends


def client(port: int, stopping: threading.Event, ends: Counter[str], lock: threading.Lock) -> None:
    """Request one new object after another until `stopping` is set, observing the retry time of refusals."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=ANSWER_TIMEOUT_S)
    for _ in range(MAX_REQUESTS_PER_CLIENT):
        if stopping.is_set():
            break
        headers = {"Req-Id": secrets.token_hex(8), "Req-Wait-Ms": "2000"}
        wait, end = 0.0, "unanswered"
        try:
            connection.request("GET", f"/ops/map-tiles/{secrets.token_hex(8)}", headers=headers)
            response = connection.getresponse()
            body = response.read()
            end = str(response.status)
            if response.status == 503:
                retry_after_ms = response.headers.get("Srv-Wait-Ms")
                end = "503" if retry_after_ms else "503 without a retry time"
                wait = int(retry_after_ms or 100) / 1000
            elif response.status == 200 and not body:
                end = "empty"
        except ConnectionRefusedError:
            end, wait = "refused", 0.1  # the process is not running
            connection.close()
        except (OSError, http.client.HTTPException):
            connection.close()
        with lock:
            ends[end] += 1
        if wait:
            stopping.wait(wait)
    connection.close()


def main(clients_per_router: int, ports: list[int]) -> None:
    """Run all clients until the end of standard input, then print the counts as JSON."""
    stopping, lock = threading.Event(), threading.Lock()
    ends = {port: Counter[str]() for port in ports}
    threads = [
        threading.Thread(target=client, args=(port, stopping, ends[port], lock), daemon=True)
        for port in ports
        for _ in range(clients_per_router)
    ]
    for thread in threads:
        thread.start()
    sys.stdin.read()
    stopping.set()
    for thread in threads:
        thread.join()
    print(json.dumps(ends))


if __name__ == "__main__":
    main(int(sys.argv[1]), [int(port) for port in sys.argv[2:]])
