"""Write rules as canonical lines of the rules text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.rules.model import (
    AllowRule,
    CallerRule,
    LeavingRule,
    RequestKind,
    ServiceRule,
    ShardRule,
    UpstreamRule,
)

if TYPE_CHECKING:
    from burdockmill.rules._verbs import Rule


def render_rule(rule: Rule) -> str:
    """Return the rule as one line that parses to the same rule."""
    return f"{' '.join(_words(rule))} # {rule.comment}"


def _words(rule: Rule) -> list[str]:
    match rule:
        case ServiceRule():
            return _service_words(rule)
        case UpstreamRule():
            return _upstream_words(rule)
        case ShardRule():
            return _shard_words(rule)
        case CallerRule():
            return ["caller", rule.name, f"key=sha256:{rule.key_digest}"]
        case AllowRule():
            return _allow_words(rule)
        case LeavingRule():
            return ["leaving", rule.upstream]


def _service_words(rule: ServiceRule) -> list[str]:
    return [
        "service",
        rule.name,
        f"completion={rule.completion}",
        f"deadline={rule.deadline_ms}ms",
        f"soft-deadline={rule.soft_deadline_ms}ms",
        f"coverage-target={_percent(rule.coverage_target)}",
        f"hedge={_percent(rule.hedge_fraction)}",
    ]


def _upstream_words(rule: UpstreamRule) -> list[str]:
    return [
        "upstream",
        rule.name,
        f"domain={rule.domain}",
        f"address={rule.address}",
        f"slots={rule.slots}",
        f"connections={rule.connections}",
        f"connect={rule.connect_ms}ms",
    ]


def _shard_words(rule: ShardRule) -> list[str]:
    words = [
        "shard",
        rule.name,
        f"service={rule.service}",
        f"slots={rule.slots.first}-{rule.slots.last}",
        f"replicas={','.join(rule.replicas)}",
    ]
    if rule.documents is not None:
        words.append(f"documents={rule.documents}")
    return words


def _allow_words(rule: AllowRule) -> list[str]:
    kinds = ",".join(kind for kind in RequestKind if kind in rule.kinds)
    words = ["allow", rule.caller, f"service={rule.service}", f"kinds={kinds}"]
    if rule.rate_per_second is not None:
        words.append(f"rate={_strip_zeros(f'{rule.rate_per_second:.3f}')}/s")
    return words


def _percent(fraction: float) -> str:
    return _strip_zeros(f"{fraction * 100:.2f}") + "%"


def _strip_zeros(decimal: str) -> str:
    return decimal.rstrip("0").rstrip(".")
