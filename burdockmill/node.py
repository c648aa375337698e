"""Wire the core of one host to its clients and surfaces."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from burdockmill._action_runner import ActionRunner
from burdockmill._graceful_stop import GracefulStop
from burdockmill._host_reports import HostReports
from burdockmill._pause_guard import PauseGuard
from burdockmill._waiters import Waiters
from burdockmill.clients.peer_client import PeerClient
from burdockmill.clients.platform_client import PlatformClient
from burdockmill.clients.platform_reader import PlatformReader
from burdockmill.clients.upstream_client import UpstreamClient
from burdockmill.clock import MonotonicClock
from burdockmill.core import make_engine
from burdockmill.decision_log import DecisionLog
from burdockmill.descriptors import connections_limit
from burdockmill.engine_pump import EnginePump
from burdockmill.errors import BurdockmillError, StoppingError
from burdockmill.messages.actions import Announce, SendToPeer
from burdockmill.messages.batch import messages_in
from burdockmill.messages.events import (
    CallerDisconnected,
    HostStarted,
    HostStopping,
    PeerReceived,
    RulesAccepted,
)
from burdockmill.messages.peer import WorkRequest
from burdockmill.metrics import Metrics
from burdockmill.readiness import Readiness
from burdockmill.surfaces._bounded_server import ServerBounds
from burdockmill.surfaces.caller import caller_app
from burdockmill.surfaces.gateway import Gateway
from burdockmill.surfaces.listener import Listener
from burdockmill.surfaces.operator import operator_app
from burdockmill.surfaces.peer import peer_app
from burdockmill.tables.rows import MemberRow

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from aiohttp import web

    from burdockmill._waiters import AnyAnswer
    from burdockmill.clock import Clock
    from burdockmill.explanation import Explanation
    from burdockmill.host_status import HostStatus
    from burdockmill.messages.actions import Action
    from burdockmill.messages.events import Event, RequestReceived
    from burdockmill.messages.peer import PeerBatch
    from burdockmill.names import Address, HostId, RequestId
    from burdockmill.rules.model import RuleSet
    from burdockmill.settings import Settings

MILLISECONDS_PER_SECOND = 1_000


class Node(Gateway):
    """Run one host: its core, its clients and its surfaces."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or MonotonicClock()
        self.metrics = Metrics(settings.host)
        self.decisions = DecisionLog()
        self.counts: Counter[str] = Counter()
        self.caller_address: Address = settings.caller_address
        self.peer_address: Address = settings.peer_address
        self.operator_address: Address = settings.operator_address
        rng = random.Random()
        self.engine = make_engine(settings.host, settings.domain, rng)
        self._readiness = Readiness(self.engine.world)
        self.upstreams = UpstreamClient(
            self.post, self.clock, settings.connection_share
        )
        self.peers = PeerClient(settings.host, settings.peer_key, self.post)
        self.platform = PlatformClient(settings.platform_addresses, self.clock)
        self._pump = EnginePump(self.engine, self.clock, self._run_actions, self.counts)
        self._pause_guard = PauseGuard(self.clock)
        self.waiters = Waiters(settings.request_limit)
        self._actions = ActionRunner(
            self.engine.world,
            self.upstreams,
            self.peers,
            self.waiters,
            self.decisions,
            self.post,
            self.counts,
        )
        self._stop = GracefulStop(
            settings, self.clock, self.engine, self.waiters, self.peers
        )
        self._reports = HostReports(self)
        self.listener_by_surface: dict[str, Listener] = {}
        self._tasks: list[asyncio.Task] = []

    @property
    def rules(self) -> RuleSet | None:
        """Return the active rules, or None before any were accepted."""
        return self.engine.world.rules

    @property
    def ready(self) -> bool:
        """Return whether this host accepts new requests."""
        has_initial_data = self._readiness.is_ready(self.clock.now_ms())
        return has_initial_data and not self._stop.begun

    @property
    def stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._stop.begun

    async def start(self) -> None:
        """Open the surfaces and start reading from the platform."""
        settings = self.settings
        self.peer_address = await self._open_listener(
            "peer", peer_app(self), settings.peer_address
        )
        self.operator_address = await self._open_listener(
            "operator", operator_app(self), settings.operator_address
        )
        self._add_members()
        self._start_task(self._pause_guard.run_heartbeat())
        world = self.engine.world
        reader = PlatformReader(self.platform, world, self.clock, world.rng, self.post)
        self._start_task(reader.watch_rules())
        self._start_task(reader.watch_hosts(settings.start_spread_ms))
        self.caller_address = await self._open_listener(
            "caller", caller_app(self), settings.caller_address
        )
        logger.info(
            f"node: {settings.host} serves callers on {self.caller_address}, "
            f"peers on {self.peer_address}, operators on {self.operator_address}."
        )

    async def stop(self) -> None:
        """Finish the requests in progress within the grace time, then close."""
        self._stop.begun = True
        self.post(HostStopping(float(self.settings.balancer_lag_ms)))
        await self._stop.run(
            self.listener_by_surface["caller"], self.listener_by_surface["peer"]
        )
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for listener in self.listener_by_surface.values():
            await listener.close()
        await self.upstreams.close()
        await self.peers.close()
        await self.platform.close()
        self._pump.close()
        logger.info(f"stop: {self.settings.host} has stopped.")

    def post(self, event: Event) -> None:
        """Queue an event for the core; apply accepted rules to the pools at once."""
        if isinstance(event, RulesAccepted):
            self._configure_upstreams(event)
        self._pump.post(event)

    async def handle_request(self, request: RequestReceived) -> AnyAnswer:
        """Return the answer to a request; raise a BurdockmillError otherwise."""
        started_ms = self.clock.now_ms()
        request = self._pause_guard.shorten_request(request)
        waiter = self.waiters.open(request.request_id)
        self.post(request)
        try:
            result = await waiter
        finally:
            self.waiters.close(request.request_id)
        took_ms = self.clock.now_ms() - started_ms
        outcome = result.kind if isinstance(result, BurdockmillError) else "answered"
        self.metrics.observe(str(request.kind), outcome, took_ms)
        if isinstance(result, BurdockmillError):
            raise result
        return result

    def leave(self, request_id: RequestId) -> None:
        """Report to the core that a request's caller has disconnected."""
        self.post(CallerDisconnected(request_id))

    def receive_batch(self, batch: PeerBatch) -> int:
        """Queue a batch's messages and count them; raise StoppingError if stopped.

        While this host finishes open work, it answers new work with a refusal.
        """
        if self._stop.refuses_all:
            raise StoppingError("This host has stopped.")
        messages = messages_in(batch)
        self.counts["batches_taken"] += 1
        sender = batch["sender"]
        for message in messages:
            if not isinstance(message, WorkRequest):
                self.post(PeerReceived(sender, message))
            elif self._stop.refuses_work:
                self._refuse_work(sender, message)
            else:
                shortened = self._pause_guard.shorten_work(message)
                self.post(PeerReceived(sender, shortened))
        return len(messages)

    def explain(self, request_id: RequestId) -> Explanation:
        """Return the decisions on a request that this host still stores."""
        return self._reports.explain(request_id)

    async def explain_with_owners(self, request_id: RequestId) -> Explanation:
        """Return the decisions of this host, and of owners it asked, on a request."""
        return await self._reports.explain_with_owners(request_id)

    def status(self) -> HostStatus:
        """Return the status of this host and of the fleet as this host sees it."""
        return self._reports.status()

    def block_hosts(self, hosts: frozenset[HostId]) -> None:
        """Send no batches to these hosts, to simulate a network partition."""
        self.peers.blocked_hosts = hosts

    def metrics_text(self, accept: tuple[str, ...]) -> tuple[bytes, str]:
        """Return the metrics and their content type."""
        return self._reports.metrics_text(accept)

    def _add_members(self) -> None:
        settings = self.settings
        identity = (settings.host, settings.domain, settings.region, self.peer_address)
        own = MemberRow(
            *identity, incarnation=int(time.time() * MILLISECONDS_PER_SECOND)
        )
        seeds = tuple(
            MemberRow(seed.host, seed.domain, "", seed.peer_address)
            for seed in settings.seeds
            if seed.host != settings.host
        )
        self.post(HostStarted(own, seeds))

    def _refuse_work(self, sender: HostId, request: WorkRequest) -> None:
        self.counts["work_refused_stopping"] += len(request.parts)
        refusal = SendToPeer(sender, self._stop.build_refusal(request))
        self._actions.run([refusal], self.clock.now_ms())

    def _run_actions(self, actions: list[Action], now_ms: float) -> None:
        self._handle_announcements(actions)
        self._actions.run(actions, now_ms)

    def _handle_announcements(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Announce) and isinstance(action.event, RulesAccepted):
                self._configure_upstreams(action.event)

    def _configure_upstreams(self, event: RulesAccepted) -> None:
        self.upstreams.apply_rules(event.rules, event.changed)

    def _start_task(self, coroutine: Coroutine) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def count_refusal(self, surface: str, kind: str) -> None:
        """Count a refusal at a surface by the kind of its error."""
        self.metrics.count_refusal(surface, kind)

    async def _open_listener(
        self, surface: str, app: web.Application, address: Address
    ) -> Address:
        bounds = ServerBounds(
            connections_limit(surface, self.settings.connections_limit),
            partial(self.count_refusal, surface),
        )
        listener = Listener(app, bounds)
        self.listener_by_surface[surface] = listener
        return await listener.open(address)
