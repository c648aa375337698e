"""Write decisions to the log and store the latest for explanations."""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.decision import Decision
from burdockmill.logs import write_decisions

if TYPE_CHECKING:
    from burdockmill.messages.actions import LogDecision
    from burdockmill.names import HostId, RequestId

REQUESTS_LIMIT = 2_000
DECISIONS_PER_REQUEST_LIMIT = 4_000
DECISIONS_TOTAL_LIMIT = 50_000
# Clients choose the ids of forwarded requests, as long as a head may be.
STORED_ID_CHARS = 256
# Disables the line limit, for hosts that log to a file.
UNLIMITED_LINES = float("inf")
MILLISECONDS_PER_SECOND = 1_000.0


class _RequestHistory(NamedTuple):
    decisions: list[Decision]
    owners: set[HostId]


class DecisionLog:
    """Log a line per decision, in batches; store the latest in memory."""

    def __init__(
        self,
        decisions_limit: int = DECISIONS_TOTAL_LIMIT,
        lines_per_second: float = UNLIMITED_LINES,
    ) -> None:
        self._decisions_limit = decisions_limit
        self._lines_per_second = lines_per_second
        self._line_tokens = lines_per_second
        self._refilled_at_ms = 0.0
        self._lines_left_out = 0
        self.counts: Counter[str] = Counter()
        self._history_by_request: OrderedDict[RequestId, _RequestHistory] = (
            OrderedDict()
        )
        self._stored_count = 0
        self._buffered_lines: list[Decision] = []

    def add(self, action: LogDecision, at_ms: float) -> None:
        """Store a decision made at `at_ms` and buffer its line for `flush`.

        Above the limit of lines per second, the line is left out and counted.
        """
        decision = Decision(at_ms, *action)
        if self._admit_line(at_ms):
            self._buffered_lines.append(decision)
        else:
            self._lines_left_out += 1
            self.counts["lines_left_out"] += 1
        if len(action.request_id) > STORED_ID_CHARS:
            self.counts["decisions_forgotten"] += 1
        elif action.request_id:
            self._store(decision)

    def flush(self) -> None:
        """Write the buffered lines in one call."""
        if self._buffered_lines:
            buffered, self._buffered_lines = self._buffered_lines, []
            self.counts["decisions"] += len(buffered)
            write_decisions(buffered)

    def record_owner(self, request_id: RequestId, owner: HostId) -> None:
        """Add a host to the owners that a request was sent to."""
        self._history_of(request_id).owners.add(owner)

    def decisions_of(self, request_id: RequestId) -> list[Decision]:
        """Return the stored decisions on a request, oldest first."""
        history = self._history_by_request.get(request_id)
        return [] if history is None else list(history.decisions)

    def owners_of(self, request_id: RequestId) -> set[HostId]:
        """Return the owners that a request was sent to."""
        history = self._history_by_request.get(request_id)
        return set() if history is None else set(history.owners)

    def _admit_line(self, at_ms: float) -> bool:
        if self._lines_per_second == UNLIMITED_LINES:
            return True
        elapsed_seconds = (
            max(0.0, at_ms - self._refilled_at_ms) / MILLISECONDS_PER_SECOND
        )
        self._refilled_at_ms = at_ms
        tokens = self._line_tokens + elapsed_seconds * self._lines_per_second
        self._line_tokens = min(tokens, self._lines_per_second)
        if self._line_tokens < 1.0:
            return False
        self._line_tokens -= 1.0
        if self._lines_left_out:
            choice = f"left out {self._lines_left_out} lines"
            self._buffered_lines.append(
                Decision(at_ms, "log", "", choice, "more than lines_per_second", ())
            )
            self._lines_left_out = 0
        return True

    def _store(self, decision: Decision) -> None:
        stored = self._history_of(decision.request_id).decisions
        if len(stored) >= DECISIONS_PER_REQUEST_LIMIT:
            self.counts["decisions_forgotten"] += 1
            return
        stored.append(decision)
        self._stored_count += 1
        while self._stored_count > self._decisions_limit:
            self._evict_oldest()

    def _history_of(self, request_id: RequestId) -> _RequestHistory:
        history = self._history_by_request.get(request_id)
        if history is None:
            history = _RequestHistory([], set())
            self._history_by_request[request_id] = history
            if len(self._history_by_request) > min(
                REQUESTS_LIMIT, self._decisions_limit
            ):
                self._evict_oldest()
        return history

    def _evict_oldest(self) -> None:
        _, oldest = self._history_by_request.popitem(last=False)
        self._stored_count -= len(oldest.decisions)
        self.counts["requests_forgotten"] += 1
