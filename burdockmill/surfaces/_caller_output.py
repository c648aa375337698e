"""Build the JSON bodies of responses to callers."""

from __future__ import annotations

from typing import TypedDict

import msgspec

from burdockmill.errors import Ran
from burdockmill.messages.actions import (
    ActionAnswer,
    CoverageReport,
    FetchAnswer,
    SearchAnswer,
)
from burdockmill.names import RequestId

OUTCOME_BY_RAN = {Ran.YES: "done", Ran.NO: "not_run", Ran.UNKNOWN: "unknown"}


class HitBody(TypedDict):
    """Describe one matching record."""

    key: str
    rank: float
    record: msgspec.Raw


class SearchBody(TypedDict):
    """Describe the result of a search."""

    request_id: str
    snapshot: int
    hits: list[HitBody]
    total: int
    total_is_exact: bool
    has_more: bool
    coverage: CoverageReport


class FetchBody(TypedDict):
    """Describe the result of a fetch."""

    request_id: str
    key: str
    record: msgspec.Raw


class ActionBody(TypedDict):
    """Describe the result of an action; `outcome` is done, not_run or unknown."""

    request_id: str
    outcome: str
    key: str
    reason: str
    result: msgspec.Raw
    retry_after_ms: int | None


def response_body(
    request_id: RequestId, answer: SearchAnswer | FetchAnswer | ActionAnswer
) -> SearchBody | FetchBody | ActionBody:
    """Return the JSON body of an answer."""
    if isinstance(answer, SearchAnswer):
        return _search_body(request_id, answer)
    if isinstance(answer, FetchAnswer):
        return FetchBody(request_id=request_id, key=answer.key, record=answer.record)
    return ActionBody(
        request_id=request_id,
        outcome=OUTCOME_BY_RAN[answer.ran],
        key=answer.key,
        reason=str(answer.reason),
        result=answer.result,
        retry_after_ms=answer.retry_after_ms,
    )


def _search_body(request_id: RequestId, answer: SearchAnswer) -> SearchBody:
    hits = [
        HitBody(key=hit.key, rank=hit.rank, record=hit.record) for hit in answer.hits
    ]
    return SearchBody(
        request_id=request_id,
        snapshot=answer.snapshot,
        hits=hits,
        total=answer.total,
        total_is_exact=answer.total_is_exact,
        has_more=answer.has_more,
        coverage=answer.coverage,
    )
