"""Track which upstreams refused for overload, so that no attempt adds to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.peer import Reason

if TYPE_CHECKING:
    from collections import Counter

    from burdockmill.messages.peer import PartOutcome
    from burdockmill.names import UpstreamId

OVERLOAD_REASONS = frozenset(
    {
        Reason.SHED,
        Reason.COLD,
        Reason.QUEUE_FULL,
        Reason.NO_TIME,
        Reason.CIRCUIT_OPEN,
    }
)
REFUSING_DEFAULT_MS = 50
REFUSING_LONGEST_MS = 1_000
REMEMBERED_LIMIT = 10_000


class RefusalMemory:
    """Record overload refusals until the retry time that they name."""

    def __init__(self, counter_by_name: Counter[str]) -> None:
        self._counter_by_name = counter_by_name
        self._until_ms_by_upstream: dict[UpstreamId, float] = {}

    def record(self, outcome: PartOutcome, now_ms: float) -> None:
        """Record the retry time of a refusal for overload; ignore other outcomes."""
        if outcome.reason not in OVERLOAD_REASONS:
            return
        if len(self._until_ms_by_upstream) >= REMEMBERED_LIMIT:
            self._remove_expired(now_ms)
        wait_ms = outcome.retry_after_ms or REFUSING_DEFAULT_MS
        until_ms = now_ms + min(wait_ms, REFUSING_LONGEST_MS)
        self._until_ms_by_upstream[outcome.upstream] = until_ms

    def has_room(self, upstream: UpstreamId, now_ms: float) -> bool:
        """Return whether no recent refusal shows that an upstream is overloaded."""
        until_ms = self._until_ms_by_upstream.get(upstream)
        if until_ms is None:
            return True
        if now_ms < until_ms:
            self._counter_by_name["replicas_without_room_passed_over"] += 1
            return False
        del self._until_ms_by_upstream[upstream]
        return True

    def _remove_expired(self, now_ms: float) -> None:
        recorded = self._until_ms_by_upstream.items()
        self._until_ms_by_upstream = {
            upstream: until_ms for upstream, until_ms in recorded if until_ms > now_ms
        }
