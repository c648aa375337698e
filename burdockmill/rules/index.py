"""Apply changed rules to a rule set without checking the unchanged rules again."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from returns.result import Failure, Result, Success

from burdockmill.rules.model import (
    AllowRule,
    CallerRule,
    LeavingRule,
    RuleSet,
    ServiceRule,
    ShardRule,
    UpstreamRule,
)
from burdockmill.rules.problem import quoted

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from burdockmill.names import Revision, ServiceId, UpstreamId
    from burdockmill.rules._verbs import Rule


class RuleKey(NamedTuple):
    """Identify a name or key digest that at most one rule may declare."""

    kind: str
    name: str


class RuleChanges(NamedTuple):
    """Store an accepted rule set and the upstreams whose rules changed."""

    rules: RuleSet
    upstreams: tuple[UpstreamId, ...]


def declared_keys(rule: Rule) -> Iterator[RuleKey]:
    """Yield the keys that no other rule may declare."""
    match rule:
        case ServiceRule():
            yield RuleKey("service", rule.name)
        case UpstreamRule():
            yield RuleKey("upstream", rule.name)
        case ShardRule():
            yield RuleKey("shard", rule.name)
        case CallerRule():
            yield RuleKey("caller", rule.name)
            yield RuleKey("caller key", rule.key_digest)
        case AllowRule():
            yield RuleKey("allow", f"{rule.caller} service={rule.service}")
        case LeavingRule():
            yield RuleKey("leaving", rule.upstream)


def references(rule: Rule) -> Iterator[RuleKey]:
    """Yield the keys that other rules must declare."""
    match rule:
        case ShardRule():
            yield RuleKey("service", rule.service)
            for replica in rule.replicas:
                yield RuleKey("upstream", replica)
        case AllowRule():
            yield RuleKey("caller", rule.caller)
            yield RuleKey("service", rule.service)
        case LeavingRule():
            yield RuleKey("upstream", rule.upstream)


class RuleIndex:
    """Index the active rule set by the keys that its rules declare and refer to."""

    def __init__(self) -> None:
        self.rules = RuleSet(0, {}, {}, {}, {}, {}, {})
        self._names_by_kind: dict[str, set[str]] = {}
        self._uses_by_kind: dict[str, Counter[str]] = {}

    def apply(
        self, removed: Iterable[Rule], added: Iterable[Rule], revision: Revision
    ) -> Result[RuleChanges, tuple[str, ...]]:
        """Return the new rule set, or why it is refused; a refusal changes nothing."""
        net_removed, net_added = _net_changes(removed, added)
        problems = self._check(net_removed, net_added)
        if problems:
            return Failure(problems)
        self._update_counts(net_removed, -1)
        self._update_counts(net_added, 1)
        self.rules = _apply_changes(self.rules, net_removed, net_added, revision)
        upstreams = {
            rule.name
            for rule in (*net_removed, *net_added)
            if isinstance(rule, UpstreamRule)
        }
        return Success(RuleChanges(self.rules, tuple(sorted(upstreams))))

    def _check(self, net_removed: list[Rule], net_added: list[Rule]) -> tuple[str, ...]:
        undeclared = Counter(key for rule in net_removed for key in declared_keys(rule))
        declared = Counter(key for rule in net_added for key in declared_keys(rule))
        problems: list[str] = []
        for key, count in declared.items():
            if self._declared_count(key) - undeclared[key] + count > 1:
                problems.append(f"{key.kind} {quoted(key.name)} is given twice")
        removed_uses = Counter(key for rule in net_removed for key in references(rule))
        added_uses = Counter(key for rule in net_added for key in references(rule))
        for key in added_uses.keys() | undeclared.keys():
            uses = self._use_count(key) - removed_uses[key] + added_uses[key]
            if uses and self._declared_count(key) - undeclared[key] + declared[key] < 1:
                problems.append(f"no rule names the {key.kind} {quoted(key.name)}")
        return tuple(sorted(problems))

    def _declared_count(self, key: RuleKey) -> int:
        return int(key.name in self._names_by_kind.get(key.kind, ()))

    def _use_count(self, key: RuleKey) -> int:
        return self._uses_by_kind.get(key.kind, Counter())[key.name]

    def _update_counts(self, rules: list[Rule], step: int) -> None:
        for rule in rules:
            for kind, name in declared_keys(rule):
                names = self._names_by_kind.setdefault(kind, set())
                (names.add if step > 0 else names.discard)(name)
            for kind, name in references(rule):
                uses = self._uses_by_kind.setdefault(kind, Counter())
                uses[name] += step
                if not uses[name]:
                    del uses[name]


def _net_changes(
    removed: Iterable[Rule], added: Iterable[Rule]
) -> tuple[list[Rule], list[Rule]]:
    before, after = Counter(removed), Counter(added)
    return list((before - after).elements()), list((after - before).elements())


def _apply_changes(
    rules: RuleSet, net_removed: list[Rule], net_added: list[Rule], revision: Revision
) -> RuleSet:
    changed_types = {type(rule) for rule in (*net_removed, *net_added)}
    services = rules.service_by_name
    upstreams = rules.upstream_by_id
    callers = rules.caller_by_digest
    allows = rules.allow_by_caller_service
    leaving = rules.leaving_by_upstream
    result = RuleSet(
        revision,
        dict(services) if ServiceRule in changed_types else services,
        dict(upstreams) if UpstreamRule in changed_types else upstreams,
        dict(rules.shards_by_service),
        dict(callers) if CallerRule in changed_types else callers,
        dict(allows) if AllowRule in changed_types else allows,
        dict(leaving) if LeavingRule in changed_types else leaving,
    )
    for rule in net_removed:
        _remove(result, rule)
    for rule in net_added:
        _add(result, rule)
    _update_shards(result, net_removed, net_added)
    return result


def _remove(rules: RuleSet, rule: Rule) -> None:
    match rule:
        case ServiceRule():
            del rules.service_by_name[rule.name]
        case UpstreamRule():
            del rules.upstream_by_id[rule.name]
        case CallerRule():
            del rules.caller_by_digest[rule.key_digest]
        case AllowRule():
            del rules.allow_by_caller_service[rule.caller, rule.service]
        case LeavingRule():
            del rules.leaving_by_upstream[rule.upstream]


def _add(rules: RuleSet, rule: Rule) -> None:
    match rule:
        case ServiceRule():
            rules.service_by_name[rule.name] = rule
        case UpstreamRule():
            rules.upstream_by_id[rule.name] = rule
        case CallerRule():
            rules.caller_by_digest[rule.key_digest] = rule
        case AllowRule():
            rules.allow_by_caller_service[rule.caller, rule.service] = rule
        case LeavingRule():
            rules.leaving_by_upstream[rule.upstream] = rule


def _update_shards(
    rules: RuleSet, net_removed: list[Rule], net_added: list[Rule]
) -> None:
    removed_by_service: dict[ServiceId, set[ShardRule]] = {}
    added_by_service: dict[ServiceId, list[ShardRule]] = {}
    for rule in net_removed:
        if isinstance(rule, ShardRule):
            removed_by_service.setdefault(rule.service, set()).add(rule)
    for rule in net_added:
        if isinstance(rule, ShardRule):
            added_by_service.setdefault(rule.service, []).append(rule)
    grouped = rules.shards_by_service
    for service in removed_by_service.keys() | added_by_service.keys():
        removed_shards = removed_by_service.get(service, set())
        kept = [one for one in grouped.get(service, ()) if one not in removed_shards]
        shards = [*kept, *added_by_service.get(service, ())]
        shards.sort(key=lambda shard: (shard.slots, shard.name))
        grouped[service] = tuple(shards)
    for service in grouped.keys() - rules.service_by_name.keys():
        del grouped[service]
    for service in rules.service_by_name.keys() - grouped.keys():
        grouped[service] = ()
