"""Run one host that forwards requests: membership, catalog, and the data path."""

from __future__ import annotations

import random
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from burdockmill._forwarding_actions import ForwardingActions
from burdockmill._forwarding_reports import ForwardingReports
from burdockmill._forwarding_start import ForwardingStart
from burdockmill._forwarding_stop import CLOSE_RESERVE_MS, ForwardingStop
from burdockmill._line_writer import LineWriter
from burdockmill.clients.catalog_reader import CatalogReader
from burdockmill.clients.peer_client import PeerClient
from burdockmill.clock import BootClock
from burdockmill.decision_log import DecisionLog
from burdockmill.descriptors import connections_limit
from burdockmill.engine_pump import EnginePump
from burdockmill.errors import StoppingError
from burdockmill.fleet_core import make_fleet_engine
from burdockmill.forwarding.data_path import DataPath
from burdockmill.forwarding.routes import IngressLimits
from burdockmill.messages.batch import messages_in
from burdockmill.messages.events import (
    HostStarted,
    HostStopping,
    PeerReceived,
    SeedsRead,
)
from burdockmill.metrics import Metrics
from burdockmill.stop_steps import run_step, run_together
from burdockmill.supervisor import Supervisor
from burdockmill.surfaces._bounded_server import ServerBounds
from burdockmill.surfaces._client_guard import client_guard_of
from burdockmill.surfaces.host_gateway import HostGateway
from burdockmill.surfaces.ingress import Ingress, ready_app
from burdockmill.surfaces.listener import Listener
from burdockmill.surfaces.operator import operator_app
from burdockmill.surfaces.peer import peer_app
from burdockmill.surfaces.relay import RelayServer
from burdockmill.systems._ring import Ring

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from socket import socket

    from aiohttp import web

    from burdockmill.clients.catalog_source import CatalogSource
    from burdockmill.clock import Clock
    from burdockmill.explanation import Explanation
    from burdockmill.forwarding.codecs import IngressCodec, UpstreamCodec
    from burdockmill.forwarding.settings import ForwardingSettings
    from burdockmill.messages.events import Event
    from burdockmill.messages.peer import PeerBatch
    from burdockmill.names import Address, HostId, RequestId
    from burdockmill.settings_watcher import SettingsWatcher

# A step of closing has at least this time, however late in the grace time it begins.
CLOSING_LIMIT_MS = 100.0
# The wait for open requests ends by itself; only later than that it is ended.
WAITING_SLACK_MS = 50.0


class ForwardingNode(HostGateway):
    """Run one forwarding host: its core, its clients and its surfaces."""

    def __init__(
        self,
        settings: ForwardingSettings,
        source: CatalogSource,
        ingress_codec: IngressCodec,
        upstream_codec: UpstreamCodec,
        log_writer: LineWriter | None = None,
        clock: Clock | None = None,
        ingress_socket: socket | None = None,
        process_started_ms: float | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or BootClock()
        self._start = ForwardingStart(settings, self.clock, process_started_ms)
        self.metrics = Metrics(settings.host)
        self.counts: Counter[str] = Counter()
        self.decisions = DecisionLog(
            settings.remembered_decisions, settings.lines_per_second
        )
        self.log_writer = log_writer
        self.source = source
        self._ingress_socket = ingress_socket
        rng = random.Random()
        ring = Ring()
        self.engine = make_fleet_engine(
            settings.host, settings.domain, rng, ring, settings.change_limit_ms
        )
        self.actions = ForwardingActions(self)
        self._pump = EnginePump(self.engine, self.clock, self.actions.run, self.counts)
        self.peers = PeerClient(settings.host, settings.peer_key, self.post)
        self.data_path = DataPath(
            settings,
            self.engine.world,
            self.clock,
            upstream_codec,
            self.decisions,
            self.metrics,
            self.actions.schedule_flush,
            self.post,
        )
        self.ingress = Ingress(
            self.data_path.forwarder,
            ingress_codec,
            self.clock,
            lambda: self.stopping,
            partial(self.count_refusal, "ingress"),
        )
        self.relay_server = RelayServer(
            self.data_path.forwarder,
            self.engine.world,
            self.clock,
            settings.peer_key,
            lambda: self.stopping,
            self.actions.log_decision,
        )
        self.reader = CatalogReader(
            source,
            self.engine.world,
            ring,
            self.clock,
            rng,
            settings.change_limit_ms,
            self.post,
        )
        self._stop = ForwardingStop(
            settings,
            self.clock,
            self.data_path.forwarder,
            self.ingress,
            self.relay_server,
        )
        self.client_guard = client_guard_of(settings, lambda: self.limits)
        self._reports = ForwardingReports(self)
        self.listener_by_surface: dict[str, Listener] = {}
        self.supervisor = Supervisor(self.clock)
        self._settings_watch: SettingsWatcher | None = None

    @property
    def host_settings(self) -> ForwardingSettings:
        """Return the settings that the surfaces read."""
        return self.settings

    @property
    def limits(self) -> IngressLimits:
        """Return the operators' limits for clients; defaults before a catalog."""
        tables = self.engine.world.catalog.tables
        return IngressLimits() if tables is None else tables.limits

    @property
    def ready(self) -> bool:
        """Return whether this host accepts new requests."""
        return self.engine.world.catalog.tables is not None and not self.stopping

    @property
    def code(self) -> str:
        """Return the digest of this host's code, empty until it serves clients."""
        return self._start.code

    @property
    def stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._stop.begun

    async def start(self) -> None:
        """Open the surfaces and start to read the catalog."""
        settings = self.settings
        peers = peer_app(self)
        peers.add_routes(self.relay_server.routes())
        await self._open_listener("peer", peers, settings.peer_address)
        await self._open_listener(
            "operator", operator_app(self), settings.operator_address
        )
        self.post(HostStarted(self._start.own_row(), settings.seed_rows()))
        self.supervisor.start("store reader", self.reader.run, self.reader.time_left_ms)
        if self._settings_watch is not None:
            self.supervisor.start("settings watcher", self._settings_watch.run)
        self.supervisor.start("connection warmer", self.data_path.warmer.run)
        # A socket opened in advance queues clients in the kernel; none is refused.
        await self._start.wait_for_catalog(lambda: self.ready)
        await self._open_listener(
            "ingress",
            self.ingress.handle,
            settings.ingress_address,
            self._ingress_socket,
            lambda: self.limits.header_bytes,
        )
        ready = ready_app(lambda: self.ready)
        await self._open_listener("ready", ready, settings.ready_address)
        await self._start.log()

    async def stop(self) -> None:
        """Finish the requests in progress within the grace time, then close."""
        self._stop.begun = True
        end_ms = self.clock.now_ms() + self.settings.stop_grace_ms
        self.post(HostStopping(float(self.settings.balancer_lag_ms)))
        ingress = self.listener_by_surface.get("ingress")
        waiting_ms = self.settings.stop_grace_ms - CLOSE_RESERVE_MS + WAITING_SLACK_MS
        await run_step("waiting", lambda: self._stop.run(ingress), waiting_ms)
        answer_all = self.data_path.forwarder.answer_all
        await run_step("answering", answer_all, CLOSING_LIMIT_MS)
        surfaces = {
            f"closing {surface}": listener.close
            for surface, listener in self.listener_by_surface.items()
        }
        tasks = {"closing tasks": self.supervisor.close}
        await run_together(surfaces | tasks, self._closing_limit_ms(end_ms))
        clients = {
            "closing attempts": self.data_path.close,
            "closing peers": self.peers.close,
            "closing the store": self.source.close,
        }
        await run_together(clients, self._closing_limit_ms(end_ms))
        await run_step("closing the core", self._pump.close, CLOSING_LIMIT_MS)
        await run_step("flushing", self.actions.flush, CLOSING_LIMIT_MS)
        logger.info("stop: {} has stopped.", self.settings.host)
        if self.log_writer is not None:
            self.log_writer.close()

    def watch_settings(self, watch: SettingsWatcher) -> None:
        """Poll the settings with `watch` while this host runs; call before `start`."""
        self._settings_watch = watch

    @property
    def settings_replaced(self) -> int:
        """Return how many settings have the last valid value or a default."""
        watch = self._settings_watch
        return 0 if watch is None else watch.problem_count

    def apply(self, settings: ForwardingSettings) -> None:
        """Apply changed repeat limits and seeds; others take effect at the next start.

        A stop is announced to peers with the changed `balancer_lag_ms`, but waits for
        the one read at the start.
        """
        self.settings = settings
        self.data_path.apply(settings)
        self.post(SeedsRead(settings.seed_rows()))

    def post(self, event: Event) -> None:
        """Queue an event for the core's next tick."""
        self._pump.post(event)

    def receive_batch(self, batch: PeerBatch) -> int:
        """Queue a batch's messages and count them; raise StoppingError if stopped."""
        if self._stop.refuses_all:
            raise StoppingError("This host has stopped.")
        messages = messages_in(batch)
        for message in messages:
            self.post(PeerReceived(batch["sender"], message))
        return len(messages)

    def explain(self, request_id: RequestId) -> Explanation:
        """Return the decisions on a request that this host still stores."""
        return self._reports.explain(request_id)

    async def explain_with_owners(self, request_id: RequestId) -> Explanation:
        """Return this host's decisions; no other host takes part in a request."""
        return self._reports.explain(request_id)

    def status(self) -> Mapping[str, object]:
        """Return the status of this host and of the fleet as this host sees it."""
        return self._reports.status()

    def block_hosts(self, hosts: frozenset[HostId]) -> None:
        """Send no batches to these hosts, to simulate a network partition."""
        self.peers.blocked_hosts = hosts

    def metrics_text(self, accept: tuple[str, ...]) -> tuple[bytes, str]:
        """Return the metrics and their content type."""
        return self._reports.metrics_text(accept)

    def count_refusal(self, surface: str, kind: str) -> None:
        """Count a refusal at a surface by the kind of its error."""
        self.metrics.count_refusal(surface, kind)

    def _closing_limit_ms(self, end_ms: float) -> float:
        """Return the limit of each of the two steps of closing before a clock time."""
        return max(CLOSING_LIMIT_MS, (end_ms - self.clock.now_ms()) / 2)

    async def _open_listener(
        self,
        surface: str,
        app: web.Application | Callable,
        address: Address,
        listening_socket: socket | None = None,
        header_limit: Callable[[], int] | None = None,
    ) -> None:
        settings = self.settings
        bounds = ServerBounds(
            connections_limit(
                surface, settings.connections_limit, settings.descriptors_limit
            ),
            partial(self.count_refusal, surface),
            header_limit=header_limit,
            guard=self.client_guard,
        )
        listener = Listener(app, bounds)
        await listener.open(address, listening_socket)
        self.listener_by_surface[surface] = listener
