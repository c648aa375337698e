"""Store the action attempts that an owner has received, and their outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.tables.timer_queue import TimerQueue

if TYPE_CHECKING:
    from burdockmill.messages.peer import ActionOutcome
    from burdockmill.names import HostId
    from burdockmill.tables.owned_part import AttemptKey

RECORDS_LIMIT = 50_000
RETENTION_AFTER_DEADLINE_MS = 5_000.0


class ActionRecord(NamedTuple):
    """Store one attempt; `outcome` is None while it is queued or running."""

    requester: HostId
    not_after_ms: float
    outcome: ActionOutcome | None


class ActionRecords:
    """Store a bounded number of attempts, to detect duplicates and late arrivals."""

    def __init__(self, limit: int = RECORDS_LIMIT) -> None:
        self._limit = limit
        self._record_by_attempt: dict[AttemptKey, ActionRecord] = {}
        self._due: TimerQueue[AttemptKey] = TimerQueue()
        self._evicted_until_ms = float("-inf")
        self.evicted = 0

    def __len__(self) -> int:
        return len(self._record_by_attempt)

    def find(self, key: AttemptKey) -> ActionRecord | None:
        """Return the record of an attempt, or None when there is none."""
        return self._record_by_attempt.get(key)

    def may_have_been_removed(self, not_after_ms: float, now_ms: float) -> bool:
        """Return whether a record with this deadline may already have been removed.

        Such an attempt must not run: whether it ran before is no longer known.
        """
        retained_from_ms = now_ms - RETENTION_AFTER_DEADLINE_MS
        return not_after_ms <= max(retained_from_ms, self._evicted_until_ms)

    def put(self, key: AttemptKey, record: ActionRecord) -> None:
        """Store a record; when full, evict the records with the earliest deadline."""
        self._record_by_attempt[key] = record
        self._due.schedule(key, record.not_after_ms)
        while len(self._record_by_attempt) > self._limit:
            self._evict_earliest()

    def pending(self) -> list[AttemptKey]:
        """Return the attempts that are queued or running."""
        return [
            key
            for key, record in self._record_by_attempt.items()
            if record.outcome is None
        ]

    def remove_expired(self, now_ms: float) -> None:
        """Remove the records whose retention after the deadline has ended."""
        for key in self._due.pop_due(now_ms - RETENTION_AFTER_DEADLINE_MS):
            self._record_by_attempt.pop(key, None)

    def _evict_earliest(self) -> None:
        earliest_ms = self._due.next_due_ms()
        assert earliest_ms is not None
        for key in self._due.pop_due(earliest_ms):
            del self._record_by_attempt[key]
            self.evicted += 1
        self._evicted_until_ms = max(self._evicted_until_ms, earliest_ms)
