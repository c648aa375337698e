"""Limit how long an attempt may wait for a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.rules.model import Completion

if TYPE_CHECKING:
    from burdockmill.rules.model import RuleSet
    from burdockmill.tables.owned_part import OwnedPart

WAIT_SHARE_BY_COMPLETION = {Completion.COVERAGE: 0.5, Completion.LATENCY: 0.25}


def longest_wait_ms(rules: RuleSet | None, owned: OwnedPart, now_ms: float) -> float:
    """Return the longest wait, in milliseconds, of an attempt that arrives now."""
    service = owned.request.service
    rule = rules.service_by_name.get(service) if rules else None
    completion = rule.completion if rule else Completion.LATENCY
    return (owned.deadline_ms - now_ms) * WAIT_SHARE_BY_COMPLETION[completion]
