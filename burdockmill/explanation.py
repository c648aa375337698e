"""Join the decisions that several hosts made for one request."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.decision import Decision
    from burdockmill.names import HostId, RequestId


class ExplainedDecision(TypedDict):
    """Describe a decision; `age_ms` is its age when it was asked for."""

    host: str
    age_ms: float
    part: str
    request_id: str
    choice: str
    reason: str
    passed_over: list[str]


class Explanation(TypedDict):
    """List a request's decisions, oldest first, and the hosts that were silent."""

    request_id: str
    decisions: list[ExplainedDecision]
    silent_hosts: list[str]


def explain_local(
    host: HostId, request_id: RequestId, decisions: Iterable[Decision], now_ms: float
) -> Explanation:
    """Return one host's own decisions."""
    explained = [
        ExplainedDecision(
            host=host,
            age_ms=round(now_ms - made.at_ms, 3),
            part=made.part,
            request_id=made.request_id,
            choice=made.choice,
            reason=made.reason,
            passed_over=list(made.passed_over),
        )
        for made in decisions
    ]
    return Explanation(request_id=request_id, decisions=explained, silent_hosts=[])


def merge_explanations(
    request_id: RequestId,
    explanations: Iterable[Explanation],
    silent_hosts: Iterable[HostId],
) -> Explanation:
    """Return the decisions of several hosts in the order of their age."""
    decisions = [made for one in explanations for made in one["decisions"]]
    return Explanation(
        request_id=request_id,
        decisions=sorted(decisions, key=lambda made: -made["age_ms"]),
        silent_hosts=sorted(silent_hosts),
    )
