"""Merge the outcomes of a request's parts into one answer to its requester."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import Action, SendToPeer
from burdockmill.messages.peer import NO_BODY, WorkAnswer
from burdockmill.rules.model import RequestKind
from burdockmill.tables.owned_part import MergeRow
from burdockmill.tables.owner_due import FlushDue

if TYPE_CHECKING:
    import msgspec

    from burdockmill.messages.peer import Hit, PartOutcome
    from burdockmill.tables.owned_part import OwnedPart
    from burdockmill.tables.owner_due import OwnerDue
    from burdockmill.tables.timer_queue import TimerQueue

# Outcomes of a search are sent this long after the first, even if parts are open.
MERGE_WAIT_MS = 2.0


class PartMerger:
    """Merge the outcomes of searches, per request and host that requested the work."""

    def __init__(self) -> None:
        self._open_by_request: dict[FlushDue, int] = {}
        self._merge_by_request: dict[FlushDue, MergeRow] = {}

    def register(self, owned: OwnedPart) -> None:
        """Count one more open part of a request."""
        flush_due = _flush_key(owned)
        self._open_by_request[flush_due] = self._open_by_request.get(flush_due, 0) + 1

    def complete(
        self,
        owned: OwnedPart,
        outcome: PartOutcome,
        hits: list[Hit],
        body: msgspec.Raw,
        timers: TimerQueue[OwnerDue],
        now_ms: float,
    ) -> list[Action]:
        """Add the outcome of a part; return the answer if it is sent now.

        An outcome of a search waits until the last open part ends or MERGE_WAIT_MS
        have passed; others are answered at once.
        """
        flush_due = _flush_key(owned)
        remaining = self._open_by_request[flush_due] - 1
        self._open_by_request[flush_due] = remaining
        if not remaining:
            del self._open_by_request[flush_due]
        if owned.request.kind != RequestKind.SEARCH:
            snapshot = owned.request.snapshot
            answer = WorkAnswer(flush_due.request_id, snapshot, [outcome], [], body)
            return [SendToPeer(flush_due.requester, answer)]
        merge_row = self._merge_by_request.get(flush_due)
        if merge_row is None:
            merge_row = MergeRow([], [], owned.request.snapshot, owned.request.limit)
            self._merge_by_request[flush_due] = merge_row
            timers.schedule(flush_due, now_ms + MERGE_WAIT_MS)
        merge_row.outcomes.append(outcome)
        merge_row.hits.extend(hits)
        return [] if remaining else self.flush(flush_due, timers)

    def flush(self, flush_due: FlushDue, timers: TimerQueue[OwnerDue]) -> list[Action]:
        """Answer with the outcomes merged so far."""
        merge_row = self._merge_by_request.pop(flush_due, None)
        timers.cancel(flush_due)
        if merge_row is None:
            return []
        hit_by_key = {hit.key: hit for hit in merge_row.hits}
        hits = sorted(hit_by_key.values(), key=lambda hit: (hit.rank, hit.key))
        answer = WorkAnswer(
            flush_due.request_id,
            merge_row.snapshot,
            merge_row.outcomes,
            hits[: merge_row.limit],
            NO_BODY,
        )
        return [SendToPeer(flush_due.requester, answer)]


def _flush_key(owned: OwnedPart) -> FlushDue:
    return FlushDue(owned.requester, owned.request.request_id)
