"""Assemble the components that forward requests on one host, and update them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockmill.clients.connection_warmer import ConnectionWarmer
from burdockmill.clients.forwarding_client import ForwardingClient
from burdockmill.clients.reach_prober import ReachProber
from burdockmill.clients.receive_budget import ReceiveBudget
from burdockmill.clients.relay_client import RelayClient
from burdockmill.forwarding.attempt_costs import AttemptCosts
from burdockmill.forwarding.catalog_follower import CatalogFollower
from burdockmill.forwarding.connection_limits import ConnectionLimits
from burdockmill.forwarding.crash_guard import CrashGuard
from burdockmill.forwarding.forwarder import Forwarder
from burdockmill.forwarding.lag_timer import LagTimer
from burdockmill.forwarding.merge_policy import GreatestRecords
from burdockmill.forwarding.observations import Observations
from burdockmill.forwarding.planner import Planner
from burdockmill.forwarding.reach_monitor import ReachMonitor
from burdockmill.forwarding.reach_timer import ReachTimer
from burdockmill.forwarding.request_log import RequestLog
from burdockmill.forwarding.room_monitor import RoomMonitor
from burdockmill.forwarding.silence_monitor import SilenceMonitor
from burdockmill.forwarding.token_gate import TokenGate
from burdockmill.forwarding.upstream_notices import UpstreamNotices
from burdockmill.forwarding.weighted_choice import WeightedChoices
from burdockmill.messages.events import PeerRevisionReceived
from burdockmill.messages.reach import LinksTested, ReachWanted
from burdockmill.messages.store_position import StorePosition
from burdockmill.policies.reach_targets import (
    MIN_UNHEARD,
    evidence_targets,
    reach_targets,
)
from burdockmill.policies.repeat_budget import RepeatBudget, SharedAmong
from burdockmill.policies.replica_choice import ExpectedLatencyChoice
from burdockmill.policies.upstream_eligibility import UpstreamEligibility
from burdockmill.policies.warm_targets import warm_targets
from burdockmill.relay.gather_choice import GatherChoice
from burdockmill.relay.relay_planner import RelayPlanner
from burdockmill.tables.gather_view import GatherView

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from burdockmill.clock import Clock
    from burdockmill.decision_log import DecisionLog
    from burdockmill.forwarding.codecs import UpstreamCodec
    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.settings import ForwardingSettings
    from burdockmill.messages.actions import LogDecision
    from burdockmill.messages.events import CatalogChanged, Event
    from burdockmill.metrics import Metrics
    from burdockmill.names import Address, HostId, ServiceId
    from burdockmill.relay.messages import CatalogVersion
    from burdockmill.world import World

# For this fraction of `change_limit_ms` an upstream that says it is leaving still gets
# requests that no other can serve.
LAST_RESORT_FRACTION = 0.4


class DataPath:
    """Assemble the forwarder, its client and its policies, and keep them up to date."""

    def __init__(
        self,
        settings: ForwardingSettings,
        world: World,
        clock: Clock,
        codec: UpstreamCodec,
        decisions: DecisionLog,
        metrics: Metrics,
        flush_soon: Callable[[], None],
        post: Callable[[Event], None],
    ) -> None:
        self._follower = CatalogFollower(settings, world, self)
        self._world = world
        self._clock = clock
        self.observations = Observations(AttemptCosts(settings.cost_estimates))
        self.notices = UpstreamNotices(settings.change_limit_ms * LAST_RESORT_FRACTION)
        self.gate = TokenGate(world.limits, post)
        self.guard = CrashGuard(world.suspects, settings.host, world.live_hosts, post)
        self.budget = RepeatBudget(settings.repeat_limits, clock.now_ms())
        self.room = RoomMonitor(self._log_decision)
        self.lag_timer = LagTimer(self.room, clock)
        self._view = GatherView(world)
        self.connections = ConnectionLimits(
            world, self._view, clock, lambda: self.gather.has_host
        )
        self.received = ReceiveBudget.of_memory(settings.memory_mb)
        self.client = ForwardingClient(
            codec,
            clock,
            self.connections.host_limit,
            self.connections.keeps_idle,
            self.received,
        )
        self.warmer = ConnectionWarmer(
            self.client,
            self._warm_targets,
            world.rng,
            lambda: self._view.is_gatherer,
        )
        self.choices = WeightedChoices(world.rng)
        eligibility = UpstreamEligibility(
            settings.domain,
            settings.region_by_domain,
            lambda: world.catalog.evacuations.domains,
        )
        choice = ExpectedLatencyChoice(
            settings.host,
            settings.domain,
            settings.region_by_domain,
            self.observations,
            world.catalog.removal_ms_by_upstream,
            self.notices,
            self.client.connection_state,
            self.gate,
        )
        self._planner = Planner(
            self._replicas_of,
            choice,
            self.budget,
            self.observations,
            self.notices,
            self.gate,
            self.guard,
            eligibility,
            self.room,
        )
        self.reach = ReachMonitor(
            world.reach,
            self.observations,
            self._usable_upstreams,
            self._log_decision,
            self._on_reach_failure,
            self._on_reach_change,
        )
        self.prober = ReachProber(
            self.reach, self.client, clock, self._reach_targets, world.rng
        )
        self.silence = SilenceMonitor(
            self.reach,
            self.guard,
            self._test_silence,
            lambda *fell: self.forwarder.fell_silent(*fell),
        )
        self.relay_planner = RelayPlanner(
            world.reach,
            world.peer_reach,
            self._replicas_of,
            lambda services: post(ReachWanted(services)),
            self.budget,
            eligibility,
            world.domain_of,
        )
        self.gather = GatherChoice(
            world,
            self._view,
            settings.region_by_domain,
            self.relay_planner.in_flight_by_host,
            eligibility,
            self._replicas_of,
        )
        self.relay_client = RelayClient(
            settings.host,
            settings.peer_key,
            clock,
            self._peer_address,
            lambda: world.catalog.version,
            self._on_peer_catalog,
            self.received,
        )
        self._post = post
        self._domain = settings.domain
        self._decisions = decisions
        self._flush_soon = flush_soon
        log = RequestLog(world, self._planner, decisions, metrics, flush_soon)
        self.forwarder = Forwarder(
            clock,
            world.catalog,
            self._planner,
            self.choices,
            GreatestRecords(),
            self.client,
            log,
            self.reach,
            lambda: self.reach_timer.start(),
            self.relay_planner,
            self.relay_client,
            self.silence,
            self.gather,
        )
        self.reach_timer = ReachTimer(
            self.reach, self.silence, clock, self.forwarder.open_attempts
        )

    def apply(self, settings: ForwardingSettings) -> None:
        """Apply changed limits of repeat attempts, and the use of cost estimates."""
        self.observations.costs.is_enabled = settings.cost_estimates
        self.budget.limits = settings.repeat_limits
        self.notices.last_resort_ms = settings.change_limit_ms * LAST_RESORT_FRACTION

    async def close(self) -> None:
        """Cancel all attempts and hand-overs, and close all connections."""
        self.reach_timer.close()
        self.lag_timer.close()
        await self.prober.close()
        await self.relay_client.close()
        await self.client.close()

    def follow_hosts(self, now_ms: float) -> None:
        """Divide budgets and connections among the hosts that are alive now."""
        for incarnation in self._world.limits.end_cold(now_ms):
            self.gate.on_change(incarnation, now_ms)
        view = self._view
        hosts = self._world.live_host_count()
        sharing = SharedAmong(hosts, view.live_count, view.is_gatherer)
        if sharing != self.budget.shared_among:
            self.budget.share_among(
                hosts, now_ms, sharing.gatherers, sharing.is_gatherer
            )
            self.client.apply_limits(self._world.catalog.registration_by_upstream)

    def follow_catalog(self, change: CatalogChanged, now_ms: float) -> None:
        """Apply a change of the catalog to observations, budgets and connections."""
        self._follower.apply(change, now_ms)

    def _usable_upstreams(self) -> list[Registration]:
        registered = self._world.catalog.registration_by_upstream.values()
        return [one for one in registered if not one.draining]

    def test_links(self, services: Collection[ServiceId]) -> None:
        """Test the links to upstreams of some services, or any; report the end."""
        usable = self._usable_upstreams()
        targets = evidence_targets(usable, services, self._domain, self._world.rng)
        self.prober.test_now(targets, lambda: self._post(LinksTested()))

    def _test_silence(self, upstream: Registration) -> None:
        usable = self._usable_upstreams()
        others = evidence_targets(usable, (), self._domain, self._world.rng)
        self.prober.test_silence(upstream, others, self.silence.tested)

    def _reach_targets(self) -> list[Registration]:
        usable = self._usable_upstreams()
        reach = self._world.reach
        return reach_targets(
            reach,
            usable,
            reach.failing_services(usable),
            self._domain,
            self._world.rng,
        )

    def _on_reach_failure(self) -> None:
        reach = self._world.reach
        if reach.is_isolated or reach.has_failures or len(reach.unheard) >= MIN_UNHEARD:
            self.prober.start()

    def _on_reach_change(self) -> None:
        if self._world.reach.is_isolated:
            self._post(ReachWanted())
        else:
            self.observations.end_outages()
            self.client.reset_backoffs()
        # Requests take their new ways once the attempt that changed this is recorded.
        asyncio.get_running_loop().call_soon(self.forwarder.reconsider)

    def _on_peer_catalog(self, host: HostId, catalog: CatalogVersion) -> None:
        """Catch up at once with a host whose newer catalog a client has seen."""
        position = StorePosition(catalog.era, catalog.revision)
        if position > self._world.catalog.position:
            self._post(PeerRevisionReceived(host, catalog.revision, catalog.era))

    def _peer_address(self, host: HostId) -> Address | None:
        row = self._world.member_by_host.get(host)
        return row.peer_address if row is not None and row.alive else None

    def _log_decision(self, decision: LogDecision, now_ms: float) -> None:
        self._decisions.add(decision, now_ms)
        self._flush_soon()

    def _replicas_of(self, service: ServiceId) -> Iterable[Registration]:
        return self._world.catalog.upstreams_by_service.get(service, {}).values()

    def _warm_targets(self) -> Iterable[Registration]:
        tables = self._world.catalog.tables
        if tables is None or self._world.fleet.leaving:
            return ()
        now_ms = self._clock.now_ms()
        targets = warm_targets(
            tables.routes,
            list(self._world.catalog.upstreams_by_service),
            lambda service, route: self._planner.rank_for_search(
                service, now_ms, route
            ),
        )
        return filter(self.connections.keeps_idle, targets)
