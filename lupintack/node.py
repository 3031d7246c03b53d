"""One edge router: builds, starts and stops the core, the fronts and the links to members."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from lupintack import config, logs
from lupintack.admin_service import AdminService
from lupintack.clock import UNIX_OFFSET_US, module_ms, now_us
from lupintack.core.actor import Core
from lupintack.core.ban_keeper import FolderLocation
from lupintack.core.local_cache import LocalCache, capacity_bytes
from lupintack.core.messages import FailOpenRequests, MemberLink, Shutdown
from lupintack.core.table_updates import Endpoint, TableChange
from lupintack.core.timestamps import CopyClock
from lupintack.discovery.setup import Discovery, build_discovery
from lupintack.fronts.exchange import Exchange
from lupintack.fronts.http1 import Http1Server
from lupintack.fronts.platform import MAX_BODY_BYTES, Platform
from lupintack.http2.schedule import Priority
from lupintack.interface import ListKind, MemberList
from lupintack.peers.config import PeerConfig
from lupintack.peers.connection_quota import ConnectionQuota
from lupintack.peers.peer import Peer
from lupintack.process.descriptor_plan import DescriptorPlan, plan_descriptors
from lupintack.process.front_server import FrontServer
from lupintack.process.router_processes import RouterProcesses
from lupintack.process.upgrade_sharing import UpgradeSharing
from lupintack.reload import reload_files
from lupintack.settings import files

if TYPE_CHECKING:  # imported only if the feature is on
    from lupintack.fleet.transport import FleetTransport
    from lupintack.fronts.cdni.conf import Cdni
    from lupintack.fronts.cdni.front import CdniFront
    from lupintack.fronts.http2 import Http2Server
    from lupintack.settings.operator import Http2 as Http2Settings
    from lupintack.settings.operator import Operator

LOG = logging.getLogger("lupintack")
MAX_FIRST_CONNECTIONS = 8  # connections to members without one, while all others are in use
MAX_CDNI_BODY_BYTES = 65536
ACCEPT_AFTER_SIGTERM_S = 0.7  # requests that arrive within this time are answered
MAX_ANSWER_S = 3.0  # SIGKILL follows the last request by this; longer deadlines are capped to it
KILL_MARGIN_S = 0.05  # the process exits this long before SIGKILL
MAX_LIST_WAIT_S = 4.0  # at a start, which with its other parts stays under the 6 s of a short day
MAX_UPGRADE_LIST_WAIT_S = 20.0  # while an older process serves; each start must be ready within 30 s
BUSY_CHECK_INTERVAL_S = 0.01
FLUSH_MARGIN_S = 0.25  # open requests are failed this long before the exit, so slow clients can read answers


def spawn(target: Callable[[], None], name: str) -> None:
    """Start a daemon thread."""
    threading.Thread(target=target, name=name, daemon=True).start()


def folder_location(conf: config.Config) -> FolderLocation | None:
    """Return the location of the folder that the processes of a router share, None if none is configured."""
    return FolderLocation(conf.tmp, conf.name, f"{conf.listen[0]}:{conf.listen[1]}") if conf.tmp else None


class Node:
    """One edge router: the core, its fronts, and its links to members.

    start(), or begin() and serve(), start it. stop() answers all requests first; end() only ends its threads.
    """

    def __init__(
        self,
        conf: config.Config,
        cdni: Cdni | None = None,
        operator: Operator | None = None,
        started_discovery: Discovery | None = None,
    ) -> None:
        """Bind all ports; `started_discovery` is a discovery client that already runs."""
        self.conf = conf
        self.operator_settings = operator
        self.member_table, self.discovery = started_discovery or build_discovery(conf)
        clock = CopyClock(UNIX_OFFSET_US)
        self.core = Core(conf.settings, conf.seed, self.member_table, self.connect, self._local_cache(clock))
        self.platform = Platform(self.core, conf.names.classes, self.is_ready)
        http2 = operator.http2 if operator is not None and operator.http2.enabled else None
        plan = self._plan_descriptors(cdni, http2)
        self.terms = self._member_terms(plan, clock)
        self._shares_ports = conf.admin is not None  # with the other processes of an upgrade
        self._count = self.core.counters.increment
        self.http1 = Http1Server(
            conf.listen,
            self.platform.handle,
            spawn,
            self._count,
            plan.clients,
            MAX_BODY_BYTES,
            reuse=self._shares_ports,
        )
        self.servers: list[FrontServer] = [self.http1]
        self.admin_service = AdminService(
            self.core,
            self.member_table,
            self.terms.quota,
            self.servers,
            conf.limits.memory_mb,
            plan.process_descriptors,
        )
        self.sharing = UpgradeSharing(self.core, self._router_processes(), spawn)
        self.fleet = self._build_fleet()
        self.admin = self._build_admin(plan.admin)
        self.cdni_front = self._build_cdni(cdni, plan.cdni)
        self.http2: list[Http2Server] = []
        if http2 is not None:
            self.http2 = self._build_http2(http2, self.cdni_front, plan.http2)
        self.servers += self.http2

    def is_ready(self) -> bool:
        """Return whether the load balancer should send work here."""
        return self.admin_service.lifecycle.is_ready

    def _plan_descriptors(self, cdni: Cdni | None, http2: Http2Settings | None) -> DescriptorPlan:
        return plan_descriptors(
            self.conf.limits.sockets,
            has_cdni=cdni is not None,
            http2_connections=http2.connections if http2 is not None else 0,
            http2_ports=0 if http2 is None else 1 + bool(http2.cdni_listen and cdni is not None),
            has_admin=self.conf.admin is not None,
        )

    def _local_cache(self, clock: CopyClock) -> LocalCache | None:
        conf = self.conf
        if conf.link_bytes_per_s <= 0:
            return None
        return LocalCache(capacity_bytes(conf.limits.memory_mb), conf.link_bytes_per_s, clock)

    def _member_terms(self, plan: DescriptorPlan, clock: CopyClock) -> PeerConfig:
        limits = self.conf.limits
        count = self.core.counters.increment
        return PeerConfig(
            limits.max_streams,
            limits.connect_timeout_us,
            limits.idle_us,
            self.conf.names.reports,
            ConnectionQuota(plan.members, MAX_FIRST_CONNECTIONS),
            clock,
            self.conf.settings.allows_cancellation,
            lambda name: count(f"member.{name}"),
        )

    def _build_fleet(self) -> FleetTransport | None:
        if self.operator_settings is None or not self.operator_settings.membership.enabled:
            return None
        from lupintack.fleet.start import create_transport

        return create_transport(self.conf, self.operator_settings, self.core, self.admin_service)

    def _build_admin(self, max_connections: int) -> Http1Server | None:
        """Bind the admin address, if it is configured."""
        if self.conf.admin is None:
            return None
        from lupintack.fronts.admin import MAX_BODY_BYTES as MAX_CALL_BYTES
        from lupintack.fronts.admin import Admin

        fleet_status = self.fleet.status_line if self.fleet is not None else None
        handle = Admin(self.admin_service, fleet_status).handle
        return Http1Server(
            self.conf.admin, handle, spawn, self._count, max_connections, MAX_CALL_BYTES, bodyless=True
        )

    def _router_processes(self) -> RouterProcesses | None:
        """Return how this router's other processes are known, None if it never has another one."""
        if self.conf.admin is None or not self.conf.tmp:
            return None
        service = self.admin_service
        return RouterProcesses(lambda: service.folder, lambda: service.upgrade.peers)

    def _build_cdni(self, cdni: Cdni | None, max_connections: int) -> CdniFront | None:
        """Bind the CDNI front and add its server, if CDNI is enabled."""
        if cdni is None:
            return None
        from lupintack.process.cdni_setup import build_cdni

        front, self.sharing.cdni = build_cdni(
            cdni, self.core, self.member_table, self.is_ready, spawn, self.sharing.processes
        )
        limits = max_connections, MAX_CDNI_BODY_BYTES, self._shares_ports
        self.servers.append(Http1Server(cdni.listen, front.handle, spawn, self._count, *limits))
        return front

    def _build_http2(
        self, http2: Http2Settings, cdni_front: CdniFront | None, max_connections: int
    ) -> list[Http2Server]:
        """Bind the HTTP/2 port for the platform's clients, and the one for CDNI if both are enabled."""
        servers = [
            self._http2_server(
                http2,
                http2.listen,
                self.platform.handle,
                max_connections,
                max_body_bytes=MAX_BODY_BYTES,
                is_cdni=False,
            )
        ]
        if http2.cdni_listen and cdni_front is not None:
            servers.append(
                self._http2_server(
                    http2,
                    http2.cdni_listen,
                    cdni_front.handle,
                    max_connections,
                    max_body_bytes=MAX_CDNI_BODY_BYTES,
                    is_cdni=True,
                )
            )
        return servers

    def _http2_server(
        self,
        http2: Http2Settings,
        listen: str,
        handle: Callable[[Exchange], None],
        max_connections: int,
        max_body_bytes: int,
        is_cdni: bool,
    ) -> Http2Server:
        from lupintack.fronts.http2 import Http2Server
        from lupintack.settings.terms import stream_terms

        return Http2Server(
            files.address(listen, "[http2] listen"),
            handle,
            spawn,
            self._count,
            max_connections,
            max_body_bytes,
            stream_terms(http2),
            self.core.free_capacity,
            header_list=http2.header_list_bytes,
            default_priority=(lambda request: Priority()) if is_cdni else self.platform.default_priority,
            blocking=is_cdni,
            retry_after_ms=int(self.conf.settings.max_retry_after_ms),
            seed=self.conf.seed,
            reuse=self._shares_ports,
        )

    def connect(self, number: int, endpoint: Endpoint) -> MemberLink:
        """Create the link to a member when it is first sent to."""
        if endpoint.dial is None:
            raise ValueError(f"member {endpoint.name!r} has no address")
        return Peer(endpoint.name, endpoint.dial, self.terms, self.core.on_attempt_result, spawn)

    def start(self) -> None:
        """Begin, wait a bounded time for a proved list, and serve; don't wait for a handoff."""
        self.begin()
        self.member_table.validity.confirmed.wait(self.list_wait_s())
        self.serve()

    def begin(self) -> None:
        """Start everything but the fronts: the initial list, discovery, members, and the admin address."""
        if self.conf.admin is not None:
            self.admin_service.join(folder_location(self.conf))
        initial_changes: list[TableChange] = []
        self.member_table.notify = initial_changes.append
        while not self.member_table.mailbox.empty():
            update = self.member_table.mailbox.get()
            if update is not None:
                self.member_table.receive(update)
        self.core.run_turn([*initial_changes])
        if not initial_changes:
            self.core.router.handle(module_ms(now_us()), [MemberList(ListKind.CACHED)])
        if self.admin is not None:
            self.admin.open()
            spawn(self.admin.run, "admin")
        self.member_table.notify = self.core.on_endpoints_changed
        spawn(self.member_table.run, "member table")
        spawn(self.core.run, "core")
        self.discovery.start(spawn)
        if self.admin is not None:
            spawn(self.admin_service.run, "admin service")

    def list_wait_s(self) -> float:
        """Return how long a start may wait for a proved list: longer while an older process serves."""
        return MAX_UPGRADE_LIST_WAIT_S if self.admin_service.upgrade.is_older_ready() else MAX_LIST_WAIT_S

    def list_is_proved(self) -> bool:
        """Return whether discovery has proved that the list is current."""
        return self.member_table.validity.confirmed.is_set()

    def handoff_is_over(self) -> bool:
        """Receive an older process's handoff if it is there; return False if it has to be waited for."""
        upgrade = self.admin_service.upgrade
        return upgrade.handoff.receive() or not upgrade.is_handoff_awaited()

    def serve(self) -> None:
        """Accept requests; without a proved list, the origin alone serves until there is one."""
        if not self.list_is_proved():
            LOG.error(
                "discovery has proved no list: the origin serves alone",
                extra=logs.fields(**self.list_state()),
            )
        if not self.handoff_is_over():
            fault = self.admin_service.upgrade.handoff.fault or "none"
            LOG.info("no handoff received", extra=logs.fields(fault=fault))
        self.sharing.start(self.core.settings)
        # The first server answers `/alive`: clients may connect to any port once it reports ready.
        for server in reversed(self.servers):
            server.open()
        self.admin_service.control.on_started()
        for server in self.servers:
            spawn(server.run, "accept")
        self.admin_service.upgrade.route_new_connections()
        if self.fleet is not None:
            self.fleet.start(spawn)

    def list_state(self) -> dict[str, object]:
        """Return the age of the list as fields of a log line."""
        table = self.member_table
        return {
            "list_current": table.validity.is_current,
            "revision": self.discovery.last_revision,
            "proof_age_ms": table.proof_age_ms(),
        }

    def abandon(self) -> None:
        """Stop after a SIGTERM that arrived before requests were served."""
        self.admin_service.close()
        LOG.info("stopped before it served", extra=logs.fields(node=self.conf.name))

    def reload(self, environ: Mapping[str, str]) -> None:
        """Read the configuration again, after SIGHUP."""
        reload_files(self, environ)

    def stop(self, terminated_s: float | None = None) -> None:
        """Shut down after SIGTERM: keep accepting for a short time, and answer every request.

        `terminated_s` is the monotonic time of the signal in seconds; None means now.
        """
        terminated_s = time.monotonic() if terminated_s is None else terminated_s
        longest_s = max((cls.deadline_ms for cls in self.core.settings.classes), default=0.0) / 1000.0
        answer_s = min(longest_s, MAX_ANSWER_S)
        plan = self.admin_service.begin_shutdown(int(answer_s * 1e6))
        self.sharing.expect_unseen()
        end_s = terminated_s + ACCEPT_AFTER_SIGTERM_S + answer_s - KILL_MARGIN_S
        for server in self.servers:
            if plan.closes_after_answers:
                server.close_answers(True)
            server.drain()
        reads_until_s = time.monotonic() + plan.read_us / 1e6
        time.sleep(plan.accept_us / 1e6)
        self.admin_service.upgrade.wait_for_older()
        for server in self.servers:
            server.stop_accepting()
        time.sleep(max(0.0, reads_until_s - time.monotonic()))
        for server in self.servers:
            server.stop_reading()
        answered = threading.Event()
        self.core.enqueue(Shutdown(answered.set))
        if not answered.wait(end_s - FLUSH_MARGIN_S - time.monotonic()):
            self.core.enqueue(FailOpenRequests())  # so that they are answered before SIGKILL
        while any(server.busy() for server in self.servers) and time.monotonic() < end_s:
            time.sleep(BUSY_CHECK_INTERVAL_S)
        if self.cdni_front is not None:
            self.cdni_front.triggers.await_purges_sent(int((end_s - FLUSH_MARGIN_S) * 1e6))
        self.admin_service.close()
        if self.fleet is not None:
            self.fleet.close()

    def end(self) -> None:
        """End all threads without answering requests; for programs that outlive the node."""
        self.discovery.stopped.set()
        for server in (*self.servers, *([self.admin] if self.admin is not None else [])):
            server.stop_accepting()
        self.admin_service.close()
        self.member_table.mailbox.put(None)
        self.core.close()
        if self.fleet is not None:
            self.fleet.close()

    def log_ready(self, times: Mapping[str, str]) -> None:
        """Log that requests are served."""
        start = {"node": self.conf.name, "listen": f"{self.conf.listen[0]}:{self.conf.listen[1]}"}
        LOG.info("ready", extra=logs.fields(**start, **times, **self.list_state()))

    def log_counters(self) -> None:
        """Log all counters."""
        gauges = {
            f"http2.{index}.now.{name}": value
            for index, server in enumerate(self.http2)
            for name, value in server.explain().items()
        }
        counters = self.core.counters | self.discovery.counters
        LOG.info(
            "counters", extra=logs.fields(**dict(sorted(counters.items())), **gauges, **self.list_state())
        )
