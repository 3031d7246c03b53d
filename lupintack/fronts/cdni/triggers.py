"""Triggers of upstream CDNs (RFC 8007): executed in this CDN and forwarded to downstream CDNs."""

from __future__ import annotations

import logging
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

from lupintack.clock import now_us
from lupintack.core.record_log import RecordLogError
from lupintack.fronts.cdni import messages, metadata
from lupintack.fronts.cdni.conf import Cdni, Content
from lupintack.fronts.cdni.delivery import Delivery
from lupintack.fronts.cdni.forwarding import Forwarder
from lupintack.fronts.cdni.metadata_store import MetadataStore
from lupintack.fronts.cdni.purges import AppliedPurge, Purges
from lupintack.fronts.cdni.trigger_resource import (
    FINAL_STATUSES,
    PATTERN_SELECTORS,
    PREPOSITION,
    SELECTORS,
    TRIGGER_TYPES,
    ErrorDescription,
    Resource,
)
from lupintack.fronts.exchange import HttpError
from lupintack.logs import fields

LOG = logging.getLogger("triggers")
MAX_RESOURCES = 1000  # status resources kept
MAX_OPEN_PREPOSITIONS = 500  # the others are room for purges
STALE_RESOURCE_S = 3600  # a finished trigger is removed after this time
PREPOSITION_WORKER_COUNT = 2
STATUS_FILTERS = {
    "pending": ("pending",),
    "active": ("active", "cancelling"),
    "complete": ("complete", "processed"),
    "failed": ("failed", "cancelled"),
}


class Triggers:
    """The status resources, and the workers that execute triggers."""

    def __init__(
        self, conf: Cdni, purges: Purges, delivery: Delivery, store: MetadataStore, first_number: int = 0
    ) -> None:
        """`store`: the metadata of upstream CDNs, which a preposition drops; see CdniFront for the number."""
        self.conf = conf
        self.purges = purges
        self.delivery = delivery
        self.store = store
        self.lock = threading.Lock()
        self.resources: OrderedDict[int, Resource] = OrderedDict()
        self.last_number = first_number
        self.open_count = 0  # triggers with parts that have not ended
        self.open_preposition_count = 0  # of these, the prepositions
        self.preposition_queue: SimpleQueue[Resource] = SimpleQueue()
        self.purge_queue: SimpleQueue[Resource] = SimpleQueue()
        self.forwarders = [
            Forwarder(conf, downstream, self)
            for downstream in conf.downstreams.values()
            if downstream.triggers
        ]

    # Called by the front

    def handle_command(self, data: dict[str, Any]) -> Resource | None:
        """Create a trigger and return its resource, or cancel triggers and return None."""
        path = messages.read_texts(data, "cdn-path", messages.MAX_PATH_ITEMS)
        if not path:
            raise HttpError(400, "cdn-path: at least the sender is wanted")
        if path[-1] not in self.conf.upstreams:
            raise HttpError(403, f"{path[-1]} is no upstream CDN of this one")
        if self.conf.id in path:
            # Forwarding a trigger that this CDN has forwarded before would never end.
            raise HttpError(403, "loop: cdn-path holds this CDN")
        if ("trigger" in data) == ("cancel" in data):
            raise HttpError(400, "one of trigger and cancel is wanted")
        if "cancel" in data:
            self.cancel(messages.read_texts(data, "cancel"), path[-1])
            return None
        spec = data["trigger"]
        check_spec(spec)
        return self.create(spec, path)

    def create(self, spec: dict[str, Any], path: list[str]) -> Resource:
        """Create a resource and queue it for a worker; raise HttpError if too many triggers are active.

        A purge is applied here, before its sender has an answer: no other trigger may hold it up.
        """
        now = int(time.time())
        is_preposition = spec["type"] == PREPOSITION
        with self.lock:
            self._remove_finished(now)
            if not self._has_room(is_preposition):
                self.delivery.core.counters.increment("cdni.triggers_refused")
                raise HttpError(503, "too many triggers are under way")
            self.last_number += 1
            resource = Resource(self.last_number, spec, path, path[-1], now, now_us(), now)
            self.resources[resource.number] = resource
            # A trigger is not sent back to a CDN that it has passed through.
            forwarders = [f for f in self.forwarders if f.downstream.id not in path]
            resource.open_parts = 1 + len(forwarders)
            self.open_count += 1
            self.open_preposition_count += is_preposition
        if is_preposition:
            self.preposition_queue.put(resource)
        else:
            resource.applied_purge = self._apply_purge(resource)
            self.purge_queue.put(resource)
        for forwarder in forwarders:
            forwarder.enqueue(resource)
        return resource

    def _apply_purge(self, resource: Resource) -> AppliedPurge:
        """Apply a purge; forget the trigger if that fails. HttpError: the other processes can't be told."""
        try:
            return self.purges.apply(resource.spec, resource.owner)
        except Exception as error:
            with self.lock:
                self.resources.pop(resource.number, None)
                self.open_count -= 1
            if not isinstance(error, RecordLogError):
                raise
            self.delivery.core.counters.increment("cdni.purges_not_shared")
            text = "in force in this process, but the router's other ones can't be told: try again"
            raise HttpError(503, text) from None

    def _remove_finished(self, now: int) -> None:
        """Remove finished resources that are stale, or whose room is needed; called with the lock held."""
        for number, resource in list(self.resources.items()):
            if resource.status in FINAL_STATUSES and (
                resource.changed < now - STALE_RESOURCE_S or len(self.resources) >= MAX_RESOURCES
            ):
                del self.resources[number]

    def _has_room(self, is_preposition: bool) -> bool:
        """Return whether another trigger may be accepted; called with the lock held.

        A trigger that was deleted counts until all its parts have left their queues.
        """
        if is_preposition and self.open_preposition_count >= MAX_OPEN_PREPOSITIONS:
            return False
        return max(len(self.resources), self.open_count) < MAX_RESOURCES

    def cancel(self, urls: list[str], owner: str) -> None:
        """Cancel triggers that have not ended; raise HttpError, and cancel none, if one cannot be."""
        resources = [self.find_by_url(url) for url in urls]
        for resource in resources:
            if resource.owner != owner:
                raise HttpError(403, "another CDN's trigger")
        for resource in resources:
            with self.lock:
                resource.cancelled.set()
                is_pending = resource.status == "pending"
                if is_pending:
                    _set_final_status(resource, "cancelled")
                elif resource.status == "active":
                    resource.status, resource.changed = "cancelling", int(time.time())
            if is_pending:
                _log_end(resource)

    def find_by_url(self, url: str) -> Resource:
        """Return the resource at a URL; raise HttpError if it does not exist."""
        number = url.rsplit("/", 1)[-1]
        with self.lock:
            resource = self.resources.get(int(number)) if number.isascii() and number.isdigit() else None
        if resource is None or url != self.url(resource):
            raise HttpError(404, "no such trigger")
        return resource

    def url(self, resource: Resource) -> str:
        """Return the URL of a resource."""
        return f"{self.conf.base}/triggers/{resource.number}"

    def delete(self, resource: Resource) -> None:
        """Remove a resource, and cancel its trigger if it has not ended."""
        with self.lock:
            resource.cancelled.set()
            self.resources.pop(resource.number, None)

    def collection(self, name: str) -> dict[str, Any]:
        """Return the collection of all triggers, or the filtered one with this name."""
        with self.lock:
            statuses = STATUS_FILTERS.get(name)
            urls = [self.url(r) for r in self.resources.values() if statuses is None or r.status in statuses]
        data: dict[str, Any] = {"triggers": urls, "staleresourcetime": STALE_RESOURCE_S}
        if statuses is None:
            data["coll-all"] = f"{self.conf.base}/triggers"
            data |= {f"coll-{status}": f"{self.conf.base}/triggers/{status}" for status in STATUS_FILTERS}
            data["cdn-id"] = self.conf.id
        return data

    def await_purges_sent(self, deadline_us: int) -> None:
        """Wait, before the process ends, until downstream CDNs have been sent all purges, or the deadline.

        Their senders can't ask this process any more for what became of them.
        """
        for forwarder in self.forwarders:
            count = forwarder.await_purges_sent(deadline_us)
            if count:
                self.delivery.core.counters["cdni.purges_not_forwarded"] += count
                details = {"downstream": forwarder.downstream.id, "purges": count}
                LOG.error("purges not forwarded", extra=fields(**details))

    # Execution

    def loops(self) -> list[tuple[Callable[[], None], str]]:
        """Return the main loops of the threads that execute triggers, with their names."""
        return [
            *[(self.run_prepositions, "prepositions")] * PREPOSITION_WORKER_COUNT,
            (self.run_purges, "purges"),
            *[(forwarder.run, "trigger forwarder") for forwarder in self.forwarders],
        ]

    def run_prepositions(self) -> None:
        """Execute queued prepositions in this CDN; the main loop of a thread."""
        while True:
            self.execute(self.preposition_queue.get())

    def run_purges(self) -> None:
        """Wait until queued purges and invalidations are in force; the main loop of a thread."""
        while True:
            self.execute(self.purge_queue.get())

    def execute(self, resource: Resource) -> None:
        """Execute a trigger in this CDN."""
        errors: list[ErrorDescription] = []
        try:
            if self.begin_part(resource):
                self.execute_locally(resource, errors)
        except Exception as error:  # keeps the worker alive and reports the failure to the sender
            LOG.exception("trigger failed", extra=fields(number=resource.number))
            errors.append(messages.error_description("ecdn", str(error)))
        self.end_part(resource, errors)

    def begin_part(self, resource: Resource) -> bool:
        """Begin the part of a trigger here or at a downstream CDN; return False if it has been cancelled."""
        with self.lock:
            if resource.cancelled.is_set():
                return False
            is_first = resource.status == "pending"
            if is_first:
                resource.status, resource.changed = "active", int(time.time())
        if is_first:
            waited_ms = (now_us() - resource.taken_us) // 1000
            details = {"number": resource.number, "type": resource.spec["type"], "waited_ms": waited_ms}
            LOG.info("trigger started", extra=fields(**details))
        return True

    def end_part(self, resource: Resource, errors: list[ErrorDescription]) -> None:
        """Record the end of a part; the last one ends the trigger."""
        with self.lock:
            resource.part_errors += errors
            resource.open_parts -= 1
            if resource.open_parts:
                return
            self.open_count -= 1
            self.open_preposition_count -= resource.is_preposition
            if resource.status in FINAL_STATUSES:
                return
            resource.errors = resource.part_errors
            is_cancelled = resource.cancelled.is_set()
            status = "cancelled" if is_cancelled else "failed" if resource.errors else "complete"
            _set_final_status(resource, status)
        _log_end(resource)

    def execute_locally(self, resource: Resource, errors: list[ErrorDescription]) -> None:
        """Execute a trigger in this CDN."""
        spec = resource.spec
        for key in PATTERN_SELECTORS:
            if spec.get(key):
                errors.append(
                    messages.error_description("ereject", "patterns are not supported", key, spec[key])
                )
        if resource.applied_purge is None:
            self.preposition(resource, errors)
        else:
            # A trigger is complete only when the purge applies to every later attempt.
            errors += resource.applied_purge.await_in_force()

    def preposition(self, resource: Resource, errors: list[ErrorDescription]) -> None:
        """Fetch metadata, and fetch content into the caches."""
        for url in messages.read_texts(resource.spec, "metadata.urls"):
            try:
                self.store.drop([url])
                self.purges.share_dropped_metadata()
                self.store.get(url, messages.HOST_INDEX)
            except (metadata.MetadataError, RecordLogError) as error:
                errors.append(messages.error_description("emeta", str(error), "metadata.urls", [url]))
        if resource.spec.get("content.ccid"):
            errors.append(
                messages.error_description(
                    "ereject", "a collection can't be listed", "content.ccid", resource.spec["content.ccid"]
                )
            )
        for url in messages.read_texts(resource.spec, "content.urls"):
            if resource.cancelled.is_set():
                return
            content = self.conf.locate(url)
            if content is None or content.host.upstream not in ("", resource.owner):
                errors.append(
                    messages.error_description("eperm", "not this CDN's content", "content.urls", [url])
                )
            elif self.delivery.core.settings.classes[content.class_index].is_write:
                errors.append(
                    messages.error_description("ereject", "this class is never kept", "content.urls", [url])
                )
            else:
                errors += self._preposition_content(content, url)

    def _preposition_content(self, content: Content, url: str) -> list[ErrorDescription]:
        """Fetch content into the caches; return the error if that failed."""
        try:
            if self.delivery.preposition(content, url):
                return []
            code, text = "econtent", "could not be fetched"
        except metadata.MetadataError as error:
            code, text = "emeta", str(error)
        except metadata.DeliveryDeniedError as error:
            code, text = "ereject", str(error)
        return [messages.error_description(code, text, "content.urls", [url])]


def _set_final_status(resource: Resource, status: str) -> None:
    """End a trigger; called with the lock held."""
    resource.status, resource.changed = status, int(time.time())
    if status == "cancelled":
        description = messages.error_description("ecancelled", "cancelled by the upstream CDN")
        resource.errors = [*resource.errors, description]


def _log_end(resource: Resource) -> None:
    """Log the end of a trigger; called without the lock, which a new purge needs."""
    details = {"number": resource.number, "type": resource.spec["type"], "status": resource.status}
    LOG.info("trigger ended", extra=fields(**details, age_ms=(now_us() - resource.taken_us) // 1000))


def check_spec(spec: Any) -> None:
    """Raise HttpError if a trigger specification is not valid under RFC 8007."""
    if not isinstance(spec, dict):
        raise HttpError(400, "trigger: an object is wanted")
    if messages.read_text(spec, "type") not in TRIGGER_TYPES:
        raise HttpError(400, f"type: one of {', '.join(TRIGGER_TYPES)} is wanted")
    if not any(spec.get(key) for key in SELECTORS):
        raise HttpError(400, f"one of {', '.join(SELECTORS)} is wanted")
    for key in SELECTORS[:3]:
        messages.read_texts(spec, key)
    for key in PATTERN_SELECTORS:
        if not isinstance(spec.get(key, []), list) or len(spec.get(key, [])) > messages.MAX_LIST_ITEMS:
            raise HttpError(400, f"{key}: a list of {messages.MAX_LIST_ITEMS} patterns at most is wanted")
