"""Learn which snapshots upstreams hold and which of them leave."""

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
from burdockmill.messages.fleet import News
from burdockmill.systems._intake import disseminate
from burdockmill.systems._news import holdings_update, write_upstream
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.names import UpstreamId
    from burdockmill.systems.routing import Router
    from burdockmill.world import World

HEALTH_INTERVAL_MS = 1_000.0
HEALTH_JITTER_MS = 200.0
OWN_CHECK_MS = 500.0
OWN_CHECK = ""


class HoldingsSystem(System):
    """Poll owned upstreams and spread what they show of themselves."""

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
        self._owned_at = (-1, -1)

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Take in what upstreams showed and poll what is due."""
        actions: list[Action] = []
        for event in world.take_events(self.name):
            actions.extend(self._take(world, event, now_ms))
        due = world.due(self.name)
        for upstream in due.take(now_ms):
            if upstream == OWN_CHECK:
                due.schedule(OWN_CHECK, now_ms + OWN_CHECK_MS)
            elif upstream in self._owned:
                actions.extend(self._poll(world, upstream, now_ms))
        self._follow_owned(world, now_ms)
        return actions

    def _take(self, world: World, event: Event, now_ms: float) -> list[Action]:
        if isinstance(event, RulesAccepted | HostListRead | HostStarted):
            world.due(self.name).schedule(OWN_CHECK, now_ms + OWN_CHECK_MS)
            return []
        if isinstance(event, HealthRead) and event.snapshots is None:
            return self._unreachable(world, event.upstream)
        if isinstance(event, HealthRead | UpstreamAnswered | UpstreamRefused):
            return self._observed(world, event, now_ms)
        return []

    def _follow_owned(self, world: World, now_ms: float) -> None:
        if world.rules is None:
            return
        at = (world.members_version, world.fleet.upstreams_version)
        if at == self._owned_at:
            return
        self._owned_at = at
        named = world.fleet.upstreams_by_domain.get(world.domain, ())
        owned = {
            upstream
            for upstream in named
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

    def _observed(
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
        replaced = row.incarnation != "" and incarnation != row.incarnation
        learned = row._replace(
            snapshots=tuple(event.snapshots or ()),
            drained=event.draining or (row.drained and not replaced),
            incarnation=incarnation,
            reachable=True,
        )
        if learned == row:
            return []
        if holdings_update(learned) == holdings_update(row):
            write_upstream(world, learned, now_ms)
            return []
        learned = learned._replace(version=row.version + 1)
        write_upstream(world, learned, now_ms)
        disseminate(world, News(holdings=(holdings_update(learned),)))
        choice = f"{learned.upstream} holds {list(learned.snapshots)}"
        state = "leaving" if learned.drained else "serving"
        return [LogDecision("holdings", "", choice, state)]

    def _unreachable(self, world: World, upstream: UpstreamId) -> list[Action]:
        row = world.upstream_by_id.get(upstream)
        if row is None or not row.reachable:
            return []
        world.upstream_by_id[upstream] = row._replace(reachable=False)
        world.holdings_version += 1
        return [LogDecision("holdings", "", f"{upstream} lost", "no health answer")]
