"""Track the admission control of each upstream that this host sends attempts to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import Action, ClosePool, LogDecision
from burdockmill.messages.peer import Reason
from burdockmill.systems._upstream_admission import UpstreamAdmission
from burdockmill.tables.owner_due import PoolDue

if TYPE_CHECKING:
    from burdockmill.messages.events import HealthRead
    from burdockmill.names import UpstreamId
    from burdockmill.rules.model import UpstreamRule
    from burdockmill.systems.routing import Router
    from burdockmill.world import World

POOL_CHECK_INTERVAL_MS = 1_000.0
OWNER_SYSTEM = "owner"


class AdmissionTable:
    """Keep an upstream's admission control from first use until its pool is closed."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._admission_by_upstream: dict[UpstreamId, UpstreamAdmission] = {}

    def get(self, upstream: UpstreamId) -> UpstreamAdmission | None:
        """Return the admission control of an upstream, or None if it is not in use."""
        return self._admission_by_upstream.get(upstream)

    def upstreams(self) -> list[UpstreamId]:
        """Return the upstreams in use."""
        return list(self._admission_by_upstream)

    def open(
        self, world: World, upstream: UpstreamId, now_ms: float
    ) -> UpstreamAdmission:
        """Return the admission control of an upstream, creating it on first use."""
        admission = self._admission_by_upstream.get(upstream)
        if admission is None:
            admission = self._admission_by_upstream[upstream] = UpstreamAdmission()
            world.due(OWNER_SYSTEM).schedule(
                PoolDue(upstream), now_ms + POOL_CHECK_INTERVAL_MS
            )
        return admission

    def observe_health(
        self, world: World, event: HealthRead, now_ms: float
    ) -> list[Action]:
        """Reset the concurrency limit to 1 if an upstream reports a new incarnation."""
        admission = self.open(world, event.upstream, now_ms)
        if event.snapshots is None or not admission.observe_incarnation(
            event.incarnation
        ):
            return []
        world.counter_by_name["ramp_ups"] += 1
        choice = f"{event.upstream} from one slot"
        return [LogDecision("ramp", "", choice, "new incarnation")]

    def close_idle_pool(
        self, world: World, upstream: UpstreamId, now_ms: float
    ) -> list[Action]:
        """Close the connection pool of an upstream that this host no longer needs.

        It is idle, and accepts no new work or is owned elsewhere; else it is checked
        again after POOL_CHECK_INTERVAL_MS.
        """
        admission = self._admission_by_upstream[upstream]
        owner = self._router.owner_of(world, upstream)
        is_available = unavailable_reason(world, upstream) == Reason.NONE
        is_busy = bool(admission.queue or admission.running)
        if is_busy or (is_available and owner == world.host):
            world.due(OWNER_SYSTEM).schedule(
                PoolDue(upstream), now_ms + POOL_CHECK_INTERVAL_MS
            )
            return []
        del self._admission_by_upstream[upstream]
        world.counter_by_name["pools_closed"] += 1
        reason = f"owned by {owner}" if is_available else "takes no new work"
        return [ClosePool(upstream), LogDecision("pool", "", upstream, reason)]


def rule_of(world: World, upstream: UpstreamId) -> UpstreamRule | None:
    """Return the rule of an upstream in the active revision, or None."""
    return world.rules.upstream_by_id.get(upstream) if world.rules else None


def unavailable_reason(world: World, upstream: UpstreamId) -> Reason:
    """Return why an upstream accepts no new work; NONE when it does."""
    row = world.upstream_by_id.get(upstream)
    if row is None or rule_of(world, upstream) is None:
        return Reason.UNKNOWN_UPSTREAM
    assert world.rules is not None
    if row.draining or upstream in world.rules.leaving_by_upstream:
        return Reason.DRAINING
    return Reason.NONE
