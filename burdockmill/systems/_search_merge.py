"""Merge the hits, covered slots and totals of answers into a search."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.slots import count, overlap, subtract
from burdockmill.tables.search_row import CountedAnswer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.messages.peer import Hit, PartOutcome
    from burdockmill.names import HostId
    from burdockmill.tables.search_row import SearchRow


def is_expected_outcome(row: SearchRow, sender: HostId, outcome: PartOutcome) -> bool:
    """Return whether an outcome matches an attempt that was sent to its sender."""
    attempt = row.attempt_by_id.get(outcome.attempt)
    return (
        attempt is not None
        and attempt.owner == sender
        and attempt.part.upstream == outcome.upstream
        and attempt.part.shard == outcome.shard
        and not subtract(outcome.covered, (attempt.part.slots,))
    )


def merge_hits(row: SearchRow, hits: Iterable[Hit]) -> None:
    """Add hits of the pinned snapshot, deduplicated by record key."""
    for hit in hits:
        row.hit_by_key[hit.key] = hit


def merge_coverage(row: SearchRow, outcome: PartOutcome) -> bool:
    """Add an outcome's slots and total; return whether any slot was new."""
    new_slots = sum(row.covered.add(span) for span in outcome.covered)
    if not new_slots:
        return False
    counted_answer = CountedAnswer(outcome.covered, outcome.total)
    if new_slots == count(outcome.covered):
        row.counted.append(counted_answer)
        return True
    _merge_overlapping(row, counted_answer)
    return True


def _merge_overlapping(row: SearchRow, added: CountedAnswer) -> None:
    # Totals over overlapping ranges cannot be added. The new answer replaces the others
    # if its ranges include theirs or its total is larger; the sum stays exact only if
    # its ranges include theirs.
    overlapping = [
        counted for counted in row.counted if overlap(counted.ranges, added.ranges)
    ]
    includes_others = not any(
        subtract(counted.ranges, added.ranges) for counted in overlapping
    )
    if includes_others or added.total > sum(counted.total for counted in overlapping):
        row.counted = [counted for counted in row.counted if counted not in overlapping]
        row.counted.append(added)
    row.total_is_exact = row.total_is_exact and includes_others
