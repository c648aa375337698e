"""Store the requests under which upstreams ended, as all hosts reported them.

Crashes are named by the incarnation that ended, so that a report which arrives twice,
or from several hosts, counts once.
"""

from __future__ import annotations

import math
from collections import Counter
from itertools import chain
from typing import TYPE_CHECKING, NamedTuple

from xxhash import xxh3_64_intdigest

from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.policies.crash_blame import SHORT_MEMORY_MS, Crash
from burdockmill.tables.suspect_row import SuspectRow

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from burdockmill.messages.suspects import SuspectReport

ROWS_LIMIT = 1_024


class Merged(NamedTuple):
    """Tell what a report changed; `is_stale` if its sender does not know what we do.

    That is a higher round, or that the request is held back.
    """

    is_changed: bool
    is_stale: bool = False


class CrashSuspects:
    """Store a row for each suspected request, and for each shard of one."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        # Since when crashes are known, to this host or to one that it learned from.
        self.known_since_ms = -math.inf
        self._row_by_key: dict[str, SuspectRow] = {}

    def __bool__(self) -> bool:
        return bool(self._row_by_key)

    def __iter__(self) -> Iterator[SuspectRow]:
        return iter(self._row_by_key.values())

    @property
    def holds_any(self) -> bool:
        """Return whether any request is held back."""
        return any(row.is_held for row in self)

    def is_memory_short(self, now_ms: float) -> bool:
        """Return whether crashes may be forgotten, as all hosts were lost lately."""
        return now_ms - self.known_since_ms < SHORT_MEMORY_MS

    def known_for_ms(self, now_ms: float) -> float:
        """Return how far back crashes are known, negative if that is not known."""
        age_ms = now_ms - self.known_since_ms
        return age_ms if math.isfinite(age_ms) else -1.0

    def row(self, key: str) -> SuspectRow | None:
        """Return the row of a request that has crashes, or None."""
        row = self._row_by_key.get(key)
        return row if row is not None and row.crash_by_incarnation else None

    def record(
        self, key: str, incarnation: Incarnation, crash: Crash, now_ms: float
    ) -> SuspectRow | None:
        """Record a crash that this host saw; return its row, None without room."""
        row = self._row_by_key.get(key) or self._add(key, now_ms)
        if row is None:
            return None
        was_held = row.is_held
        row.is_memory_short = self.is_memory_short(now_ms)
        if row.add(incarnation, crash):
            self.counts["crashes_recorded"] += 1
        self._count_held(row, was_held)
        self._share_blame()
        return row

    def end_trial(self, row: SuspectRow, now_ms: float) -> None:
        """Record that a trial of a request ended without an answer."""
        row.trials += 1
        row.end_canary()
        row.changed_ms = now_ms
        self.counts["trials_failed"] += 1

    def clear(self, key: str, now_ms: float) -> SuspectRow | None:
        """Clear a request that was answered; return its row if it had crashes."""
        row = self.row(key)
        if row is None:
            return None
        self.counts["cleared"] += 1
        if not row.is_shared:
            del self._row_by_key[key]
        row.start_round(row.round + 1, now_ms)
        return row

    def disprove(self, incarnation: Incarnation, now_ms: float) -> list[SuspectRow]:
        """Remove the crashes of an upstream that still answers; return their rows."""
        rows = [row for row in self if incarnation in row.crash_by_incarnation]
        for row in rows:
            self.counts["crashes_disproved"] += 1
            row.remove(incarnation)
            if not row.crash_by_incarnation and not row.is_shared:
                del self._row_by_key[row.key]
                continue
            row.round += 1
            row.is_held = row.is_to_blame
        return rows

    def merge(self, report: SuspectReport, now_ms: float) -> Merged:
        """Apply another host's report, late, doubled or in any order."""
        row = self._row_by_key.get(report.key)
        if row is None:
            row = self._add(report.key, now_ms - max(0.0, report.age_ms))
            if row is None:
                return Merged(False)
            row.round = report.round
            is_changed = True
        elif report.round < row.round:
            self.counts["stale_reports_ignored"] += 1
            return Merged(False, is_stale=True)
        else:
            is_changed = report.round > row.round
            if is_changed:
                row.start_round(report.round, now_ms)
        row.is_shared = True
        row.is_memory_short = self.is_memory_short(now_ms)
        was_held, depth, needed_turn = row.is_held, row.depth, row.needs_turn
        for told in report.crashes:
            incarnation = Incarnation(told.upstream, told.started_ms)
            ended_ms = now_ms - max(0.0, told.ended_age_ms)
            crash = Crash(told.host, told.depth, ended_ms)
            row.add(incarnation, crash)
        # More crashes with the same cause are no news, but for the need of turns.
        is_changed |= row.depth > depth or row.needs_turn is not needed_turn
        if report.is_held and not row.is_held:
            row.is_held = is_changed = True
        row.canaries = max(row.canaries, report.canaries)
        if row.depth > depth or report.trials > row.trials:
            row.end_canary()
        if report.canary_age_ms >= 0.0:
            is_changed |= row.learn_canary(now_ms - report.canary_age_ms)
        if report.trials > row.trials:
            row.trials, is_changed = report.trials, True
            row.changed_ms = max(row.changed_ms, now_ms - max(0.0, report.age_ms))
        self._count_held(row, was_held)
        if is_changed:
            self._share_blame()
        if row.forgotten_ms <= now_ms:
            del self._row_by_key[row.key]
            return Merged(False)
        return Merged(is_changed, is_stale=row.is_held and not report.is_held)

    def stored_row(self, key: str) -> SuspectRow | None:
        """Return the row of a request, also of one that was cleared, or None."""
        return self._row_by_key.get(key)

    def reports(self, keys: Iterable[str], now_ms: float) -> tuple[SuspectReport, ...]:
        """Return the reports of some keys."""
        rows = (self._row_by_key.get(key) for key in keys)
        return tuple(row.report(now_ms) for row in rows if row is not None)

    def checksum(self) -> int:
        """Return a number that is equal on hosts that hold back the same requests."""
        known = [(row.key, row.round, row.trials) for row in self if row.is_held]
        return xxh3_64_intdigest(repr(sorted(known)).encode()) if known else 0

    def expire(self, now_ms: float) -> None:
        """Remove the rows that are forgotten by now."""
        for row in [row for row in self if row.forgotten_ms <= now_ms]:
            del self._row_by_key[row.key]

    def _share_blame(self) -> None:
        """Find the requests whose crashes others that are held back may have caused."""
        held = [row for row in self if row.is_held]
        if not held:
            return
        requests = Counter(
            chain.from_iterable(row.crash_by_incarnation for row in held)
        )
        for row in held:
            crashes = row.crash_by_incarnation
            row.has_shared_blame = all(requests[one] > 1 for one in crashes)

    def _count_held(self, row: SuspectRow, was_held: bool) -> None:
        self.counts["held_back"] += row.is_held and not was_held

    def _add(self, key: str, now_ms: float) -> SuspectRow | None:
        if len(self._row_by_key) >= ROWS_LIMIT and not self._evict():
            self.counts["rows_refused"] += 1
            return None
        row = self._row_by_key[key] = SuspectRow(key, now_ms)
        return row

    def _evict(self) -> bool:
        """Remove the oldest row that is not held back; return whether there was one.

        Crashes under many other requests cannot displace a request that is held back.
        """
        free = (row for row in self if not row.is_held)
        oldest = min(free, key=lambda row: row.changed_ms, default=None)
        if oldest is None:
            return False
        del self._row_by_key[oldest.key]
        self.counts["rows_evicted"] += 1
        return True
