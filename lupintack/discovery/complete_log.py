"""Folds the complete discovery log into one endpoint list and the new purges. Pure."""

from __future__ import annotations

from lupintack.core.table_updates import Endpoint
from lupintack.discovery.events import Event, ListEvent, PurgeEvent
from lupintack.interface import MemberState


class CompleteLog:
    """The log read from its beginning, to replace the member table in one step.

    Applying the events one by one could briefly make an endpoint ready that a later event drains.
    """

    def __init__(self, applied_revision: int) -> None:
        """Collect only purges after `applied_revision`; the member table already has the others."""
        self.applied_revision = applied_revision
        self.has_complete_list = False
        self.version = 0
        self.endpoints: dict[str, Endpoint] = {}
        self.purges: list[PurgeEvent] = []
        self.event_count = 0

    def add(self, event: Event) -> None:
        """Fold the next event of the log."""
        self.event_count += 1
        if isinstance(event, PurgeEvent) and event.revision > self.applied_revision:
            self.purges.append(event)
        if not isinstance(event, ListEvent):
            return
        if event.is_complete:
            self.endpoints, self.has_complete_list = {}, True
        for endpoint in event.endpoints:
            if endpoint.state is MemberState.REMOVED:
                self.endpoints.pop(endpoint.name, None)
            else:
                self.endpoints[endpoint.name] = endpoint
        self.version = event.version

    def listed_endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints that are listed at the end of the log."""
        return tuple(self.endpoints.values())
