"""One router's membership on sockets: a thread for datagrams and ticks, one for exchanges and probes.

Both call the membership under one lock and execute the returned actions outside of it; neither runs in a turn
of the core. Changes are passed to a callback, also outside the lock.
"""

from __future__ import annotations

import json
import logging
import threading
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from lupintack.clock import now_us
from lupintack.fleet.exchange import ExchangeService
from lupintack.fleet.fleet_address import FleetAddress, bind_ports
from lupintack.fleet.routes import RouteTable
from lupintack.fleet.status import membership_status
from lupintack.logs import fields
from lupintack.membership.actions import Actions
from lupintack.membership.changes import MembershipChange
from lupintack.membership.config import MembershipConfig
from lupintack.membership.messages import FullState, MessageCodec, MessageError
from lupintack.membership.state_machine import Membership
from lupintack.membership.view import Record, State
from lupintack.settings.files import address

if TYPE_CHECKING:  # imported at run time only if budgets are enabled
    from lupintack.fleet.budgets import BudgetService

LOG = logging.getLogger("fleet")
MAX_RECEIVE_BYTES = 2048
MIN_WAIT_S = 0.0005
MAX_WAIT_S = 0.25
BUDGET_MAGIC = b"B"
MAX_LOGGED_NAMES = 8
MAX_LOGGED_REASONS = 4


class FleetTransport:
    """The membership and its sockets; `close` stops all threads."""

    def __init__(
        self,
        fleet_address: FleetAddress,
        config: MembershipConfig,
        seed: int,
        on_change: Callable[[MembershipChange], None],
        is_serving: Callable[[], bool],
    ) -> None:
        """Bind the sockets; raises ConfigError for an invalid address or seed.

        `on_change` is called from both threads. `is_serving` is polled: the router leaves the fleet while it
        returns False.
        """
        self.fleet_address = fleet_address
        self.on_change = on_change
        self.is_serving = is_serving
        self.routes = RouteTable(fleet_address.address_overrides)
        self.codec = MessageCodec(fleet_address.fleet, fleet_address.secret)
        self.datagram_socket, listener = bind_ports(fleet_address.listen)
        host, port = self.datagram_socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.membership = self._create_membership(config, seed)
        self.lock = threading.Lock()
        self.exchanges = ExchangeService(listener, self.on_exchange_request)
        self.counters: Counter[str] = Counter()
        self.stopped = threading.Event()
        self.has_left = False
        self.budgets: BudgetService | None = None

    def _create_membership(self, config: MembershipConfig, seed: int) -> Membership:
        name, site = self.fleet_address.name, self.fleet_address.site
        me = Record(name, time.time_ns() // 1000, 0, State.JOINING, site, self.address)
        # A router that is its own only seed starts alone.
        seeds = tuple(text for text in self.fleet_address.seeds if text != self.address)
        for text in seeds:
            address(text, "[membership] seeds")
        return Membership(me, config, Random(seed ^ me.start), seeds, self.codec.encoded_size)

    def start(self, spawn: Callable[[Callable[[], None], str], None]) -> None:
        """Start the threads with `spawn`, which takes a function and a name."""
        self.execute(self.call_membership(self.membership.start))
        spawn(self.run, "fleet")
        spawn(self.exchanges.run, "fleet exchange")
        if self.budgets is not None:
            spawn(self.budgets.run, "budgets")

    def run(self) -> None:
        """Receive datagrams and run ticks until `close`."""
        while not self.stopped.is_set():
            wait_s = (self.membership.wake_us - now_us()) / 1e6
            raw = b""
            try:
                self.datagram_socket.settimeout(min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s)))
                raw = self.read_datagram()
            except OSError as error:  # some kernels report a refused earlier datagram here
                self.counters["errors"] += 1
                if self.stopped.is_set():
                    return
                LOG.debug("datagram", extra=fields(reason=error))
            self.process(raw)

    def read_datagram(self) -> bytes:
        """Return a datagram, empty on a timeout; raises OSError if an earlier datagram was refused."""
        try:
            raw, _ = self.datagram_socket.recvfrom(MAX_RECEIVE_BYTES)
        except (TimeoutError, BlockingIOError):
            return b""
        return raw

    def process(self, raw: bytes) -> None:
        """Handle a datagram unless it is empty, and run what is due."""
        try:
            if raw:
                self.on_datagram(raw)
            if now_us() >= self.membership.wake_us:
                self.execute(self.call_membership(self.membership.tick))
            self.follow_serving_state()
        except Exception:  # an exception for one datagram must not end the thread
            self.counters["faults"] += 1
            LOG.exception("fleet")

    def send_datagram(self, raw: bytes, destination: tuple[str, int]) -> None:
        """Send a datagram; failures are counted."""
        self.counters["bytes.out"] += len(raw)
        try:
            self.datagram_socket.sendto(raw, destination)
        except OSError:
            self.counters["unsent"] += 1

    def on_datagram(self, raw: bytes) -> None:
        """Handle a datagram of the membership or the budgets."""
        self.counters["bytes.in"] += len(raw)
        if raw[:1] == BUDGET_MAGIC and self.budgets is not None:
            self.budgets.on_datagram(raw)
            return
        try:
            message = self.codec.decode(raw)
        except MessageError as error:
            self.membership.count_drop(error.reason)
            return
        self.execute(self.call_membership(partial(self.membership.receive, len(raw), message)))

    def follow_serving_state(self) -> None:
        """Leave the fleet when this router drains or stops, and rejoin when it serves again."""
        is_serving = self.is_serving()
        if not is_serving and not self.has_left:
            self.has_left = True
            self.execute(self.call_membership(self.membership.leave))
            if self.budgets is not None:
                self.budgets.leave()
            LOG.info("left the fleet", extra=fields(node=self.fleet_address.name))
        elif is_serving and self.has_left and not self.membership.is_superseded:
            self.has_left = False
            self.execute(self.call_membership(self.membership.rejoin))
            if self.budgets is not None:
                self.budgets.rejoin()

    def call_membership(self, method: Callable[[int], Actions]) -> Actions:
        """Call the membership with the current time, under the lock."""
        with self.lock:
            return method(now_us())

    def execute(self, actions: Actions) -> None:
        """Execute the actions of a call; must not be called under the lock."""
        for name, advertised, message in actions.sends:
            destination = self.routes.resolve(name, advertised)
            if destination is None:
                continue
            self.counters["datagrams.out"] += 1
            self.send_datagram(self.codec.encode(message), destination)
        for probe in actions.connection_probes:
            destination = self.routes.resolve(probe.name, probe.address)
            if destination is not None:
                on_result = partial(self.on_probe_result, probe.name, probe.start)
                self.exchanges.probe_connection(destination, on_result)
        for name, advertised, full_state in actions.exchanges:
            destination = self.routes.resolve(name, advertised)
            if destination is not None:
                frame = self.codec.encode(full_state)
                self.exchanges.begin_exchange(destination, frame, self.on_exchange_answer)
        for change in actions.changes:
            self.publish_change(change)

    def send_to_router(self, name: str, advertised: str, raw: bytes) -> None:
        """Send another module's datagram to a router; `advertised` is used if it is not in the view."""
        record = self.membership.view.records.get(name)
        destination = self.routes.resolve(name, record.address if record is not None else advertised)
        if destination is not None:
            self.send_datagram(raw, destination)

    def publish_change(self, change: MembershipChange) -> None:
        """Log a change and call `on_change`."""
        reasons = {name: self.membership.state.reasons.get(name, "") for name in change.removed}
        shown = list(reasons.items())[:MAX_LOGGED_REASONS]
        LOG.info(
            "members",
            extra=fields(
                view=f"{change.view_id:016x}",
                members=len(change.members),
                came=",".join(change.joined[:MAX_LOGGED_NAMES]),
                went=",".join(change.removed[:MAX_LOGGED_NAMES]),
                went_count=len(change.removed),
                why="; ".join(f"{name}: {reason}" for name, reason in shown if reason),
                doubts=change.suspect_count,
                minority=change.is_minority,
                unheard=change.is_unacknowledged,
            ),
        )
        self.on_change(change)

    # Called from the exchange thread

    def _decode_full_state(self, raw: bytes) -> FullState | None:
        try:
            return self.codec.decode_full_state(raw)
        except MessageError as error:
            self.membership.count_drop(error.reason)
            return None

    def on_exchange_request(self, raw: bytes) -> bytes | None:
        """Return the answer to another router's exchange, or None for a dropped request."""
        full_state = self._decode_full_state(raw)
        if full_state is None:
            return None
        with self.lock:
            answer, actions = self.membership.on_full_state(full_state, now_us())
        self.execute(actions)
        return self.codec.encode(answer)

    def on_exchange_answer(self, raw: bytes) -> None:
        """Handle the answer to an exchange that this router started."""
        full_state = self._decode_full_state(raw)
        if full_state is not None:
            self.execute(self.call_membership(partial(self.membership.on_full_state_answer, full_state)))

    def on_probe_result(self, name: str, start: int, refused: bool) -> None:
        """Handle the result of a connection probe."""
        self.execute(self.call_membership(partial(self.membership.on_probe_result, name, start, refused)))

    # Called from other threads

    def status(self) -> dict[str, Any]:
        """Return the membership's part of the status page."""
        with self.lock:
            counters = dict(sorted(self.counters.items())) | self.exchanges.counters
            return membership_status(self.membership, counters, now_us())

    def status_line(self) -> str:
        """Return the status page as JSON."""
        budgets = self.budgets.status() if self.budgets is not None else None
        return json.dumps(self.status() | {"budgets": budgets})

    def close(self) -> None:
        """Stop the threads and close the datagram socket."""
        self.stopped.set()
        if self.budgets is not None:
            self.budgets.close()
        self.exchanges.stopped.set()
        self.datagram_socket.close()
