"""Schedule keys by due time, in a heap with lazy deletion."""

from __future__ import annotations

import heapq
import math
from collections.abc import Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class TimerQueue(Generic[K]):
    """Store one due time for each key, in milliseconds.

    Each key stands for a timer; a due key is one whose timer has expired. No key is due
    before `earliest_ms`, which may lie before the first due time after a cancellation.
    """

    __slots__ = ("_due_by_key", "_heap", "_popped", "_sequence", "earliest_ms")

    def __init__(self) -> None:
        self.earliest_ms = math.inf
        self._due_by_key: dict[K, float] = {}
        self._heap: list[tuple[float, int, K]] = []
        self._sequence = 0
        self._popped: list[K] = []

    def __len__(self) -> int:
        return len(self._due_by_key)

    def __contains__(self, key: K) -> bool:
        return key in self._due_by_key

    def schedule(self, key: K, due_ms: float) -> None:
        """Set the due time of a key; a later call replaces an earlier one."""
        if self._due_by_key.get(key) == due_ms:
            return
        self._due_by_key[key] = due_ms
        self._sequence += 1
        heapq.heappush(self._heap, (due_ms, self._sequence, key))
        self.earliest_ms = self._heap[0][0]

    def cancel(self, key: K) -> None:
        """Remove a key; do nothing when it is not scheduled."""
        self._due_by_key.pop(key, None)

    def next_due_ms(self) -> float | None:
        """Return the earliest due time, or None."""
        while self._heap and self._is_stale():
            heapq.heappop(self._heap)
        self.earliest_ms = self._heap[0][0] if self._heap else math.inf
        return self._heap[0][0] if self._heap else None

    def is_due(self, now_ms: float) -> bool:
        """Return whether any key is due."""
        if self.earliest_ms > now_ms:
            return False
        due_ms = self.next_due_ms()
        return due_ms is not None and due_ms <= now_ms

    def pop_due(self, now_ms: float) -> list[K]:
        """Remove and return the keys that are due, earliest first."""
        keys: list[K] = []
        while self.is_due(now_ms):
            _, _, key = heapq.heappop(self._heap)
            del self._due_by_key[key]
            self.earliest_ms = self._heap[0][0] if self._heap else math.inf
            keys.append(key)
        self._popped = keys
        return keys

    def begin_run(self) -> None:
        """Forget which keys earlier runs have popped."""
        if self._popped:
            self._popped = []

    def restore_popped(self, due_ms: float, interval_ms: float) -> None:
        """Schedule the keys that this run popped and has not scheduled again.

        They become due one by one, so that one that fails each time is alone.
        """
        lost = [key for key in self._popped if key not in self]
        for index, key in enumerate(lost):
            self.schedule(key, due_ms + index * interval_ms)

    def _is_stale(self) -> bool:
        due_ms, _, key = self._heap[0]
        return self._due_by_key.get(key) != due_ms
