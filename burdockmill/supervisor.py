"""Run the long-lived tasks of a host, and start those again that end."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from burdockmill.policies.restart_backoff import RestartBackoff

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterator

    from burdockmill.clock import Clock

    MakeCoroutine = Callable[[], Coroutine[object, object, None]]
    TimeLeft = Callable[[], float]

MILLISECONDS_PER_SECOND = 1_000.0
# The same cause is logged again after this time, with the number of ends until then.
SAME_CAUSE_INTERVAL_MS = 10_000.0
CAUSE_LIMIT_CHARACTERS = 200
# After a freeze of the process a task gets this long to notice that time has passed.
STUCK_CONFIRM_MS = 100.0
CLOSE_LIMIT_S = 1.0
RETURNED, CANCELLED, STUCK = "returned", "cancelled", "made no progress"


class TaskStatus(NamedTuple):
    """Describe a long-lived task; `since_ms` is when its state last changed."""

    name: str
    is_running: bool
    since_ms: float
    last_error: str
    ends: int = 0


class _Job:
    """Store how to run a task, and how it ended so far."""

    def __init__(
        self, name: str, run: MakeCoroutine, time_left_ms: TimeLeft | None
    ) -> None:
        self.name = name
        self.run = run
        self.time_left_ms = time_left_ms
        self.ends = 0
        self.backoff = RestartBackoff()
        self.logged_cause = ""
        self.logged_ms = 0.0


class Supervisor:
    """Start tasks by name; count, log and restart each one that ends."""

    def __init__(self, clock: Clock) -> None:
        self.counts: Counter[str] = Counter()
        self._clock = clock
        self._status_by_name: dict[str, TaskStatus] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(
        self, name: str, run: MakeCoroutine, time_left_ms: TimeLeft | None = None
    ) -> None:
        """Run a coroutine as the task of this name, again after each end.

        `time_left_ms` returns the time until the task counts as stuck if it makes no
        progress; a task that is stuck is left behind and another one started.
        """
        job = _Job(name, run, time_left_ms)
        self._set_status(job, is_running=True)
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._supervise(job)))

    def statuses(self) -> Iterator[TaskStatus]:
        """Return the status of each task."""
        yield from self._status_by_name.values()

    async def close(self) -> None:
        """Cancel all tasks and wait for their ends."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _supervise(self, job: _Job) -> None:
        while True:
            started_ms = self._clock.now_ms()
            self._set_status(job, is_running=True)
            cause, error = await self._run_once(job)
            wait_ms = job.backoff.wait_ms(self._clock.now_ms() - started_ms)
            self._record_end(job, cause, error, wait_ms)
            await asyncio.sleep(wait_ms / MILLISECONDS_PER_SECOND)

    async def _run_once(self, job: _Job) -> tuple[str, BaseException | None]:
        """Run a task until it ends or is stuck; return the cause and the error."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(job.run(), name=job.name)
        try:
            while not await self._has_ended(task, job):
                if await self._is_stuck(task, job):
                    task.cancel()
                    task.add_done_callback(_retrieve_error)
                    return STUCK, None
        except asyncio.CancelledError:
            task.cancel()
            await asyncio.wait({task}, timeout=CLOSE_LIMIT_S)
            raise
        if task.cancelled():
            return CANCELLED, None
        error = task.exception()
        if error is None:
            return RETURNED, None
        return f"{type(error).__name__}: {error}"[:CAUSE_LIMIT_CHARACTERS], error

    async def _has_ended(self, task: asyncio.Task[None], job: _Job) -> bool:
        """Wait until a task ends or its time is over; return whether it ended."""
        timeout_s = None
        if job.time_left_ms is not None:
            timeout_s = max(0.0, job.time_left_ms()) / MILLISECONDS_PER_SECOND
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        return bool(done)

    async def _is_stuck(self, task: asyncio.Task[None], job: _Job) -> bool:
        if job.time_left_ms is None or job.time_left_ms() > 0.0:
            return False
        confirm_s = STUCK_CONFIRM_MS / MILLISECONDS_PER_SECOND
        done, _ = await asyncio.wait({task}, timeout=confirm_s)
        return not done and job.time_left_ms() <= 0.0

    def _record_end(
        self, job: _Job, cause: str, error: BaseException | None, wait_ms: float
    ) -> None:
        job.ends += 1
        self.counts[f"{job.name}_failed"] += 1
        self._set_status(job, is_running=False, error=cause)
        now_ms = self._clock.now_ms()
        is_repeated = cause == job.logged_cause
        if is_repeated and now_ms - job.logged_ms < SAME_CAUSE_INTERVAL_MS:
            return
        job.logged_cause = cause
        job.logged_ms = now_ms
        logger.opt(exception=error).error(
            "node: the {} task ended ({}), {} times so far; it starts again in "
            "{:.0f} ms.",
            job.name,
            cause,
            job.ends,
            wait_ms,
        )

    def _set_status(self, job: _Job, *, is_running: bool, error: str = "") -> None:
        previous = self._status_by_name.get(job.name)
        if is_running and previous is not None:
            # The cause of the last end stays visible.
            error = previous.last_error
        self._status_by_name[job.name] = TaskStatus(
            job.name, is_running, self._clock.now_ms(), error, job.ends
        )


def _retrieve_error(task: asyncio.Task[None]) -> None:
    """Log how a task that was left behind has ended in the end."""
    if not task.cancelled() and (error := task.exception()) is not None:
        logger.warning(
            "node: the {} task that was left behind ended ({}).",
            task.get_name(),
            f"{type(error).__name__}: {error}"[:CAUSE_LIMIT_CHARACTERS],
        )
