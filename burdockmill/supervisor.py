"""Run the long-lived tasks of a host, and report which of them have ended."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterator

    from burdockmill.clock import Clock


class TaskStatus(NamedTuple):
    """Describe a long-lived task; `since_ms` is when its state last changed."""

    name: str
    is_running: bool
    since_ms: float
    last_error: str


class Supervisor:
    """Start tasks by name, and report each one that ends."""

    def __init__(self, clock: Clock) -> None:
        self.counts: Counter[str] = Counter()
        self._clock = clock
        self._status_by_name: dict[str, TaskStatus] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, coroutine: Coroutine[object, object, None]) -> None:
        """Run a coroutine as the task of this name until `close`."""
        self._set_status(name, is_running=True)
        self._tasks.append(
            asyncio.get_running_loop().create_task(self._run(name, coroutine))
        )

    def statuses(self) -> Iterator[TaskStatus]:
        """Return the status of each task."""
        yield from self._status_by_name.values()

    async def close(self) -> None:
        """Cancel all tasks and wait for their ends."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, name: str, coroutine: Coroutine[object, object, None]) -> None:
        try:
            await coroutine
        except Exception as error:
            self.counts[f"{name}_failed"] += 1
            cause = f"{type(error).__name__}: {error}"
            self._set_status(name, is_running=False, error=cause)
            logger.opt(exception=error).error("node: the {} task failed.", name)

    def _set_status(self, name: str, *, is_running: bool, error: str = "") -> None:
        self._status_by_name[name] = TaskStatus(
            name, is_running, self._clock.now_ms(), error
        )
