"""Report a forwarding host's decisions, status and metrics to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.clients._store_health import StoreState
from burdockmill.explanation import explain_local
from burdockmill.member_status import members_of
from burdockmill.metrics import (
    CATALOG_BEHIND,
    CONNECTIONS_OPEN,
    ISOLATED,
    MEMBERS,
    READY,
    REQUESTS_OPEN,
    REVISION,
    RULES_AGE,
    SETTINGS_REPLACED,
    STORE_ANSWER_AGE,
    STORE_ERA,
    STORE_ITEMS_SET_ASIDE,
    STORE_STATE,
    TASK_RUNNING,
    TASK_SINCE,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockmill.explanation import Explanation
    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding_node import ForwardingNode
    from burdockmill.names import RequestId

MILLISECONDS_PER_SECOND = 1_000


class ForwardingReports:
    """Build the explanations, status and metrics of one forwarding host."""

    def __init__(self, node: ForwardingNode) -> None:
        self._node = node

    def explain(self, request_id: RequestId) -> Explanation:
        """Return the decisions on a request that this host still stores."""
        decisions = self._node.decisions.decisions_of(request_id)
        now_ms = self._node.clock.now_ms()
        return explain_local(self._node.settings.host, request_id, decisions, now_ms)

    def status(self) -> Mapping[str, object]:
        """Return the status of this host and of the fleet as this host sees it."""
        node = self._node
        world = node.engine.world
        catalog = world.catalog
        now_ms = node.clock.now_ms()
        explain = node.data_path.guard.explain
        return {
            "host": node.settings.host,
            "domain": node.settings.domain,
            "code": node.code,
            "state": _state(node),
            "configuration": catalog.version,
            "store_era": catalog.era,
            "catalog_revision": catalog.revision,
            "catalog_age_ms": round(now_ms - world.fleet.confirmed_ms),
            "catalog_behind_ms": round(_behind_ms(node, now_ms)),
            "store_answer_age_ms": _store_answer_age_ms(node, now_ms),
            "tasks": [
                {
                    "task": task.name,
                    "is_running": task.is_running,
                    "since_ms": round(now_ms - task.since_ms),
                    "last_error": task.last_error,
                    "ends": task.ends,
                }
                for task in node.supervisor.statuses()
            ],
            "store_state": node.reader.health.state,
            "store_items_set_aside": node.source.set_aside(),
            "requests_open": len(node.data_path.forwarder.open_runs),
            "members": members_of(world),
            "isolated": world.reach.is_isolated,
            "services_not_reached": sorted(
                world.reach.failing_services(catalog.registration_by_upstream.values())
            ),
            "evacuated_domains": sorted(catalog.evacuations.domains),
            "requests_held_back": [
                {"digest": row.key, **(explain(row.key, now_ms) or {})}
                for row in world.suspects
                if row.is_held
            ],
            "upstreams": [
                {
                    "upstream": registration.upstream,
                    "service": registration.service,
                    "domain": registration.domain,
                    "draining": registration.draining,
                    "departing": registration.upstream
                    in catalog.removal_ms_by_upstream,
                    "leaving": node.data_path.notices.is_leaving(registration),
                    "limit_per_s": _limit_of(node, registration),
                    "pause_ms": round(
                        node.data_path.notices.pause_ms(registration, now_ms)
                    ),
                    "slowness": _slowness_of(node, registration),
                    **node.data_path.observations.of(registration.upstream).status(
                        now_ms
                    ),
                }
                for registration in catalog.registration_by_upstream.values()
            ],
        }

    def metrics_text(self, accept: tuple[str, ...]) -> tuple[bytes, str]:
        """Update the metrics; return their text and its content type."""
        node = self._node
        metrics = node.metrics
        world = node.engine.world
        metrics.set_event_counts("node", node.counts)
        metrics.set_event_counts("tasks", node.supervisor.counts)
        metrics.set_event_counts("core", world.counter_by_name)
        metrics.set_event_counts("upstreams", node.data_path.client.counts)
        metrics.set_event_counts("receiving", node.data_path.received.counts)
        metrics.set_event_counts("peers", node.peers.counts)
        metrics.set_event_counts("store", node.source.counts)
        metrics.set_event_counts("decisions", node.decisions.counts)
        metrics.set_event_counts("forwarding", node.data_path.forwarder.counts)
        metrics.set_event_counts("repeats", node.data_path.budget.counts)
        metrics.set_event_counts("limits", world.limits.counts)
        metrics.set_event_counts("tokens", node.data_path.gate.counts)
        metrics.set_event_counts("reach", world.reach.counts)
        metrics.set_event_counts("relays", node.data_path.relay_client.counts)
        handover_counts = node.data_path.forwarder.relay_planner.counts
        metrics.set_event_counts("handovers", handover_counts)
        cost_counts = node.data_path.observations.costs.estimates.counts
        metrics.set_event_counts("costs", cost_counts)
        metrics.set_event_counts("gather", node.data_path.gather.counts)
        metrics.set_event_counts("relayed", node.relay_server.counts)
        metrics.set_event_counts("suspects", world.suspects.counts)
        metrics.set_event_counts("crash_guard", node.data_path.guard.counts)
        metrics.set_event_counts("notices", node.data_path.notices.counts)
        metrics.set_event_counts("urgency", node.data_path.room.counts)
        metrics.set_event_counts("clients", node.client_guard.counts)
        if node.log_writer is not None:
            left_out_counts = {"lines_left_out_by_reader": node.log_writer.left_out}
            metrics.set_event_counts("log", left_out_counts)
        metrics.set_gauge(READY, node.ready)
        metrics.set_gauge(REQUESTS_OPEN, len(node.data_path.forwarder.open_runs))
        for surface, listener in node.listener_by_surface.items():
            opened = listener.connections_open
            metrics.set_gauge(CONNECTIONS_OPEN, opened, surface=surface)
        age_ms = node.clock.now_ms() - world.fleet.confirmed_ms
        metrics.set_gauge(REVISION, world.revision)
        metrics.set_gauge(STORE_ERA, world.catalog.era)
        metrics.set_gauge(ISOLATED, world.reach.is_isolated)
        metrics.set_gauge(RULES_AGE, age_ms / MILLISECONDS_PER_SECOND)
        metrics.set_gauge(SETTINGS_REPLACED, node.settings_replaced)
        self._set_store_health()
        self._set_members()
        return metrics.render_text(accept)

    def _set_store_health(self) -> None:
        node = self._node
        now_ms = node.clock.now_ms()
        for task in node.supervisor.statuses():
            node.metrics.set_gauge(TASK_RUNNING, task.is_running, task=task.name)
            since_s = (now_ms - task.since_ms) / MILLISECONDS_PER_SECOND
            node.metrics.set_gauge(TASK_SINCE, since_s, task=task.name)
        for state in StoreState:
            is_current = state is node.reader.health.state
            node.metrics.set_gauge(STORE_STATE, is_current, state=state.value)
        set_aside = len(node.source.set_aside())
        node.metrics.set_gauge(STORE_ITEMS_SET_ASIDE, set_aside)
        behind_ms = _behind_ms(node, now_ms)
        node.metrics.set_gauge(CATALOG_BEHIND, behind_ms / MILLISECONDS_PER_SECOND)
        answer_age_ms = _store_answer_age_ms(node, now_ms)
        answer_age_s = (
            -1.0 if answer_age_ms is None else answer_age_ms / MILLISECONDS_PER_SECOND
        )
        node.metrics.set_gauge(STORE_ANSWER_AGE, answer_age_s)

    def _set_members(self) -> None:
        rows = self._node.engine.world.member_by_host.values()
        count_by_state = {
            "alive": sum(row.alive and not row.leaving for row in rows),
            "leaving": sum(row.alive and row.leaving for row in rows),
            "dead": sum(not row.alive for row in rows),
        }
        for state, count in count_by_state.items():
            self._node.metrics.set_gauge(MEMBERS, count, state=state)


def _limit_of(node: ForwardingNode, registration: Registration) -> float | None:
    row = node.engine.world.limits.of(registration)
    return None if row is None else row.rate_per_s


def _slowness_of(node: ForwardingNode, registration: Registration) -> float | None:
    observations = node.data_path.observations
    observation = observations.of(registration.upstream)
    slowness = observations.costs.slowness(observation, registration)
    return None if slowness is None else round(slowness, 2)


def _behind_ms(node: ForwardingNode, now_ms: float) -> float:
    since_ms = node.engine.world.fleet.behind_since_ms
    return 0.0 if since_ms is None else now_ms - since_ms


def _store_answer_age_ms(node: ForwardingNode, now_ms: float) -> int | None:
    answered_ms = node.reader.health.answered_ms
    return None if answered_ms is None else round(now_ms - answered_ms)


def _state(node: ForwardingNode) -> str:
    if node.stopping:
        return "stopping"
    return "ready" if node.ready else "not_ready"
