"""Summarise the decisions made for a request in a few lines."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from burdockmill.cli.explain import format_decisions, oldest_age_ms

if TYPE_CHECKING:
    from burdockmill.explanation import ExplainedDecision, Explanation

ROUTE = "route"
RETRY = "retry"
MAX_SHOWN_LINES = 12


def summary(explanation: Explanation) -> list[str]:
    """Return lines: counts of routes by owner and reason, then the other decisions.

    Routes of retried shards are among the others, of which at most MAX_SHOWN_LINES
    are shown.
    """
    decisions = explanation["decisions"]
    oldest_ms = oldest_age_ms(explanation)
    retried = {
        decision["choice"].split()[0]
        for decision in decisions
        if decision["part"] == RETRY
    }
    grouped = [
        one
        for one in decisions
        if one["part"] == ROUTE and not _is_for_shards(one, retried)
    ]
    others = [one for one in decisions if one not in grouped]
    lines = format_decisions(others, oldest_ms)
    if len(lines) > MAX_SHOWN_LINES:
        lines = [
            *lines[:MAX_SHOWN_LINES],
            f"and {len(lines) - MAX_SHOWN_LINES} more decisions",
        ]
    return [*_format_groups(grouped), *lines]


def _is_for_shards(decision: ExplainedDecision, shards: set[str]) -> bool:
    return decision["choice"].split()[0] in shards


def _format_groups(routes: list[ExplainedDecision]) -> list[str]:
    counted: Counter[tuple[str, str]] = Counter()
    for decision in routes:
        owner = decision["choice"].rpartition(" by ")[2]
        counted[(owner, decision["reason"])] += 1
    return [
        f"route: {count} shards by {owner} ({reason})"
        for (owner, reason), count in sorted(counted.items())
    ]
