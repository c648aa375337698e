"""Track which snapshots upstreams serve, and which upstreams are leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import Action, LogDecision, ReadHealth
from burdockmill.messages.events import (
    Event,
    HealthRead,
    HostListRead,
    HostStarted,
    RulesAccepted,
    UpstreamAnswered,
    UpstreamRefused,
)
from burdockmill.messages.fleet import GossipUpdates
from burdockmill.systems._apply_updates import disseminate
from burdockmill.systems._fleet_rows import holdings_update, write_upstream
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.names import UpstreamId
    from burdockmill.systems.routing import Router
    from burdockmill.world import World

HEALTH_INTERVAL_MS = 1_000.0
HEALTH_JITTER_MS = 200.0
OWNERSHIP_CHECK_MS = 500.0
OWNERSHIP_CHECK = ""


class HoldingsSystem(System):
    """Poll the health of owned upstreams, and disseminate what they report."""

    name = "holdings"
    handles = (
        HostStarted,
        RulesAccepted,
        HostListRead,
        HealthRead,
        UpstreamAnswered,
        UpstreamRefused,
    )

    def __init__(self, router: Router) -> None:
        self._router = router
        self._owned: set[UpstreamId] = set()
        self._owned_versions = (-1, -1)

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Record what upstreams reported, and poll those that are due."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            actions.extend(self._handle(world, event, now_ms))
        due = world.due(self.name)
        for upstream in due.pop_due(now_ms):
            if upstream == OWNERSHIP_CHECK:
                due.schedule(OWNERSHIP_CHECK, now_ms + OWNERSHIP_CHECK_MS)
            elif upstream in self._owned:
                actions.extend(self._poll(world, upstream, now_ms))
        self._update_owned(world, now_ms)
        return actions

    def _handle(self, world: World, event: Event, now_ms: float) -> list[Action]:
        if isinstance(event, RulesAccepted | HostListRead | HostStarted):
            world.due(self.name).schedule(OWNERSHIP_CHECK, now_ms + OWNERSHIP_CHECK_MS)
            return []
        if isinstance(event, HealthRead) and event.snapshots is None:
            return self._record_unreachable(world, event.upstream)
        if isinstance(event, HealthRead | UpstreamAnswered | UpstreamRefused):
            return self._record_observation(world, event, now_ms)
        return []

    def _update_owned(self, world: World, now_ms: float) -> None:
        if world.rules is None:
            return
        versions = (world.members_version, world.fleet.upstreams_version)
        if versions == self._owned_versions:
            return
        self._owned_versions = versions
        candidates = world.fleet.upstreams_by_domain.get(world.domain, ())
        owned = {
            upstream
            for upstream in candidates
            if self._router.owner_of(world, upstream) == world.host
        }
        due = world.due(self.name)
        for upstream in sorted(owned - self._owned):
            due.schedule(upstream, now_ms)
        for upstream in self._owned - owned:
            due.cancel(upstream)
        self._owned = owned

    def _poll(self, world: World, upstream: UpstreamId, now_ms: float) -> list[Action]:
        if world.rules is None or upstream not in world.rules.upstream_by_id:
            return []
        wait_ms = HEALTH_INTERVAL_MS + world.rng.uniform(0.0, HEALTH_JITTER_MS)
        world.due(self.name).schedule(upstream, now_ms + wait_ms)
        rule = world.rules.upstream_by_id[upstream]
        return [ReadHealth(upstream, rule.address)]

    def _record_observation(
        self,
        world: World,
        event: HealthRead | UpstreamAnswered | UpstreamRefused,
        now_ms: float,
    ) -> list[Action]:
        row = world.upstream_by_id.get(event.upstream)
        if row is None:
            return []
        incarnation = row.incarnation
        if isinstance(event, HealthRead):
            incarnation = event.incarnation
        is_restarted = row.incarnation != "" and incarnation != row.incarnation
        updated = row._replace(
            snapshots=tuple(event.snapshots or ()),
            reported_draining=event.draining
            or (row.reported_draining and not is_restarted),
            incarnation=incarnation,
            reachable=True,
        )
        if updated == row:
            return []
        if holdings_update(updated) == holdings_update(row):
            write_upstream(world, updated, now_ms)
            return []
        updated = updated._replace(version=row.version + 1)
        write_upstream(world, updated, now_ms)
        disseminate(world, GossipUpdates(holdings=(holdings_update(updated),)))
        choice = f"{updated.upstream} serves snapshots {list(updated.snapshots)}"
        state = "leaving" if updated.reported_draining else "serving"
        return [LogDecision("holdings", "", choice, state)]

    def _record_unreachable(self, world: World, upstream: UpstreamId) -> list[Action]:
        row = world.upstream_by_id.get(upstream)
        if row is None or not row.reachable:
            return []
        world.upstream_by_id[upstream] = row._replace(reachable=False)
        world.holdings_version += 1
        return [
            LogDecision(
                "holdings",
                "",
                f"{upstream} unreachable",
                "no response to the health check",
            )
        ]
