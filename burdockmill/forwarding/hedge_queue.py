"""Schedule the hedges of one request's parts."""

from __future__ import annotations

import heapq
import math
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockmill.forwarding.part_run import PartRun

    # The second value orders entries that are due at the same time.
    _Entry = tuple[float, int, PartRun]


# Hedges of a search without any answer wait so long after its first one: the request
# may crash the upstreams that run it, which shows in that time.
UNANSWERED_WAIT_MS = 30.0


class HedgeQueue:
    """Order parts by `hedge_ms`; skip entries that were rescheduled or are complete."""

    def __init__(self) -> None:
        self._entries: list[_Entry] = []
        self._order = count()
        self._first_ms: float | None = None

    @property
    def next_ms(self) -> float:
        """Return when the next part is due, in clock milliseconds, or infinity."""
        entries = self._entries
        while entries and not _is_current(entries[0]):
            heapq.heappop(entries)
        return entries[0][0] if entries else math.inf

    def schedule(self, part: PartRun, at_ms: float) -> None:
        """Schedule a part's next hedge at a clock time; replace an earlier schedule."""
        part.hedge_ms = at_ms
        heapq.heappush(self._entries, (at_ms, next(self._order), part))

    def must_wait(self, part: PartRun, now_ms: float) -> bool:
        """Return whether a hedge is put off, as no part of its search has an answer."""
        if self._first_ms is None:
            self._first_ms = now_ms
            return False
        until_ms = self._first_ms + UNANSWERED_WAIT_MS
        if now_ms >= until_ms:
            return False
        self.schedule(part, until_ms)
        return True

    def pop_due(self, now_ms: float) -> Iterator[PartRun]:
        """Yield the parts that are due, and remove them from the queue."""
        while self.next_ms <= now_ms:
            _, _, part = heapq.heappop(self._entries)
            yield part


def _is_current(entry: _Entry) -> bool:
    at_ms, _, part = entry
    return part.hedge_ms == at_ms and not part.is_complete
