"""Put rules in force, and keep the rows of upstreams in step with them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import LogDecision
from burdockmill.systems._news import (
    add_upstream,
    clear_drained,
    remove_upstream,
    reset_upstream,
)

if TYPE_CHECKING:
    from burdockmill.names import Revision
    from burdockmill.rules.index import RuleChanges
    from burdockmill.rules.model import RuleSet
    from burdockmill.world import World

START_ASK_MS = 1_000.0
START_LIMIT_MS = 6_000.0


def active_revision(world: World) -> Revision:
    """Return the revision in force; 0 before the first."""
    return world.rules.revision if world.rules else 0


def must_wait_at_start(world: World, revision: Revision, now_ms: float) -> bool:
    """Tell whether a starting host may yet learn of a newer revision."""
    fleet = world.fleet
    if world.rules is not None or not fleet.started:
        return False
    if len(world.member_by_host) == 1:
        return False
    wait_ms = START_ASK_MS if revision >= fleet.newest_seen else START_LIMIT_MS
    return now_ms - fleet.started_ms < wait_ms


def activate_rules(world: World, rules: RuleSet, now_ms: float) -> None:
    """Put whole rules in force; rows of upstreams follow."""
    before = world.rules.upstream_by_id if world.rules else {}
    world.rules = rules
    for gone in before.keys() - rules.upstream_by_id.keys():
        remove_upstream(world, gone)
    for rule in rules.upstream_by_id.values():
        add_upstream(world, rule.name, rule.domain, now_ms)
    world.fleet.upstreams_version += 1


def activate_changes(world: World, changes: RuleChanges, now_ms: float) -> None:
    """Put changed rules in force; only the rows that changed are touched."""
    rules = changes.rules
    leaving_before = world.rules.leaving_by_upstream if world.rules else {}
    before = world.rules.upstream_by_id if world.rules else {}
    world.rules = rules
    moved = False
    for upstream in changes.upstreams:
        rule = rules.upstream_by_id.get(upstream)
        old = before.get(upstream)
        if rule is None:
            remove_upstream(world, upstream, old.domain if old else "")
        elif old is None or old.domain != rule.domain:
            add_upstream(world, upstream, rule.domain, now_ms)
        elif old.address != rule.address:
            reset_upstream(world, upstream, now_ms)
        moved = moved or rule is None or old is None or old.domain != rule.domain
    gone = leaving_before.keys() - rules.leaving_by_upstream.keys()
    for upstream in sorted(gone):
        clear_drained(world, upstream, now_ms)
    if moved:
        world.fleet.upstreams_version += 1


def record_activation(
    world: World, rules: RuleSet, source: str, now_ms: float
) -> LogDecision:
    """Note since when, and from whom, rules are in force; return the decision."""
    fleet = world.fleet
    world.holdings_version += 1
    world.rates.keep(rules.allow_by_caller_service)
    fleet.in_force_since_ms = now_ms
    fleet.in_force_from = source
    fleet.newest_seen = max(fleet.newest_seen, rules.revision)
    choice = f"revision {rules.revision} in force"
    return LogDecision("config", "", choice, f"from {source}")
