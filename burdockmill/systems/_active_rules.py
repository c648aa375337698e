"""Activate rules, and update the rows of upstreams to match them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import LogDecision
from burdockmill.systems._fleet_rows import (
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

# A starting host waits for its peers before it activates a revision that it read from
# the platform; it waits longer when a peer has reported a newer one.
START_WAIT_MS = 1_000.0
START_WAIT_LIMIT_MS = 6_000.0


def active_revision(world: World) -> Revision:
    """Return the active revision; 0 before the first."""
    return world.rules.revision if world.rules else 0


def must_wait_at_start(world: World, revision: Revision, now_ms: float) -> bool:
    """Return whether a starting host may still receive a newer revision from peers."""
    fleet = world.fleet
    if world.rules is not None or not fleet.started:
        return False
    if len(world.member_by_host) == 1:
        return False
    wait_ms = START_WAIT_MS if revision >= fleet.newest_seen else START_WAIT_LIMIT_MS
    return now_ms - fleet.started_ms < wait_ms


def activate_rules(world: World, rules: RuleSet, now_ms: float) -> None:
    """Activate a whole set of rules, and add and remove rows of upstreams to match."""
    previous_by_id = world.rules.upstream_by_id if world.rules else {}
    world.rules = rules
    for removed in previous_by_id.keys() - rules.upstream_by_id.keys():
        remove_upstream(world, removed)
    for rule in rules.upstream_by_id.values():
        add_upstream(world, rule.name, rule.domain, now_ms)
    world.fleet.upstreams_version += 1


def activate_changes(world: World, changes: RuleChanges, now_ms: float) -> None:
    """Activate changed rules; touch only the rows of upstreams that changed.

    The drain of an upstream that the rules no longer name as leaving ends too.
    """
    rules = changes.rules
    previous_leaving = world.rules.leaving_by_upstream if world.rules else {}
    previous_by_id = world.rules.upstream_by_id if world.rules else {}
    world.rules = rules
    moved = False
    for upstream in changes.upstreams:
        rule = rules.upstream_by_id.get(upstream)
        previous = previous_by_id.get(upstream)
        if rule is None:
            remove_upstream(world, upstream, previous.domain if previous else "")
        elif previous is None or previous.domain != rule.domain:
            add_upstream(world, upstream, rule.domain, now_ms)
        elif previous.address != rule.address:
            reset_upstream(world, upstream, now_ms)
        moved = (
            moved or rule is None or previous is None or previous.domain != rule.domain
        )
    no_longer_leaving = previous_leaving.keys() - rules.leaving_by_upstream.keys()
    for upstream in sorted(no_longer_leaving):
        clear_drained(world, upstream, now_ms)
    if moved:
        world.fleet.upstreams_version += 1


def record_activation(
    world: World, rules: RuleSet, source: str, now_ms: float
) -> LogDecision:
    """Record when, and from which source, rules became active; return the decision."""
    fleet = world.fleet
    world.holdings_version += 1
    world.rate_limiter.keep(rules.allow_by_caller_service)
    fleet.active_since_ms = now_ms
    fleet.active_source = source
    fleet.newest_seen = max(fleet.newest_seen, rules.revision)
    choice = f"revision {rules.revision} active"
    return LogDecision("config", "", choice, f"from {source}")
