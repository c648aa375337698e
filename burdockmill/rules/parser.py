"""Parse the rules text into a checked rule set."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from burdockmill.rules.checks import RuleProblem, check_each, check_together
from burdockmill.rules.grammar import tokenise
from burdockmill.rules.model import (
    AllowRule,
    CallerRule,
    LeavingRule,
    RuleSet,
    ServiceRule,
    ShardRule,
    UpstreamRule,
)

if TYPE_CHECKING:
    from burdockmill.names import Revision, ServiceId
    from burdockmill.rules._verbs import Rule


def parse_rules(
    text: str, revision: Revision
) -> Result[RuleSet, tuple[RuleProblem, ...]]:
    """Return the rule set, or every problem of the text by line and column."""
    statements, syntax_problems = tokenise(text)
    checked = [check_each(statement) for statement in statements]
    problems = [*syntax_problems, *check_together(checked)]
    for one in checked:
        problems.extend(one.problems)
    if problems:
        return Failure(tuple(sorted(problems)))
    rules = [one.rule for one in checked if one.rule is not None]
    return Success(_build_rule_set(rules, revision))


def _build_rule_set(rules: list[Rule], revision: Revision) -> RuleSet:
    rule_set = RuleSet(revision, {}, {}, {}, {}, {}, {})
    shards: list[ShardRule] = []
    for rule in rules:
        match rule:
            case ServiceRule():
                rule_set.service_by_name[rule.name] = rule
            case UpstreamRule():
                rule_set.upstream_by_id[rule.name] = rule
            case ShardRule():
                shards.append(rule)
            case CallerRule():
                rule_set.caller_by_digest[rule.key_digest] = rule
            case AllowRule():
                key = (rule.caller, rule.service)
                rule_set.allow_by_caller_service[key] = rule
            case LeavingRule():
                rule_set.leaving_by_upstream[rule.upstream] = rule
    rule_set.shards_by_service.update(
        _group_shards(shards, list(rule_set.service_by_name))
    )
    return rule_set


def _group_shards(
    shards: list[ShardRule], services: list[ServiceId]
) -> dict[ServiceId, tuple[ShardRule, ...]]:
    grouped: dict[ServiceId, list[ShardRule]] = {service: [] for service in services}
    for shard in sorted(shards, key=lambda shard: (shard.slots, shard.name)):
        grouped[shard.service].append(shard)
    return {
        service: tuple(service_shards) for service, service_shards in grouped.items()
    }
