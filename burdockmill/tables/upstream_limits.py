"""Record the rates that upstreams accept from all hosts together."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.messages.limits import HEARSAY_AGE_MS, LimitReport
from burdockmill.tables.token_stock import TokenStock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockmill.forwarding.messages import Registration
    from burdockmill.names import DomainId

# Rows beyond this number are discarded, oldest first.
ROWS_LIMIT = 4_096
# The limit assumed until the host that allocates it states the figure.
HINTED_LIMIT_PER_S = 0.1
# Gossip takes up to this long; a limit that ended since does not begin again by it.
HINT_DELAY_MS = 5_000.0
# A change of the limit by less than this fraction is not reported.
REPORTED_CHANGE = 0.1


class LimitRow:
    """Store what is known of one incarnation's limit; times in clock milliseconds.

    `limit_per_s` is infinite once the limit has ended, and `cold_per_s` while the
    upstream is not cold; both bound `rate_per_s`. `heard_ms` is when the answer
    that stated it was received, `sent_ms` when its request was written. With
    `is_hearsay` only gossip stated that there is a limit.
    """

    __slots__ = (
        "cold_per_s",
        "cold_until_ms",
        "domain",
        "heard_ms",
        "is_hearsay",
        "limit_per_s",
        "published_ms",
        "reported_per_s",
        "sent_ms",
        "stock",
    )

    def __init__(self, domain: DomainId) -> None:
        self.domain = domain
        self.stock = TokenStock()
        self.limit_per_s = math.inf
        self.cold_per_s = math.inf
        self.cold_until_ms = 0.0
        self.reported_per_s = math.inf
        self.sent_ms = -math.inf
        self.heard_ms = -math.inf
        self.is_hearsay = False
        self.published_ms = -math.inf

    @property
    def rate_per_s(self) -> float:
        """Return the rate of tokens, infinite if there is no limit."""
        return min(self.limit_per_s, self.cold_per_s)

    @property
    def is_limited(self) -> bool:
        """Return whether a limit holds, a named one or that of a cold upstream."""
        return self.rate_per_s < math.inf

    @property
    def is_cold(self) -> bool:
        """Return whether the rate of the upstream is bounded since it is cold."""
        return self.cold_per_s < math.inf

    @property
    def is_named(self) -> bool:
        """Return whether the upstream has named a limit that holds."""
        return self.limit_per_s < math.inf

    def report(self, now_ms: float) -> LimitReport:
        """Return what this host knows of the limit that the upstream named."""
        if self.is_hearsay:
            return LimitReport(self.limit_per_s, HEARSAY_AGE_MS)
        if self.heard_ms == -math.inf:
            return LimitReport(None, HEARSAY_AGE_MS)
        limit_per_s = self.limit_per_s if self.is_named else None
        return LimitReport(limit_per_s, now_ms - self.heard_ms)


class UpstreamLimits:
    """Store a row for each incarnation that named a limit."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._row_by_incarnation: dict[Incarnation, LimitRow] = {}
        self._cold: set[Incarnation] = set()

    def __bool__(self) -> bool:
        return bool(self._row_by_incarnation)

    def of(self, registration: Registration) -> LimitRow | None:
        """Return an upstream's row, or None if it has no limit."""
        if not self._row_by_incarnation:
            return None
        row = self._row_by_incarnation.get(Incarnation.of(registration))
        return row if row is not None and row.is_limited else None

    def row(self, incarnation: Incarnation) -> LimitRow | None:
        """Return the row of an incarnation, also of one whose limit has ended."""
        return self._row_by_incarnation.get(incarnation)

    def rows(self) -> Iterator[tuple[Incarnation, LimitRow]]:
        """Yield the incarnations that have a limit, with their rows."""
        for incarnation, row in self._row_by_incarnation.items():
            if row.is_limited:
                yield incarnation, row

    def set_cold(
        self, registration: Registration, cold_per_s: float, now_ms: float
    ) -> None:
        """Bound the rate of an upstream while it is cold, as it registered."""
        incarnation = Incarnation.of(registration)
        if registration.cold_ms <= 0.0 or cold_per_s == math.inf:
            self._end_cold(incarnation)
            return
        row = self._row_by_incarnation.get(incarnation)
        if row is None:
            row = self._add(incarnation, registration.domain)
        self.counts["cold_upstreams"] += incarnation not in self._cold
        self._cold.add(incarnation)
        row.cold_per_s = cold_per_s
        row.cold_until_ms = now_ms + registration.cold_ms

    def end_cold(self, now_ms: float) -> list[Incarnation]:
        """Return the upstreams that are not cold any more, which have no bound now."""
        ended = [
            incarnation
            for incarnation in self._cold
            if (row := self._row_by_incarnation.get(incarnation)) is None
            or now_ms >= row.cold_until_ms
        ]
        for incarnation in ended:
            self._end_cold(incarnation)
        return ended

    def _end_cold(self, incarnation: Incarnation) -> None:
        self._cold.discard(incarnation)
        row = self._row_by_incarnation.get(incarnation)
        if row is not None:
            row.cold_per_s = math.inf

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
            if row is None or not row.is_named or sent_ms < row.heard_ms:
                return False
            self.counts["limits_ended"] += 1
        elif row is None:
            row = self._add(incarnation, registration.domain)
        elif sent_ms < row.sent_ms:
            self.counts["late_answers_ignored"] += 1
            return False
        row.limit_per_s = limit_per_s
        row.sent_ms, row.heard_ms = sent_ms, now_ms
        row.is_hearsay = False
        return self._is_reported(row)

    def merge(
        self,
        incarnation: Incarnation,
        domain: DomainId,
        report: LimitReport,
        now_ms: float,
    ) -> None:
        """Apply another host's report if it is newer than what this host knows."""
        row = self._row_by_incarnation.get(incarnation)
        if row is None:
            if report.limit_per_s is None:
                return
            row = self._add(incarnation, domain)
        heard_ms = now_ms - max(0.0, report.age_ms)
        if not row.is_hearsay and heard_ms <= row.heard_ms:
            return
        row.limit_per_s = math.inf if report.limit_per_s is None else report.limit_per_s
        row.sent_ms = row.heard_ms = heard_ms
        row.is_hearsay = False

    def apply_hint(
        self, incarnation: Incarnation, domain: DomainId, now_ms: float
    ) -> bool:
        """Record that another host heard of a limit; return whether that was new.

        The host that allocates the limit confirms it, or ends it, when this one
        requests tokens.
        """
        row = self._row_by_incarnation.get(incarnation)
        if row is None:
            row = self._add(incarnation, domain)
        elif row.is_named or now_ms - row.heard_ms < HINT_DELAY_MS:
            return False
        self.counts["hints_applied"] += 1
        row.limit_per_s = HINTED_LIMIT_PER_S
        row.sent_ms = row.heard_ms = now_ms
        row.is_hearsay = True
        return True

    def _add(self, incarnation: Incarnation, domain: DomainId) -> LimitRow:
        if len(self._row_by_incarnation) >= ROWS_LIMIT:
            del self._row_by_incarnation[next(iter(self._row_by_incarnation))]
        row = self._row_by_incarnation[incarnation] = LimitRow(domain)
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
