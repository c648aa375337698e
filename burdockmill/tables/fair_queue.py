"""Queue attempts fairly between callers, and by deadline within each."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sortedcontainers import SortedList

if TYPE_CHECKING:
    from burdockmill.names import CallerId
    from burdockmill.tables.owned_part import AttemptKey


class _Entry(NamedTuple):
    deadline_ms: float
    sequence: int
    key: AttemptKey


class FairQueue:
    """Serve callers round-robin; each caller's earliest deadline goes first.

    A caller that joins late starts in the current round, so idle time earns no credit.
    """

    def __init__(self) -> None:
        self._entries_by_caller: dict[CallerId, SortedList] = {}
        self._entry_by_key: dict[AttemptKey, tuple[CallerId, _Entry]] = {}
        self._round_by_caller: dict[CallerId, int] = {}
        self._round = 0
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def __contains__(self, key: AttemptKey) -> bool:
        return key in self._entry_by_key

    def add(self, caller: CallerId, deadline_ms: float, key: AttemptKey) -> None:
        """Add an attempt that is not queued yet; the deadline is a clock time."""
        self._sequence += 1
        entry = _Entry(deadline_ms, self._sequence, key)
        entries = self._entries_by_caller.get(caller)
        if entries is None:
            entries = self._entries_by_caller[caller] = SortedList()
            own_round = self._round_by_caller.get(caller, 0)
            self._round_by_caller[caller] = max(own_round, self._round)
        entries.add(entry)
        self._entry_by_key[key] = (caller, entry)

    def remove(self, key: AttemptKey) -> bool:
        """Remove an attempt; return False when it is not queued."""
        found = self._entry_by_key.pop(key, None)
        if found is None:
            return False
        caller, entry = found
        entries = self._entries_by_caller[caller]
        entries.remove(entry)
        if not entries:
            del self._entries_by_caller[caller]
        if not self._entry_by_key:
            self._reset()
        return True

    def pop(self) -> AttemptKey:
        """Remove and return the next attempt; raise ValueError when empty."""
        caller = min(self._entries_by_caller, key=self._order_of)
        self._round = self._round_by_caller[caller]
        self._round_by_caller[caller] += 1
        key = self._entries_by_caller[caller][0].key
        self.remove(key)
        self._remove_passed()
        return key

    def count_ahead_of(self, caller: CallerId, deadline_ms: float) -> int:
        """Return how many attempts would run before a new one of the caller."""
        own = self._entries_by_caller.get(caller, ())
        own_ahead = sum(entry.deadline_ms <= deadline_ms for entry in own)
        others = (
            min(len(entries), own_ahead + 1)
            for name, entries in self._entries_by_caller.items()
            if name != caller
        )
        return own_ahead + sum(others)

    def eviction_for(self, caller: CallerId) -> AttemptKey | None:
        """Return the attempt to evict in favour of the caller, or None.

        It is the one with the latest deadline of the caller with the longest queue,
        if that is longer than the caller's own by two or more.
        """
        longest = max(
            self._entries_by_caller,
            key=lambda name: len(self._entries_by_caller[name]),
            default=None,
        )
        if longest is None:
            return None
        own = len(self._entries_by_caller.get(caller, ()))
        if len(self._entries_by_caller[longest]) <= own + 1:
            return None
        return self._entries_by_caller[longest][-1].key

    def attempts(self) -> list[AttemptKey]:
        """Return the queued attempts."""
        return list(self._entry_by_key)

    def _order_of(self, caller: CallerId) -> tuple[int, float]:
        first = self._entries_by_caller[caller][0]
        return self._round_by_caller[caller], first.deadline_ms

    def _remove_passed(self) -> None:
        passed = [
            caller
            for caller, own_round in self._round_by_caller.items()
            if own_round <= self._round and caller not in self._entries_by_caller
        ]
        for caller in passed:
            del self._round_by_caller[caller]

    def _reset(self) -> None:
        self._round_by_caller.clear()
        self._round = 0
