"""Merge the decisions that several hosts made on one request."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.decision import Decision
    from burdockmill.names import HostId, RequestId


class ExplainedDecision(TypedDict):
    """Describe a decision; `age_ms` is its age at the time of the explanation."""

    host: str
    age_ms: float
    part: str
    request_id: str
    choice: str
    reason: str
    passed_over: list[str]


class Explanation(TypedDict):
    """List a request's decisions, oldest first, and the hosts without a response."""

    request_id: str
    decisions: list[ExplainedDecision]
    silent_hosts: list[str]


def explain_local(
    host: HostId, request_id: RequestId, decisions: Iterable[Decision], now_ms: float
) -> Explanation:
    """Return one host's own decisions on a request, with their ages."""
    explained = [
        ExplainedDecision(
            host=host,
            age_ms=round(now_ms - decision.at_ms, 3),
            part=decision.part,
            request_id=decision.request_id,
            choice=decision.choice,
            reason=decision.reason,
            passed_over=list(decision.passed_over),
        )
        for decision in decisions
    ]
    return Explanation(request_id=request_id, decisions=explained, silent_hosts=[])


def merge_explanations(
    request_id: RequestId,
    explanations: Iterable[Explanation],
    silent_hosts: Iterable[HostId],
) -> Explanation:
    """Return the decisions of several hosts, oldest first."""
    decisions = [decision for found in explanations for decision in found["decisions"]]
    return Explanation(
        request_id=request_id,
        decisions=sorted(decisions, key=lambda decision: -decision["age_ms"]),
        silent_hosts=sorted(silent_hosts),
    )
