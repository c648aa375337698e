"""Limit an upstream's concurrent requests to its slots and queue."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class ShedError(Exception):
    """Report that all slots are busy and the queue is full."""


class AdmissionControl:
    """Run at most `slots` requests at a time and queue at most `queue_limit`."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.busy = 0
        self.busy_peak = 0
        self.queued = 0
        self.shed_count = 0
        self._semaphore = asyncio.Semaphore(slots)

    @asynccontextmanager
    async def enter(self) -> AsyncIterator[None]:
        """Wait for a slot and occupy it; raise ShedError if the queue is full."""
        await self._acquire()
        self.busy += 1
        self.busy_peak = max(self.busy_peak, self.busy)
        try:
            yield
        finally:
            self.busy -= 1
            self._semaphore.release()

    async def _acquire(self) -> None:
        if self._semaphore.locked() and self.queued >= self.queue_limit:
            self.shed_count += 1
            raise ShedError
        self.queued += 1
        try:
            await self._semaphore.acquire()
        finally:
            self.queued -= 1
