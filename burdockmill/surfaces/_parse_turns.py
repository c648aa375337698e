"""Let connections with much to parse take turns."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol


class TakesTurns(Protocol):
    """Parse a bounded part of what was received."""

    def take_turn(self) -> None:
        """Parse one part; ask for another turn if more is left."""


class ParseTurns:
    """Run one turn in each iteration of the event loop, so that others get theirs."""

    def __init__(self) -> None:
        self._waiting: deque[TakesTurns] = deque()

    def add(self, connection: TakesTurns) -> None:
        """Queue a turn; a connection waits for one at a time."""
        self._waiting.append(connection)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        connection = self._waiting[0]
        try:
            connection.take_turn()
        finally:
            self._waiting.popleft()
            if self._waiting:
                asyncio.get_running_loop().call_soon(self._run)
