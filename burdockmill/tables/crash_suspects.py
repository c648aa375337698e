"""Store the requests under which upstreams ended, as all hosts reported them.

Crashes are named by the incarnation that ended, so that a report which arrives twice,
or from several hosts, counts once.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from xxhash import xxh3_64_intdigest

from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.messages.suspects import CrashReport, SuspectReport
from burdockmill.policies.crash_blame import (
    CLEARED_MS,
    HELD_DEPTH,
    HELD_MS,
    SUSPECTED_MS,
    Crash,
    greatest_depth,
    next_trial_ms,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

ROWS_LIMIT = 1_024
# More crashes than are needed to hold a request back are not stored.
CRASHES_LIMIT = 8


class Merged(NamedTuple):
    """Tell what a report changed; `is_stale` if this host knows a higher round."""

    is_changed: bool
    is_stale: bool = False


class SuspectRow:
    """Store the crashes under one request since its last answer.

    `changed_ms` is when the last crash was recorded, or the row was cleared.
    `is_shared` is set once other hosts were told, `is_logged` while the log states that
    it is held back. Until `trial_until_ms` a trial is in flight.
    """

    __slots__ = (
        "changed_ms",
        "crash_by_incarnation",
        "is_held",
        "is_logged",
        "is_shared",
        "key",
        "round",
        "trial_until_ms",
        "trials",
    )

    def __init__(self, key: str, now_ms: float) -> None:
        self.key = key
        self.round = 0
        self.is_held = False
        self.is_logged = False
        self.is_shared = False
        self.trials = 0
        self.changed_ms = now_ms
        self.trial_until_ms = now_ms
        self.crash_by_incarnation: dict[Incarnation, Crash] = {}

    @property
    def next_trial_ms(self) -> float:
        """Return when the next trial is due, in clock milliseconds."""
        return next_trial_ms(self.trials, self.changed_ms)

    @property
    def forgotten_ms(self) -> float:
        """Return when the row expires, in clock milliseconds."""
        if self.is_held:
            return self.changed_ms + HELD_MS
        kept_ms = SUSPECTED_MS if self.crash_by_incarnation else CLEARED_MS
        return self.changed_ms + kept_ms

    @property
    def depth(self) -> int:
        """Return how many crashes followed one from the other."""
        return greatest_depth(self.crash_by_incarnation.values())

    def report(self, now_ms: float) -> SuspectReport:
        """Return what this host knows, for other hosts."""
        crashes = tuple(
            CrashReport(*incarnation, one.host, one.depth, now_ms - one.ended_ms)
            for incarnation, one in self.crash_by_incarnation.items()
        )
        age_ms = now_ms - self.changed_ms
        return SuspectReport(
            self.key, self.round, self.is_held, self.trials, age_ms, crashes
        )

    def start_round(self, number: int, now_ms: float) -> None:
        """Forget all crashes: an answer showed that the request does not cause them."""
        self.round = number
        self.is_held = False
        self.trials = 0
        self.changed_ms = now_ms
        self.crash_by_incarnation.clear()

    def add(self, incarnation: Incarnation, crash: Crash) -> bool:
        """Add a crash; return whether it was new and is stored."""
        crashes = self.crash_by_incarnation
        if incarnation in crashes:
            return False
        crashes[incarnation] = crash
        self.changed_ms = max(self.changed_ms, crash.ended_ms)
        self.is_held = self.is_held or self.depth >= HELD_DEPTH
        if len(crashes) > CRASHES_LIMIT:
            del crashes[self._least_telling()]
        return incarnation in crashes

    def remove(self, incarnation: Incarnation) -> None:
        """Remove a crash that was none; those that followed from it are less deep."""
        removed = self.crash_by_incarnation.pop(incarnation)
        crashes = self.crash_by_incarnation
        if any(crash.depth == removed.depth for crash in crashes.values()):
            return
        for other, crash in crashes.items():
            if crash.depth > removed.depth:
                crashes[other] = crash._replace(depth=crash.depth - 1)

    def _least_telling(self) -> Incarnation:
        """Return a crash of the depth that most others have too."""
        crashes = self.crash_by_incarnation
        count_by_depth = Counter(crash.depth for crash in crashes.values())
        return max(crashes, key=lambda one: (count_by_depth[crashes[one].depth], one))


class CrashSuspects:
    """Store a row for each suspected request, and for each shard of one."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._row_by_key: dict[str, SuspectRow] = {}

    def __bool__(self) -> bool:
        return bool(self._row_by_key)

    def __iter__(self) -> Iterator[SuspectRow]:
        return iter(self._row_by_key.values())

    @property
    def holds_any(self) -> bool:
        """Return whether any request is held back."""
        return any(row.is_held for row in self)

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
        if row.add(incarnation, crash):
            self.counts["crashes_recorded"] += 1
        self._count_held(row, was_held)
        return row

    def end_trial(self, row: SuspectRow, now_ms: float) -> None:
        """Record that a trial of a request ended without an answer."""
        row.trials += 1
        row.trial_until_ms = now_ms
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
            row.is_held = row.depth >= HELD_DEPTH
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
        was_held, depth = row.is_held, row.depth
        for told in report.crashes:
            incarnation = Incarnation(told.upstream, told.started_ms)
            ended_ms = now_ms - max(0.0, told.ended_age_ms)
            crash = Crash(told.host, told.depth, ended_ms)
            row.add(incarnation, crash)
        # More crashes with the same cause are no news.
        is_changed = is_changed or row.depth > depth
        if report.is_held and not row.is_held:
            row.is_held = is_changed = True
        if report.trials > row.trials:
            row.trials, is_changed = report.trials, True
            row.changed_ms = max(row.changed_ms, now_ms - max(0.0, report.age_ms))
        self._count_held(row, was_held)
        if row.forgotten_ms <= now_ms:
            del self._row_by_key[row.key]
            return Merged(False)
        return Merged(is_changed)

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
