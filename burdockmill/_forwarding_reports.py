"""Tell operators what a host that forwards requests did and sees."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.explanation import explain_here
from burdockmill.member_status import members_of
from burdockmill.metrics import (
    CONNECTIONS_OPEN,
    MEMBERS,
    READY,
    REQUESTS_OPEN,
    REVISION,
    RULES_AGE,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockmill.explanation import Explanation
    from burdockmill.forwarding_node import ForwardingNode
    from burdockmill.names import RequestId

MILLISECONDS_PER_SECOND = 1_000


class ForwardingReports:
    """Tell operators what a host that forwards requests did and sees."""

    def __init__(self, node: ForwardingNode) -> None:
        self._node = node

    def explain(self, request_id: RequestId) -> Explanation:
        """Return the decisions this host still remembers of a request."""
        decisions = self._node.decisions.of_request(request_id)
        now_ms = self._node.clock.now_ms()
        return explain_here(self._node.settings.host, request_id, decisions, now_ms)

    def status(self) -> Mapping[str, object]:
        """Return the status of this host and what it sees of the fleet."""
        node = self._node
        world = node.engine.world
        catalog = world.catalog
        now_ms = node.clock.now_ms()
        return {
            "host": node.settings.host,
            "domain": node.settings.domain,
            "state": _state(node),
            "configuration": catalog.tables.version if catalog.tables else 0,
            "catalog_revision": catalog.revision,
            "catalog_age_ms": round(now_ms - world.fleet.confirmed_ms),
            "requests_open": len(node.path.forwarder.open_runs),
            "members": members_of(world),
            "upstreams": [
                {
                    "upstream": one.upstream,
                    "service": one.service,
                    "domain": one.domain,
                    "draining": one.draining,
                    "departing": one.upstream in catalog.leaves_ms_by_upstream,
                    **node.path.observations.of(one.upstream).status(now_ms),
                }
                for one in catalog.registration_by_upstream.values()
            ],
        }

    def metrics_text(self, accept: tuple[str, ...]) -> tuple[bytes, str]:
        """Return the metrics as they stand and their content type."""
        node = self._node
        metrics = node.metrics
        world = node.engine.world
        metrics.set_events("node", node.counts)
        metrics.set_events("core", world.counter_by_name)
        metrics.set_events("upstreams", node.path.client.counts)
        metrics.set_events("peers", node.peers.counts)
        metrics.set_events("store", node.source.counts)
        metrics.set_events("decisions", node.decisions.counts)
        metrics.set_events("forwarding", node.path.forwarder.counts)
        metrics.set_events("repeats", node.path.budget.counts)
        if node.log_writer is not None:
            left_out = {"lines_left_out_by_reader": node.log_writer.left_out}
            metrics.set_events("log", left_out)
        metrics.set_level(READY, node.ready)
        metrics.set_level(REQUESTS_OPEN, len(node.path.forwarder.open_runs))
        for surface, listener in node.listener_by_surface.items():
            opened = listener.connections_open
            metrics.set_level(CONNECTIONS_OPEN, opened, surface=surface)
        age_ms = node.clock.now_ms() - world.fleet.confirmed_ms
        metrics.set_level(REVISION, world.revision)
        metrics.set_level(RULES_AGE, age_ms / MILLISECONDS_PER_SECOND)
        self._set_members()
        return metrics.text(accept)

    def _set_members(self) -> None:
        rows = self._node.engine.world.member_by_host.values()
        count_by_state = {
            "alive": sum(one.alive and not one.leaving for one in rows),
            "leaving": sum(one.alive and one.leaving for one in rows),
            "dead": sum(not one.alive for one in rows),
        }
        for state, count in count_by_state.items():
            self._node.metrics.set_level(MEMBERS, count, state=state)


def _state(node: ForwardingNode) -> str:
    if node.stopping:
        return "stopping"
    return "ready" if node.ready else "not_ready"
