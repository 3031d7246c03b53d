"""Forwards triggers to a downstream CDN, and follows each to its end there.

Each downstream CDN has a thread of its own, so one that is silent or slow holds up no other. Commands are
sent as they come, purges first, while earlier ones have not ended.
"""

from __future__ import annotations

import json
import logging
import threading
from collections import deque
from dataclasses import dataclass, field
from queue import Empty, PriorityQueue
from typing import Any, Protocol

from lupintack.clock import now_us
from lupintack.fronts.cdni import client, messages
from lupintack.fronts.cdni.conf import Cdni, Downstream
from lupintack.fronts.cdni.trigger_resource import (
    FINAL_STATUSES,
    SUCCESSFUL_STATUSES,
    ErrorDescription,
    Resource,
)
from lupintack.fronts.exchange import HttpError
from lupintack.logs import fields

LOG = logging.getLogger("triggers")
CALL_TIMEOUT_US = 2_000_000  # one call to a downstream CDN
END_TIMEOUT_US = 10_000_000  # for a downstream CDN to finish a trigger
POLL_INTERVAL_US = 100_000


class TriggerParts(Protocol):
    """Receives the beginning and the end of the parts of triggers; called on any thread."""

    def begin_part(self, resource: Resource) -> bool:
        """Begin a part; return False if the trigger has been cancelled."""

    def end_part(self, resource: Resource, errors: list[ErrorDescription]) -> None:
        """Record the end of a part."""


@dataclass(slots=True, order=True)
class QueuedCommand:
    """A trigger that has not been sent yet, in the order in which they are."""

    is_preposition: bool
    number: int
    resource: Resource = field(compare=False)


@dataclass(slots=True)
class ForwardedTrigger:
    """A trigger that has not ended at the downstream CDN; `url` is its status resource there."""

    resource: Resource
    url: str
    deadline_us: int
    next_poll_us: int


class Forwarder:
    """Sends commands to one downstream CDN. All but `enqueue` runs on one thread."""

    def __init__(self, conf: Cdni, downstream: Downstream, parts: TriggerParts) -> None:
        """`conf`: this CDN's id, for the path of the commands, and the hosts that it delegates."""
        self.downstream = downstream
        self._conf = conf
        self._parts = parts
        self._queue: PriorityQueue[QueuedCommand] = PriorityQueue()
        self._forwarded: deque[ForwardedTrigger] = deque()  # by the time of the next poll
        self._unsent_purges = 0
        self._purges_sent = threading.Condition()  # guards the number

    def enqueue(self, resource: Resource) -> None:
        """Queue a trigger; may be called by any thread."""
        if not resource.is_preposition:
            with self._purges_sent:
                self._unsent_purges += 1
        self._queue.put(QueuedCommand(resource.is_preposition, resource.number, resource))

    def is_idle(self) -> bool:
        """Return whether nothing is queued, and nothing is to be followed."""
        return self._queue.empty() and not self._forwarded

    def await_purges_sent(self, deadline_us: int) -> int:
        """Wait until no purge or invalidation is to be sent; return how many still are at the deadline."""
        with self._purges_sent:
            while self._unsent_purges and now_us() < deadline_us:
                self._purges_sent.wait((deadline_us - now_us()) / 1e6)
            return self._unsent_purges

    def run(self) -> None:
        """Send and follow triggers; the main loop of the thread."""
        while True:
            self.step()

    def step(self) -> None:
        """Send one command, or wait for one until the next poll is due; then poll at most one trigger."""
        try:
            self._send_and_count(self._queue.get(timeout=self._wait_s()).resource)
        except Empty:
            pass
        if self._forwarded and self._forwarded[0].next_poll_us <= now_us():
            self._poll(self._forwarded.popleft())

    def _wait_s(self) -> float | None:
        if not self._forwarded:
            return None
        return max(0.0, (self._forwarded[0].next_poll_us - now_us()) / 1e6)

    def _send_and_count(self, resource: Resource) -> None:
        self._send(resource)
        if not resource.is_preposition:
            with self._purges_sent:
                self._unsent_purges -= 1
                self._purges_sent.notify_all()

    def _send(self, resource: Resource) -> None:
        if not self._parts.begin_part(resource):
            self._parts.end_part(resource, [])
            return
        path = [*resource.cdn_path, self._conf.id]
        body = json.dumps({"trigger": self._spec(resource), "cdn-path": path}).encode()
        headers = {
            "Content-Type": messages.media_type(messages.COMMAND),
            "Accept": messages.media_type(messages.STATUS),
        }
        try:
            reply = client.call("POST", self.downstream.triggers, CALL_TIMEOUT_US, body, headers)
            if reply.status != 201 or not reply.headers.get("location"):
                raise client.CallError(f"status {reply.status}")
            url = reply.location(self.downstream.triggers)
            forwarded = ForwardedTrigger(resource, url, now_us() + END_TIMEOUT_US, 0)
            self._on_reply(forwarded, reply)
        except Exception as error:  # noqa: BLE001 - a failed call must not end the thread
            self._fail(resource, error)

    def _spec(self, resource: Resource) -> dict[str, Any]:
        """Return the trigger specification for the downstream CDN.

        It knows the upstream's metadata by documents of this CDN, which are named in place of the upstream's.
        """
        hosts = [
            host.name
            for host in self._conf.hosts.values()
            if host.downstream == self.downstream.id and host.upstream == resource.owner
        ]
        if not hosts or not resource.spec.get("metadata.urls"):
            return resource.spec
        documents = [f"{self._conf.base}/metadata/hostindex"]
        if not resource.is_preposition:  # prepositioned documents are read as HostIndex
            documents += [f"{self._conf.base}/metadata/host/{name}" for name in hosts]
        return {**resource.spec, "metadata.urls": documents}

    def _poll(self, forwarded: ForwardedTrigger) -> None:
        try:
            if now_us() > forwarded.deadline_us or forwarded.resource.cancelled.is_set():
                raise client.CallError("no end in time")
            headers = {"Accept": messages.media_type(messages.STATUS)}
            reply = client.call("GET", forwarded.url, CALL_TIMEOUT_US, headers=headers)
            self._on_reply(forwarded, reply)
        except Exception as error:  # noqa: BLE001 - a failed call must not end the thread
            self._fail(forwarded.resource, error)

    def _on_reply(self, forwarded: ForwardedTrigger, reply: client.Reply) -> None:
        """End the part if the status is final, else follow it; raise CallError if it has failed there."""
        status = messages.parse_object(reply.body).get("status")
        if status not in FINAL_STATUSES:
            forwarded.next_poll_us = now_us() + POLL_INTERVAL_US
            self._forwarded.append(forwarded)
            return
        if status not in SUCCESSFUL_STATUSES:
            raise client.CallError(f"ended as {status}")
        self._parts.end_part(forwarded.resource, [])

    def _fail(self, resource: Resource, error: Exception) -> None:
        if not isinstance(error, (client.CallError, HttpError)):
            LOG.error("trigger failed", extra=fields(number=resource.number), exc_info=error)
        description = messages.error_description("ecdn", str(error))
        self._parts.end_part(resource, [{**description, "cdn": self.downstream.id}])
