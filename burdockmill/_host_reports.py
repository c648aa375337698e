"""Report a host's decisions, status and metrics to operators and peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockmill.explanation import explain_local, merge_explanations
from burdockmill.fleet_status import fleet_status
from burdockmill.host_status import (
    HostStatus,
    count_known_upstreams,
    count_owned_upstreams,
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
    """Build the explanations, status and metrics of one host."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def explain(self, request_id: RequestId) -> Explanation:
        """Return the decisions on a request that this host still stores."""
        decisions = self._node.decisions.decisions_of(request_id)
        now_ms = self._node.clock.now_ms()
        return explain_local(self._node.settings.host, request_id, decisions, now_ms)

    async def explain_with_owners(self, request_id: RequestId) -> Explanation:
        """Return the decisions of this host, and of owners it asked, on a request.

        Owners that do not answer are listed in `silent_hosts`.
        """
        member_by_host = self._node.engine.world.member_by_host
        owners = sorted(
            self._node.decisions.owners_of(request_id) & member_by_host.keys()
        )
        local = self.explain(request_id)
        remote = await asyncio.gather(
            *(
                self._node.peers.explain(member_by_host[owner].peer_address, request_id)
                for owner in owners
            )
        )
        pairs = zip(owners, remote, strict=True)
        unresponsive = [owner for owner, found in pairs if found is None]
        return merge_explanations(
            request_id, [local, *(found for found in remote if found)], unresponsive
        )

    def status(self) -> HostStatus:
        """Return the status of this host and of the fleet as this host sees it."""
        world = self._node.engine.world
        fleet = fleet_status(world, self._node.clock.now_ms())
        return HostStatus(
            host=self._node.settings.host,
            domain=self._node.settings.domain,
            region=self._node.settings.region,
            state=self._state(fleet.revision),
            revision=fleet.revision,
            rules_age_ms=round(fleet.active_for_ms, 1),
            refused_revision=fleet.refused_revision,
            refused_problems=list(fleet.refused_problems),
            requests_open=len(self._node.waiters),
            attempts_owned=self._node.engine.open_work(),
            upstreams_owned=count_owned_upstreams(world),
            upstreams_seen=count_known_upstreams(world),
            members=members_of(world),
            leaving_upstreams=list(fleet.leaving_upstreams),
            worst_upstreams=worst_upstreams_of(world),
        )

    def metrics_text(self, accept: tuple[str, ...]) -> tuple[bytes, str]:
        """Update the metrics; return their text and its content type."""
        node = self._node
        metrics = node.metrics
        metrics.set_event_counts("node", node.counts)
        metrics.set_event_counts("core", node.engine.world.counter_by_name)
        metrics.set_event_counts("upstreams", node.upstreams.counts)
        metrics.set_event_counts("peers", node.peers.counts)
        metrics.set_event_counts("platform", node.platform.counts)
        metrics.set_event_counts("decisions", node.decisions.counts)
        metrics.set_gauge(READY, node.ready)
        metrics.set_gauge(REQUESTS_OPEN, len(node.waiters))
        metrics.set_gauge(ATTEMPTS_OWNED, node.engine.open_work())
        for surface, listener in node.listener_by_surface.items():
            opened = listener.connections_open
            metrics.set_gauge(CONNECTIONS_OPEN, opened, surface=surface)
        self._set_fleet_gauges(metrics)
        return metrics.render_text(accept)

    def _set_fleet_gauges(self, metrics: Metrics) -> None:
        fleet = fleet_status(self._node.engine.world, self._node.clock.now_ms())
        age_seconds = fleet.active_for_ms / MILLISECONDS_PER_SECOND
        metrics.set_gauge(REVISION, fleet.revision)
        metrics.set_gauge(RULES_AGE, age_seconds)
        metrics.set_gauge(REFUSED_REVISION, fleet.refused_revision)
        for state in ("alive", "suspect", "leaving", "dead"):
            count = sum(getattr(domain, state) for domain in fleet.domains)
            metrics.set_gauge(MEMBERS, count, state=state)

    def _state(self, revision: int) -> str:
        if self._node.stopping:
            return "stopping"
        return "ready" if revision else "not_ready"
