"""Collect the slots that answers to a search cover, one range at a time."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from typing import TYPE_CHECKING

from burdockmill.slots import SLOT_COUNT, SlotRange

if TYPE_CHECKING:
    from collections.abc import Iterable


class CoveredSlots:
    """Store disjoint sorted ranges; `add` rewrites only those that meet the new one."""

    __slots__ = ("_firsts", "_lasts", "count")

    def __init__(self) -> None:
        self._firsts: list[int] = []
        self._lasts: list[int] = []
        self.count = 0

    @property
    def is_complete(self) -> bool:
        """Return whether every slot is covered."""
        return self.count == SLOT_COUNT

    def ranges(self) -> tuple[SlotRange, ...]:
        """Return the covered ranges, sorted, neither touching nor overlapping."""
        return tuple(map(SlotRange, self._firsts, self._lasts))

    def add(self, added: SlotRange) -> int:
        """Add a range; return how many of its slots were not covered before."""
        first, last = added
        low = bisect_left(self._lasts, first - 1)
        high = bisect_right(self._firsts, last + 1)
        if low < high:
            first = min(first, self._firsts[low])
            last = max(last, self._lasts[high - 1])
        already_covered = sum(
            self._lasts[index] - self._firsts[index] + 1 for index in range(low, high)
        )
        self._firsts[low:high] = [first]
        self._lasts[low:high] = [last]
        newly_covered = last - first + 1 - already_covered
        self.count += newly_covered
        return newly_covered

    def missing_ranges(self, wanted: SlotRange) -> list[SlotRange]:
        """Return the ranges of `wanted` that are not covered."""
        missing: list[SlotRange] = []
        first, last = wanted
        for index in range(bisect_left(self._lasts, first), len(self._firsts)):
            if self._firsts[index] > last:
                break
            if self._firsts[index] > first:
                missing.append(SlotRange(first, self._firsts[index] - 1))
            first = self._lasts[index] + 1
        if first <= last:
            missing.append(SlotRange(first, last))
        return missing

    def missing_count(self, wanted: Iterable[SlotRange]) -> int:
        """Return how many slots of disjoint ranges are not covered."""
        return sum(
            last - first + 1
            for span in wanted
            for first, last in self.missing_ranges(span)
        )
