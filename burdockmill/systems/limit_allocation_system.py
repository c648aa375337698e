"""Grant tokens to hosts for the upstreams whose limits this host allocates.

One live host, chosen by rendezvous hashing, allocates the limit of an upstream, so that
the sum over hosts keeps it whatever each of them knows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.messages.actions import LogDecision, SendToPeer
from burdockmill.messages.events import PeerReceived
from burdockmill.messages.limits import (
    HEARSAY_AGE_MS,
    LimitReport,
    TokenGrant,
    TokenRequest,
)
from burdockmill.policies.held_host_count import HeldHostCount
from burdockmill.policies.token_allocation import TAKEOVER_MS, TokenBucket
from burdockmill.systems._reachable_hosts import ReachableHosts
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.messages.actions import Action
    from burdockmill.names import HostId
    from burdockmill.systems._limit_allocator import LimitAllocator
    from burdockmill.tables.upstream_limits import LimitRow
    from burdockmill.world import World

LIMIT = "limit"
# A host that asked one that does not allocate the limit asks again after this time.
REDIRECTED_WAIT_MS = 250.0


class LimitAllocationSystem(System):
    """Grant tokens at the rate of each limit that this host allocates."""

    name = "limit_allocation"
    handles = (TokenRequest,)

    def __init__(self, allocator: LimitAllocator) -> None:
        self._allocator = allocator
        self._bucket_by_incarnation: dict[Incarnation, TokenBucket] = {}
        self._hosts = HeldHostCount()
        self._reachable = ReachableHosts()

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Reply to each request for tokens."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            match event:
                case PeerReceived(message=TokenRequest() as request):
                    self._grant(world, event.sender, request, now_ms, actions)
        return actions

    def _grant(
        self,
        world: World,
        host: HostId,
        request: TokenRequest,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        incarnation = Incarnation(request.upstream, request.started_ms)
        limits = world.limits
        if request.report.age_ms < HEARSAY_AGE_MS:
            limits.merge(incarnation, request.domain, request.report, now_ms)
        row = limits.row(incarnation)
        granted = 0
        if row is None or row.is_hearsay:
            # No host that asked has heard of the limit itself: it may have ended.
            report = LimitReport(None, HEARSAY_AGE_MS / 2)
        else:
            report = row.report(now_ms)
        # A host that takes an upstream for cold longer than this one is to wait, too.
        wait_ms = REDIRECTED_WAIT_MS
        if row is not None and (report.limit_per_s is not None or row.is_cold):
            granted, wait_ms = self._issue(
                world, incarnation, row, request.wanted, now_ms, actions
            )
        grant = TokenGrant(*incarnation, granted, wait_ms, request.asked_ms, report)
        actions.append(SendToPeer(host, grant))

    def _issue(
        self,
        world: World,
        incarnation: Incarnation,
        row: LimitRow,
        wanted: int,
        now_ms: float,
        actions: list[Action],
    ) -> tuple[int, float]:
        """Return how many tokens are granted, and when more are expected."""
        limits = world.limits
        if self._allocator.host_of(world, incarnation, row) != world.host:
            self._bucket_by_incarnation.pop(incarnation, None)
            limits.counts["requests_to_another_host"] += 1
            return 0, REDIRECTED_WAIT_MS
        bucket = self._bucket_by_incarnation.get(incarnation)
        if bucket is None:
            bucket = self._start(world, incarnation, row, now_ms, actions)
        # In a partition, each part allocates the share of the hosts that it has.
        reachable = self._reachable.count(world, now_ms)
        self._hosts.update(max(reachable, world.live_host_count()), now_ms)
        limit_per_s = row.rate_per_s * reachable / self._hosts.greatest
        granted = bucket.grant(wanted, limit_per_s, now_ms)
        limits.counts["tokens_granted"] += granted
        limits.counts["tokens_refused"] += wanted - granted
        return granted, bucket.wait_ms(wanted - granted, limit_per_s, now_ms)

    def _start(
        self,
        world: World,
        incarnation: Incarnation,
        row: LimitRow,
        now_ms: float,
        actions: list[Action],
    ) -> TokenBucket:
        self._discard_ended(world)
        is_takeover = now_ms - _changed_ms(world) < TAKEOVER_MS
        bucket = TokenBucket(now_ms, is_takeover)
        self._bucket_by_incarnation[incarnation] = bucket
        inputs = {"limit_per_s": row.rate_per_s, "hosts": world.live_host_count()}
        choice = f"allocates the limit of {incarnation.upstream}"
        reason = "first live host in rank"
        if is_takeover:
            reason += ", members changed lately"
        actions.append(LogDecision(LIMIT, "", choice, reason, inputs=inputs))
        return bucket

    def _discard_ended(self, world: World) -> None:
        for incarnation in list(self._bucket_by_incarnation):
            row = world.limits.row(incarnation)
            if row is None or not row.is_limited:
                del self._bucket_by_incarnation[incarnation]


def _changed_ms(world: World) -> float:
    """Return when this host started or last saw a member change."""
    started_ms = world.started_ms or 0.0
    changed_ms = max(world.fleet.changed_ms_by_domain.values(), default=0.0)
    return max(started_ms, changed_ms)
