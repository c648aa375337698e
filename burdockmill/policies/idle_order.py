"""Decide which connection is closed so that a new one has room."""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

ConnectionT = TypeVar("ConnectionT")
# While no connection can be closed, they are sorted at most this often.
SORT_INTERVAL_S = 0.1


class IdleKind(IntEnum):
    """Enumerate what a connection waits for; lower ones are closed first."""

    FIRST_REQUEST = 0
    NEXT_REQUEST = 1
    BODY = 2


class Idle(NamedTuple):
    """Describe a connection that its client keeps waiting, in the order of closing."""

    kind: IdleKind
    since_s: float


class IdleOrder(Generic[ConnectionT]):
    """Name the connections to close; among those of a kind, the longest idle first.

    `idle_of` returns None for a connection that must not be closed.
    """

    def __init__(self, idle_of: Callable[[ConnectionT], Idle | None]) -> None:
        self._idle_of = idle_of
        # Sorted once for many, since new connections may come in quick succession.
        self._sorted: deque[tuple[Idle, ConnectionT]] = deque()
        self._next_sort_s = 0.0

    def take(
        self, connections: Iterable[ConnectionT], now_s: float
    ) -> ConnectionT | None:
        """Return the next connection to close, or None if no connection is idle."""
        first = self._take_sorted()
        if first is None and now_s >= self._next_sort_s:
            self._sort(connections)
            first = self._take_sorted()
            if first is None:
                self._next_sort_s = now_s + SORT_INTERVAL_S
        return first

    def _sort(self, connections: Iterable[ConnectionT]) -> None:
        pairs = ((self._idle_of(one), one) for one in connections)
        idle = [(state, one) for state, one in pairs if state is not None]
        self._sorted.extend(sorted(idle, key=lambda pair: pair[0]))

    def _take_sorted(self) -> ConnectionT | None:
        """Return the first one that has been idle ever since they were sorted."""
        while self._sorted:
            state, connection = self._sorted.popleft()
            if self._idle_of(connection) == state:
                return connection
        return None
