"""Compare two rule sets, rule by rule."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.rules.render import render_rule

if TYPE_CHECKING:
    from burdockmill.rules._verbs import Rule
    from burdockmill.rules.model import RuleSet


class Change(StrEnum):
    """Enumerate the kinds of change to a rule."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Difference(NamedTuple):
    """Describe one changed rule as text, with the comment of its newest version.

    `before` is None for an added rule, `after` for a removed one.
    """

    change: Change
    verb: str
    name: str
    before: str | None
    after: str | None
    comment: str


class _RuleKey(NamedTuple):
    verb: str
    name: str


def differences(before: RuleSet, after: RuleSet) -> tuple[Difference, ...]:
    """List added, removed and changed rules, sorted by verb and name.

    An allow rule's name is CALLER/SERVICE.
    """
    before_by_key = _rule_by_key(before)
    after_by_key = _rule_by_key(after)
    found: list[Difference] = []
    for key in sorted(before_by_key.keys() | after_by_key.keys()):
        old = before_by_key.get(key)
        new = after_by_key.get(key)
        if old != new:
            found.append(_difference(key, old, new))
    return tuple(found)


def _difference(key: _RuleKey, old: Rule | None, new: Rule | None) -> Difference:
    before = None if old is None else render_rule(old)
    after = None if new is None else render_rule(new)
    newest = old if new is None else new
    comment = "" if newest is None else newest.comment
    if old is None:
        change = Change.ADDED
    elif new is None:
        change = Change.REMOVED
    else:
        change = Change.CHANGED
    return Difference(change, key.verb, key.name, before, after, comment)


def _rule_by_key(rules: RuleSet) -> dict[_RuleKey, Rule]:
    found: dict[_RuleKey, Rule] = {}
    for service in rules.service_by_name.values():
        found[_RuleKey("service", service.name)] = service
    for upstream in rules.upstream_by_id.values():
        found[_RuleKey("upstream", upstream.name)] = upstream
    for shards in rules.shards_by_service.values():
        found.update({_RuleKey("shard", shard.name): shard for shard in shards})
    for caller in rules.caller_by_digest.values():
        found[_RuleKey("caller", caller.name)] = caller
    for allow in rules.allow_by_caller_service.values():
        found[_RuleKey("allow", f"{allow.caller}/{allow.service}")] = allow
    for leaving in rules.leaving_by_upstream.values():
        found[_RuleKey("leaving", leaving.upstream)] = leaving
    return found
