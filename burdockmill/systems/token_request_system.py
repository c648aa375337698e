"""Request tokens for this host's attempts to limited upstreams.

A grant expires within a second of its request, so that tokens of a host that froze, and
those granted by a host that no longer allocates, do not add up with newer ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.messages.actions import LogDecision, SendToPeer
from burdockmill.messages.events import (
    PeerReceived,
    PeerUnreachable,
)
from burdockmill.messages.fleet import GossipUpdates, LimitHint
from burdockmill.messages.limits import (
    LimitNamed,
    TokenGrant,
    TokenRequest,
    TokensChanged,
    TokensWanted,
)
from burdockmill.policies.token_allocation import MIN_RATE_PER_S
from burdockmill.systems._apply_updates import disseminate
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.messages.actions import Action
    from burdockmill.messages.events import Event
    from burdockmill.systems._limit_allocator import LimitAllocator
    from burdockmill.tables.upstream_limits import LimitRow
    from burdockmill.world import World

LIMIT = "limit"
REFRESH, TIMEOUT = "refresh", "timeout"
# Hosts with demand request tokens at random intervals of this mean, so that none is
# always first when tokens are scarce.
REFRESH_MS = 250.0
REFRESH_SPREAD_MS = 100.0
REQUEST_TIMEOUT_MS = 250.0
TOKEN_LIFETIME_MS = 1_000.0
# A host stops requesting tokens below this demand.
MIN_DEMAND_PER_S = 0.2
# Hosts that get no reply share this fraction of the limit equally.
UNANSWERED_FRACTION = 0.1
# Bounds the gossip about an upstream that names a limit in some answers only.
PUBLISH_INTERVAL_MS = 10_000.0
MILLISECONDS_PER_SECOND = 1_000.0


class TokenRequestSystem(System):
    """Request tokens ahead of the demand, and for attempts that wait."""

    name = "token_request"
    handles = (LimitNamed, TokensWanted, TokenGrant, PeerUnreachable)

    def __init__(self, allocator: LimitAllocator) -> None:
        self._allocator = allocator

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Handle grants, and send the requests that are due."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            self._handle(world, event, now_ms, actions)
        for kind, incarnation in world.due(self.name).pop_due(now_ms):
            row = world.limits.row(incarnation)
            if row is None:
                continue
            if kind == REFRESH:
                self._refresh(world, incarnation, row, now_ms, actions)
            else:
                self._on_unanswered(world, incarnation, row, now_ms, actions)
        return actions

    def _handle(
        self, world: World, event: Event, now_ms: float, actions: list[Action]
    ) -> None:
        match event:
            case LimitNamed():
                self._publish(world, event, now_ms)
            case TokensWanted():
                incarnation = Incarnation(event.upstream, event.started_ms)
                row = world.limits.row(incarnation)
                if row is not None:
                    self._refresh(world, incarnation, row, now_ms, actions)
            case PeerReceived(message=TokenGrant() as grant):
                self._receive(world, grant, now_ms, actions)
            case PeerUnreachable(message=TokenRequest() as request):
                incarnation = Incarnation(request.upstream, request.started_ms)
                row = world.limits.row(incarnation)
                if row is not None and row.stock.requested_ms == request.asked_ms:
                    self._on_unanswered(world, incarnation, row, now_ms, actions)

    def _publish(self, world: World, event: LimitNamed, now_ms: float) -> None:
        """Let other hosts know of a limit before they hear of it themselves."""
        row = world.limits.row(Incarnation(event.upstream, event.started_ms))
        if row is None or now_ms - row.published_ms < PUBLISH_INTERVAL_MS:
            return
        row.published_ms = now_ms
        hint = LimitHint(event.upstream, event.started_ms, row.domain)
        disseminate(world, GossipUpdates(limits=(hint,)))

    def _refresh(
        self,
        world: World,
        incarnation: Incarnation,
        row: LimitRow,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        """Request what is wanted, and again soon while there is demand."""
        stock = row.stock
        has_demand = stock.demand_per_s(now_ms) >= MIN_DEMAND_PER_S
        if not row.is_limited or (stock.waiting == 0 and not has_demand):
            stock.is_active = False
            world.due(self.name).cancel((REFRESH, incarnation))
            self._announce(world, incarnation)
            return
        stock.is_active = True
        if stock.requested_ms is None:
            self._request(world, incarnation, row, now_ms, actions)
        wait_ms = REFRESH_MS + world.rng.uniform(-REFRESH_SPREAD_MS, REFRESH_SPREAD_MS)
        world.due(self.name).schedule((REFRESH, incarnation), now_ms + wait_ms)

    def _request(
        self,
        world: World,
        incarnation: Incarnation,
        row: LimitRow,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        stock = row.stock
        wanted = stock.wanted(now_ms)
        host = self._allocator.host_of(world, incarnation, row)
        if not row.is_limited or wanted == 0 or host is None:
            # Attempts that wait may be sent without a limit, or with tokens in stock.
            self._announce(world, incarnation)
            return
        stock.requested_ms = now_ms
        world.limits.counts["tokens_requested"] += wanted
        request = TokenRequest(
            *incarnation, row.domain, wanted, now_ms, row.report(now_ms)
        )
        actions.append(SendToPeer(host, request))
        world.due(self.name).schedule(
            (TIMEOUT, incarnation), now_ms + REQUEST_TIMEOUT_MS
        )

    def _receive(
        self, world: World, grant: TokenGrant, now_ms: float, actions: list[Action]
    ) -> None:
        incarnation = Incarnation(grant.upstream, grant.started_ms)
        row = world.limits.row(incarnation)
        if row is None or row.stock.requested_ms != grant.asked_ms:
            world.limits.counts["late_grants_dropped"] += 1
            return
        stock = row.stock
        stock.requested_ms = None
        stock.unanswered_ms = None
        world.due(self.name).cancel((TIMEOUT, incarnation))
        was_limited = row.is_limited
        world.limits.merge(incarnation, row.domain, grant.report, now_ms)
        if was_limited and not row.is_limited:
            choice = f"no limit of {incarnation.upstream}"
            reason = "the host that allocated it heard that it has ended"
            actions.append(LogDecision(LIMIT, "", choice, reason))
        stock.add(grant.granted, grant.asked_ms + TOKEN_LIFETIME_MS)
        stock.dry_until_ms = now_ms + grant.wait_ms
        if stock.waiting > grant.granted and grant.wait_ms == 0.0:
            self._request(world, incarnation, row, now_ms, actions)
        self._announce(world, incarnation)

    def _on_unanswered(
        self,
        world: World,
        incarnation: Incarnation,
        row: LimitRow,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        """Let waiting attempts go elsewhere; use a small share without any grant."""
        stock = row.stock
        if stock.requested_ms is None:
            return
        asked_ms, stock.requested_ms = stock.requested_ms, None
        world.due(self.name).cancel((TIMEOUT, incarnation))
        world.limits.counts["requests_unanswered"] += 1
        if stock.unanswered_ms is None:
            stock.unanswered_ms = asked_ms
            choice = f"sends few attempts to {incarnation.upstream}"
            reason = "the host that allocates its limit does not respond"
            actions.append(LogDecision(LIMIT, "", choice, reason))
        share_per_s = UNANSWERED_FRACTION * max(MIN_RATE_PER_S, row.rate_per_s)
        share_per_s /= max(1, world.live_host_count())
        interval_ms = MILLISECONDS_PER_SECOND / share_per_s
        if now_ms - stock.unanswered_ms >= interval_ms:
            stock.unanswered_ms = now_ms
            stock.add(1, now_ms + TOKEN_LIFETIME_MS)
        stock.dry_until_ms = now_ms + REFRESH_MS
        self._announce(world, incarnation)

    def _announce(self, world: World, incarnation: Incarnation) -> None:
        world.announce(TokensChanged(*incarnation))
