"""Write decisions to the log and remember the latest for explanations."""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.decision import Decision
from burdockmill.logs import write_decisions

if TYPE_CHECKING:
    from burdockmill.messages.actions import LogDecision
    from burdockmill.names import HostId, RequestId

REQUESTS_LIMIT = 2_000
DECISIONS_LIMIT = 4_000
DECISIONS_TOTAL_LIMIT = 50_000
# No bound, for hosts whose log is a file.
UNBOUNDED_LINES = float("inf")
MILLISECONDS_PER_SECOND = 1_000.0


class _Remembered(NamedTuple):
    decisions: list[Decision]
    owners: set[HostId]


class DecisionLog:
    """Write a line a decision, a tick's lines at once; remember the latest."""

    def __init__(
        self,
        remembered_limit: int = DECISIONS_TOTAL_LIMIT,
        lines_per_second: float = UNBOUNDED_LINES,
    ) -> None:
        self._remembered_limit = remembered_limit
        self._lines_per_second = lines_per_second
        self._lines_allowed = lines_per_second
        self._allowed_at_ms = 0.0
        self._left_out = 0
        self.counts: Counter[str] = Counter()
        self._remembered_by_request: OrderedDict[RequestId, _Remembered] = OrderedDict()
        self._total = 0
        self._waiting: list[Decision] = []

    def add(self, made: LogDecision, at_ms: float) -> None:
        """Take a decision made at `at_ms` milliseconds; `flush` writes it."""
        decision = Decision(at_ms, *made)
        if self._may_write(at_ms):
            self._waiting.append(decision)
        else:
            self._left_out += 1
            self.counts["lines_left_out"] += 1
        if made.request_id:
            self._remember(decision)

    def flush(self) -> None:
        """Write the lines of all decisions since the last time."""
        if self._waiting:
            waiting, self._waiting = self._waiting, []
            self.counts["decisions"] += len(waiting)
            write_decisions(waiting)

    def record_owner(self, request_id: RequestId, owner: HostId) -> None:
        """Remember that an owner works on a request."""
        self._of(request_id).owners.add(owner)

    def of_request(self, request_id: RequestId) -> list[Decision]:
        """Return what is still remembered of a request, oldest first."""
        remembered = self._remembered_by_request.get(request_id)
        return [] if remembered is None else list(remembered.decisions)

    def owners_of(self, request_id: RequestId) -> set[HostId]:
        """Return the owners that work, or worked, on a request."""
        remembered = self._remembered_by_request.get(request_id)
        return set() if remembered is None else set(remembered.owners)

    def _may_write(self, at_ms: float) -> bool:
        if self._lines_per_second == UNBOUNDED_LINES:
            return True
        passed_s = max(0.0, at_ms - self._allowed_at_ms) / MILLISECONDS_PER_SECOND
        self._allowed_at_ms = at_ms
        allowed = self._lines_allowed + passed_s * self._lines_per_second
        self._lines_allowed = min(allowed, self._lines_per_second)
        if self._lines_allowed < 1.0:
            return False
        self._lines_allowed -= 1.0
        if self._left_out:
            choice = f"left out {self._left_out} lines"
            self._waiting.append(
                Decision(at_ms, "log", "", choice, "more lines than the limit", ())
            )
            self._left_out = 0
        return True

    def _remember(self, decision: Decision) -> None:
        kept = self._of(decision.request_id).decisions
        if len(kept) >= DECISIONS_LIMIT:
            self.counts["decisions_forgotten"] += 1
            return
        kept.append(decision)
        self._total += 1
        while self._total > self._remembered_limit:
            self._forget_oldest()

    def _of(self, request_id: RequestId) -> _Remembered:
        remembered = self._remembered_by_request.get(request_id)
        if remembered is None:
            remembered = _Remembered([], set())
            self._remembered_by_request[request_id] = remembered
            if len(self._remembered_by_request) > min(
                REQUESTS_LIMIT, self._remembered_limit
            ):
                self._forget_oldest()
        return remembered

    def _forget_oldest(self) -> None:
        _, oldest = self._remembered_by_request.popitem(last=False)
        self._total -= len(oldest.decisions)
        self.counts["requests_forgotten"] += 1
