"""Build a search's answer or error from the outcomes merged into its row."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import OverloadedError
from burdockmill.messages.actions import CoverageReport, MissingRange, SearchAnswer
from burdockmill.messages.peer import Reason
from burdockmill.policies.refusal_memory import (
    OVERLOAD_REASONS,
    REFUSING_DEFAULT_MS,
)
from burdockmill.slots import FULL_RANGE, SLOT_COUNT, SlotRange

if TYPE_CHECKING:
    from burdockmill.tables.search_row import SearchRow


def build_answer(row: SearchRow) -> SearchAnswer:
    """Return the answer with its coverage; the total may be a lower bound."""
    hits = sorted(row.hit_by_key.values(), key=lambda hit: (hit.rank, hit.key))
    limit = row.request.limit
    total = sum(counted.total for counted in row.counted)
    is_exact = row.total_is_exact
    if len(hits) <= limit and not is_exact:
        total, is_exact = len(hits), True
    return SearchAnswer(
        snapshot=row.pin.snapshot,
        coverage=_coverage(row),
        hits=hits[:limit],
        total=max(total, len(hits)),
        has_more=max(total, len(hits)) > min(limit, len(hits)),
        total_is_exact=is_exact,
    )


def overload_error(row: SearchRow) -> OverloadedError | None:
    """Return an error if every shard refused for overload and nothing ran, or None."""
    reasons = set(row.reason_by_shard.values())
    if row.covered.count or row.may_have_run or any(row.open_by_shard.values()):
        return None
    if not reasons or not reasons <= OVERLOAD_REASONS:
        return None
    reason_names = ", ".join(sorted(reasons))
    wait_ms = max(row.retry_after_ms, REFUSING_DEFAULT_MS)
    return OverloadedError(
        f"Every shard refused because of overload: {reason_names}.",
        retry_after_ms=wait_ms,
    )


def _coverage(row: SearchRow) -> CoverageReport:
    report = CoverageReport(
        covered=row.covered.count,
        total=SLOT_COUNT,
        complete=row.covered.is_complete,
        missing=_missing_ranges(row),
    )
    documents = _documents_fraction(row)
    if documents is not None:
        report["documents"] = documents
    return report


def _missing_ranges(row: SearchRow) -> list[MissingRange]:
    missing: list[MissingRange] = []
    shards = sorted(row.shard_by_name.values(), key=lambda shard: shard.slots)
    default = Reason.NO_REPLICA if row.pin.snapshot else Reason.NO_SNAPSHOT
    next_slot = 0
    for shard in shards:
        first, last = max(next_slot, shard.slots.first), shard.slots.last
        if first > last:
            continue
        if next_slot < first:
            missing.extend(_missing_within(row, next_slot, first - 1, Reason.UNMAPPED))
        reason = row.reason_by_shard.get(shard.name, default)
        if row.open_by_shard.get(shard.name):
            reason = Reason.DEADLINE
        missing.extend(_missing_within(row, first, last, reason))
        next_slot = last + 1
    if next_slot <= FULL_RANGE.last:
        missing.extend(
            _missing_within(row, next_slot, FULL_RANGE.last, Reason.UNMAPPED)
        )
    return missing


def _missing_within(
    row: SearchRow, first: int, last: int, reason: Reason
) -> list[MissingRange]:
    return [
        MissingRange(first=low, last=high, reason=reason)
        for low, high in row.covered.missing_ranges(SlotRange(first, last))
    ]


def _documents_fraction(row: SearchRow) -> float | None:
    covered_documents = total_documents = 0.0
    for shard in row.shard_by_name.values():
        if shard.documents is None:
            return None
        slot_count = shard.slots.last - shard.slots.first + 1
        covered_count = slot_count - row.covered.missing_count((shard.slots,))
        covered_documents += shard.documents * covered_count / slot_count
        total_documents += shard.documents
    return round(covered_documents / total_documents, 6) if total_documents else None
