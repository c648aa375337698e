"""Tell operators and peers what a host did and sees."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockmill.explanation import explain_here, join
from burdockmill.fleet_status import fleet_status
from burdockmill.host_status import (
    HostStatus,
    owned_count,
    seen_count,
    worst_upstreams_of,
)
from burdockmill.member_status import members_of
from burdockmill.metrics import (
    ATTEMPTS_OWNED,
    CONNECTIONS_OPEN,
    MEMBERS,
    READY,
    REFUSED_REVISION,
    REQUESTS_OPEN,
    REVISION,
    RULES_AGE,
)

if TYPE_CHECKING:
    from burdockmill.explanation import Explanation
    from burdockmill.metrics import Metrics
    from burdockmill.names import RequestId
    from burdockmill.node import Node

MILLISECONDS_PER_SECOND = 1_000


class HostReports:
    """Tell operators and peers what a host did and sees."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def explain(self, request_id: RequestId) -> Explanation:
        """Return the decisions this host still remembers of a request."""
        decisions = self._node.decisions.of_request(request_id)
        now_ms = self._node.clock.now_ms()
        return explain_here(self._node.settings.host, request_id, decisions, now_ms)

    async def explain_all(self, request_id: RequestId) -> Explanation:
        """Return the decisions of this host and of the owners it used."""
        member_by_host = self._node.engine.world.member_by_host
        owners = sorted(
            self._node.decisions.owners_of(request_id) & member_by_host.keys()
        )
        here = self.explain(request_id)
        there = await asyncio.gather(
            *(
                self._node.peers.explain(member_by_host[owner].peer_address, request_id)
                for owner in owners
            )
        )
        pairs = zip(owners, there, strict=True)
        silent = [owner for owner, one in pairs if one is None]
        return join(request_id, [here, *(one for one in there if one)], silent)

    def status(self) -> HostStatus:
        """Return the status of this host and what it sees of the fleet."""
        world = self._node.engine.world
        fleet = fleet_status(world, self._node.clock.now_ms())
        return HostStatus(
            host=self._node.settings.host,
            domain=self._node.settings.domain,
            region=self._node.settings.region,
            state=self._state(fleet.revision),
            revision=fleet.revision,
            rules_age_ms=round(fleet.in_force_for_ms, 1),
            refused_revision=fleet.refused_revision,
            refused_problems=list(fleet.refused_problems),
            requests_open=len(self._node.waiters),
            attempts_owned=self._node.engine.open_work(),
            upstreams_owned=owned_count(world),
            upstreams_seen=seen_count(world),
            members=members_of(world),
            leaving_upstreams=list(fleet.leaving_upstreams),
            worst_upstreams=worst_upstreams_of(world),
        )

    def metrics_text(self, accept: tuple[str, ...]) -> tuple[bytes, str]:
        """Return the metrics as they stand and their content type."""
        node = self._node
        metrics = node.metrics
        metrics.set_events("node", node.counts)
        metrics.set_events("core", node.engine.world.counter_by_name)
        metrics.set_events("upstreams", node.upstreams.counts)
        metrics.set_events("peers", node.peers.counts)
        metrics.set_events("platform", node.platform.counts)
        metrics.set_events("decisions", node.decisions.counts)
        metrics.set_level(READY, node.ready)
        metrics.set_level(REQUESTS_OPEN, len(node.waiters))
        metrics.set_level(ATTEMPTS_OWNED, node.engine.open_work())
        for surface, listener in node.listener_by_surface.items():
            opened = listener.connections_open
            metrics.set_level(CONNECTIONS_OPEN, opened, surface=surface)
        self._set_fleet_levels(metrics)
        return metrics.text(accept)

    def _set_fleet_levels(self, metrics: Metrics) -> None:
        fleet = fleet_status(self._node.engine.world, self._node.clock.now_ms())
        age_seconds = fleet.in_force_for_ms / MILLISECONDS_PER_SECOND
        metrics.set_level(REVISION, fleet.revision)
        metrics.set_level(RULES_AGE, age_seconds)
        metrics.set_level(REFUSED_REVISION, fleet.refused_revision)
        for state in ("alive", "suspect", "leaving", "dead"):
            count = sum(getattr(domain, state) for domain in fleet.domains)
            metrics.set_level(MEMBERS, count, state=state)

    def _state(self, revision: int) -> str:
        if self._node.stopping:
            return "stopping"
        return "ready" if revision else "not_ready"
