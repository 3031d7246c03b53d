"""One attempt of a call, and its result, which the connection reports once."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lupintack.limits.retries import ClientAttemptResult


@dataclass(slots=True)
class Reply:
    """The result of an attempt, with the response if there was one."""

    end: ClientAttemptResult
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    why: str = ""


@dataclass(slots=True, eq=False)
class Attempt:
    """A request of a call; `done` is called once with its result, on any thread."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    safe: bool
    deadline_us: int
    done: Callable[[Reply], None]
    over: bool = False

    def finish(self, reply: Reply) -> None:
        """Report the result, unless the attempt is over already."""
        if not self.over:
            self.over = True
            self.done(reply)


def reply_of_status(status: int, headers: dict[str, str], body: bytes) -> Reply:
    """Return the result of a complete response by its status (the platform's table of responses)."""
    if status == 200:
        end = ClientAttemptResult.SERVED
    elif status == 304:
        end = ClientAttemptResult.NOT_MODIFIED
    elif status in (429, 503):
        end = ClientAttemptResult.REJECTED
    else:
        end = ClientAttemptResult.FAILED
    return Reply(end, status, headers, body)
