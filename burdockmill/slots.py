"""Map record keys to slots (hash partitions of the keys); compute with slot ranges."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

SLOT_COUNT = 16_384


class SlotRange(NamedTuple):
    """Represent the slots from `first` to `last`, both included."""

    first: int
    last: int


FULL_RANGE = SlotRange(0, SLOT_COUNT - 1)


def slot_of(key: str) -> int:
    """Return the slot of a record key."""
    return xxhash.xxh32_intdigest(key.encode()) % SLOT_COUNT


def union(ranges: Iterable[SlotRange]) -> tuple[SlotRange, ...]:
    """Return the same slots as sorted ranges that neither touch nor overlap."""
    merged: list[SlotRange] = []
    for first, last in sorted(ranges):
        if merged and first <= merged[-1].last + 1:
            merged[-1] = SlotRange(merged[-1].first, max(last, merged[-1].last))
        else:
            merged.append(SlotRange(first, last))
    return tuple(merged)


def subtract(
    ranges: Iterable[SlotRange], removed: Iterable[SlotRange]
) -> tuple[SlotRange, ...]:
    """Return the slots of `ranges` that are not in `removed`."""
    remaining: list[SlotRange] = []
    removed_ranges = union(removed)
    start = 0
    for first, last in union(ranges):
        while start < len(removed_ranges) and removed_ranges[start].last < first:
            start += 1
        index = start
        while index < len(removed_ranges) and removed_ranges[index].first <= last:
            if first < removed_ranges[index].first:
                remaining.append(SlotRange(first, removed_ranges[index].first - 1))
            first = removed_ranges[index].last + 1
            index += 1
        if first <= last:
            remaining.append(SlotRange(first, last))
    return tuple(remaining)


def overlap(remaining: Iterable[SlotRange], right: Iterable[SlotRange]) -> bool:
    """Return whether any slot is in both collections of ranges."""
    right = tuple(right)
    return any(
        a.first <= b.last and b.first <= a.last for a in remaining for b in right
    )


def count(ranges: Iterable[SlotRange]) -> int:
    """Return how many slots the ranges cover; each counts once."""
    return sum(last - first + 1 for first, last in union(ranges))
