"""Record the rates that upstreams accept from all hosts together."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from burdockmill.forwarding.upstream_notices import Incarnation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockmill.forwarding.messages import Registration

# Rows beyond this number are discarded, oldest first.
ROWS_LIMIT = 4_096
# A change of the limit by less than this fraction is not reported.
REPORTED_CHANGE = 0.1


class LimitRow:
    """Store what is known of one incarnation's limit; times in clock milliseconds.

    `limit_per_s` is infinite once the limit has ended. `heard_ms` is when the answer
    that stated it was received, `sent_ms` when its request was written.
    """

    __slots__ = ("heard_ms", "limit_per_s", "reported_per_s", "sent_ms")

    def __init__(self) -> None:
        self.limit_per_s = math.inf
        self.reported_per_s = math.inf
        self.sent_ms = -math.inf
        self.heard_ms = -math.inf

    @property
    def is_limited(self) -> bool:
        """Return whether the limit holds."""
        return self.limit_per_s < math.inf


class UpstreamLimits:
    """Store a row for each incarnation that named a limit."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._row_by_incarnation: dict[Incarnation, LimitRow] = {}

    def of(self, registration: Registration) -> LimitRow | None:
        """Return an upstream's row, or None if it has no limit."""
        row = self._row_by_incarnation.get(Incarnation.of(registration))
        return row if row is not None and row.is_limited else None

    def limited(self) -> Iterator[tuple[Incarnation, float]]:
        """Yield the incarnations with a limit, in requests a second."""
        for incarnation, row in self._row_by_incarnation.items():
            if row.is_limited:
                yield incarnation, row.limit_per_s

    def record(
        self,
        registration: Registration,
        limit_per_s: float | None,
        sent_ms: float,
        now_ms: float,
    ) -> bool:
        """Record what an answer to a request sent at `sent_ms` states of the limit.

        Answers may arrive out of order: one to an earlier request changes nothing, and
        a limit ends only by an answer to a request sent after it was last named. Return
        whether the limit changed enough to report.
        """
        incarnation = Incarnation.of(registration)
        row = self._row_by_incarnation.get(incarnation)
        if limit_per_s is None:
            return False
        if limit_per_s == math.inf:
            if row is None or not row.is_limited or sent_ms < row.heard_ms:
                return False
            self.counts["limits_ended"] += 1
        elif row is None:
            row = self._add(incarnation)
        elif sent_ms < row.sent_ms:
            self.counts["late_answers_ignored"] += 1
            return False
        row.limit_per_s = limit_per_s
        row.sent_ms, row.heard_ms = sent_ms, now_ms
        return self._is_reported(row)

    def _add(self, incarnation: Incarnation) -> LimitRow:
        if len(self._row_by_incarnation) >= ROWS_LIMIT:
            del self._row_by_incarnation[next(iter(self._row_by_incarnation))]
        row = self._row_by_incarnation[incarnation] = LimitRow()
        return row

    def _is_reported(self, row: LimitRow) -> bool:
        reported_per_s = row.reported_per_s
        if reported_per_s == row.limit_per_s:
            return False
        is_first = reported_per_s == math.inf
        changed_per_s = abs(row.limit_per_s - reported_per_s)
        if not is_first and changed_per_s < REPORTED_CHANGE * reported_per_s:
            return False
        self.counts["limits_named"] += is_first
        row.reported_per_s = row.limit_per_s
        return True
