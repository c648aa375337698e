"""Describe a host and the upstreams as it sees them."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, TypedDict

from burdockmill.member_status import MemberStatus
from burdockmill.systems.routing import Router

if TYPE_CHECKING:
    from burdockmill.tables.rows import UpstreamRow
    from burdockmill.world import World

WORST_UPSTREAMS = 10


class UpstreamStatus(TypedDict):
    """Describe an upstream as a host sees it; `took_ms` is its latency estimate."""

    upstream: str
    owner: str
    state: str
    took_ms: float


class HostStatus(TypedDict):
    """Describe a host; `rules_age_ms` is the time since the rules changed here."""

    host: str
    domain: str
    region: str
    state: str
    revision: int
    rules_age_ms: float
    refused_revision: int
    refused_problems: list[str]
    requests_open: int
    attempts_owned: int
    upstreams_owned: int
    upstreams_seen: int
    members: list[MemberStatus]
    leaving_upstreams: list[str]
    worst_upstreams: list[UpstreamStatus]


def count_owned_upstreams(world: World) -> int:
    """Return the number of upstreams that this host owns."""
    router = Router()
    return sum(
        router.owner_of(world, name) == world.host
        for name in _same_domain_upstreams(world)
    )


def count_known_upstreams(world: World) -> int:
    """Return the number of upstreams whose snapshots this host has recorded."""
    return sum(bool(row.snapshots) for row in world.upstream_by_id.values())


def worst_upstreams_of(world: World) -> list[UpstreamStatus]:
    """Return the worst upstreams: unreachable first, then draining, then slow."""
    router = Router()
    rule_by_id = world.rules.upstream_by_id if world.rules else {}
    rows = [row for row in world.upstream_by_id.values() if row.upstream in rule_by_id]
    worst = heapq.nlargest(WORST_UPSTREAMS, rows, lambda row: _severity(world, row))
    return [
        UpstreamStatus(
            upstream=row.upstream,
            owner=router.owner_of(world, row.upstream),
            state=_state_of(row),
            took_ms=round(_latency_ms(world, row), 1),
        )
        for row in worst
    ]


def _same_domain_upstreams(world: World) -> list[str]:
    if world.rules is None:
        return []
    rules = world.rules.upstream_by_id.values()
    return [rule.name for rule in rules if rule.domain == world.domain]


def _severity(world: World, row: UpstreamRow) -> tuple[bool, bool, float]:
    return (not row.reachable, row.draining, _latency_ms(world, row))


def _latency_ms(world: World, row: UpstreamRow) -> float:
    view = world.upstream_views.view_by_upstream.get(row.upstream)
    return 0.0 if view is None else view.latency_ms


def _state_of(row: UpstreamRow) -> str:
    if not row.reachable:
        return "unreachable"
    if row.draining:
        return "draining"
    return "serving" if row.snapshots else "unknown"
