"""The endpoints of the current list, and the ranking of each tier. Pure."""

from __future__ import annotations

from lupintack.decisions.endpoints import EndpointHealth, EndpointState
from lupintack.decisions.rendezvous import RendezvousRanking, pair_hash
from lupintack.decisions.slow_start import BorrowedCalls, SlowStart, SlowStartConfig
from lupintack.interface import ListKind, Member, MemberList, MemberState, Settings


class EndpointTable:
    """All endpoints that are ready, by id and by tier. Only caches of the router's own zone are ranked."""

    __slots__ = (
        "_cache_slow_start", "_parent_slow_start", "_settings", "by_id", "cache_ranking", "caches",
        "origin_ranking", "parent_ranking", "parents",
    )  # fmt: skip

    def __init__(self, settings: Settings) -> None:
        """Start with an empty list."""
        self.settings = settings
        self.by_id: dict[int, EndpointState] = {}
        self.cache_ranking: RendezvousRanking[EndpointState] = RendezvousRanking()
        self.parent_ranking: RendezvousRanking[EndpointState] = RendezvousRanking()
        self.origin_ranking: RendezvousRanking[EndpointState] = RendezvousRanking()
        self.caches = self.cache_ranking.members
        self.parents = self.parent_ranking.members

    @property
    def settings(self) -> Settings:
        """The settings in use; assigning others does not update the rankings."""
        return self._settings

    @settings.setter
    def settings(self, settings: Settings) -> None:
        self._settings = settings
        self._cache_slow_start = SlowStartConfig(
            settings.initial_capacity_share, settings.slow_start_ms, settings.overload_multiple
        )
        self._parent_slow_start = SlowStartConfig(
            settings.parent_initial_capacity_share,
            settings.parent_slow_start_ms,
            settings.parent_overload_multiple,
        )

    @property
    def origin(self) -> EndpointState | None:
        """The origin, or the first of several."""
        origins = self.origin_ranking.members
        return origins[0] if origins else None

    def apply(self, event: MemberList, now_ms: float, fill_count: float) -> None:
        """Apply a full list or its changes; a draining or removed endpoint gets no more attempts."""
        changed = {} if event.kind == ListKind.DELTA else dict(self.by_id)
        for endpoint in changed.values():
            endpoint.is_ready = False
        for member in event.members:
            endpoint = (
                self.by_id.get(member.id)
                or changed.get(member.id)
                or self.new_endpoint(member, now_ms, fill_count)
            )
            changed[member.id] = endpoint
            endpoint.update(member, min(member.started_ms, now_ms), member.state == MemberState.READY)
        for endpoint in changed.values():
            self._update_ranking(endpoint)

    def apply_settings(self, settings: Settings, now_ms: float, fill_count: float) -> None:
        """Replace the settings; update each endpoint's number of routers and its ranking."""
        self.settings = settings
        for endpoint in self.by_id.values():
            recomputed = self.new_endpoint(endpoint.member, now_ms, fill_count).slow_start
            endpoint.slow_start.router_count = recomputed.router_count
            endpoint.slow_start.borrowed_calls = recomputed.borrowed_calls
            self._update_ranking(endpoint)

    def new_endpoint(self, member: Member, now_ms: float, fill_count: float) -> EndpointState:
        """Return the state of a new member, with the slow start of its tier."""
        settings = self._settings
        if member.kind == settings.parent_kind:
            config, router_count = self._parent_slow_start, settings.router_count
        else:
            by_zone = settings.routers_by_zone
            config = self._cache_slow_start
            router_count = by_zone[member.zone] if member.zone < len(by_zone) else settings.router_count
        borrowed_calls = BorrowedCalls(pair_hash(max(0, settings.router_index), member.id))
        slow_start = SlowStart(config, member.capacity, max(1, router_count), borrowed_calls, now_ms)
        return EndpointState(member, EndpointHealth(fill_count, now_ms), slow_start)

    def weights_changed(self) -> None:
        """Update the rankings after weights of caches or parents have changed."""
        self.cache_ranking.weights_changed()
        self.parent_ranking.weights_changed()

    def _update_ranking(self, endpoint: EndpointState) -> None:
        """Add an endpoint to the ranking of its tier, or remove it; other endpoints add no cost."""
        settings, member, is_ready = self._settings, endpoint.member, endpoint.is_ready
        if is_ready:
            self.by_id[endpoint.id] = endpoint
        else:
            self.by_id.pop(endpoint.id, None)
        is_parent = member.kind == settings.parent_kind
        is_origin = member.kind == settings.origin_kind
        is_local_cache = member.zone == settings.zone and not is_parent and not is_origin
        share_before = endpoint.share
        endpoint.set_weight(endpoint.weight)
        share_changed = endpoint.share != share_before
        self.cache_ranking.update(endpoint, is_ready and is_local_cache, share_changed)
        self.parent_ranking.update(endpoint, is_ready and is_parent, share_changed)
        self.origin_ranking.update(endpoint, is_ready and is_origin, share_changed)
