"""Run attempts that can be cancelled and that stop at their deadline."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from burdockmill.messages.peer import Reason
from burdockmill.standins.refusals import RefusedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from burdockmill.names import AttemptId, RequestId

T = TypeVar("T")


class JobKey(NamedTuple):
    """Identify an attempt of a request."""

    request_id: RequestId
    attempt: AttemptId


class Job:
    """Track one attempt; once started, only a `stoppable` one can be stopped."""

    def __init__(self, stoppable: bool) -> None:
        self.stoppable = stoppable
        self.started = False
        self.cancelled = asyncio.Event()

    def start(self) -> None:
        """Mark the attempt as started; raise RefusedError if it was cancelled first."""
        if self.cancelled.is_set():
            raise RefusedError(Reason.CANCELLED)
        self.started = True

    def cancel(self) -> bool:
        """Request cancellation; return False if the attempt continues."""
        if self.started and not self.stoppable:
            return False
        self.cancelled.set()
        return True


class JobTable:
    """Track the attempts that wait or run."""

    def __init__(self) -> None:
        self._job_by_key: dict[JobKey, Job] = {}
        self.cancelled_count = 0
        self.expired_count = 0

    def __len__(self) -> int:
        return len(self._job_by_key)

    def cancel(self, key: JobKey) -> bool:
        """Cancel an attempt; return False if it is unknown or cannot be stopped."""
        job = self._job_by_key.get(key)
        return job is not None and job.cancel()

    async def run(
        self,
        key: JobKey,
        job: Job,
        remaining_ms: float | None,
        work: Callable[[Job], Awaitable[T]],
    ) -> T:
        """Return the result of `work`; raise RefusedError if it is stopped.

        A cancellation or the end of `remaining_ms` stops it, unless it has started and
        is not `stoppable`.
        """
        self._job_by_key[key] = job
        task = asyncio.ensure_future(work(job))
        cancelled = asyncio.ensure_future(job.cancelled.wait())
        try:
            timeout = None if remaining_ms is None else remaining_ms / 1000
            await asyncio.wait(
                {task, cancelled},
                timeout=timeout,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if task.done() or (job.started and not job.stoppable):
                return await task
            task.cancel()
            await asyncio.wait({task})
            raise self._stop_error(job)
        finally:
            cancelled.cancel()
            task.cancel()
            if self._job_by_key.get(key) is job:
                del self._job_by_key[key]

    def _stop_error(self, job: Job) -> RefusedError:
        if job.cancelled.is_set():
            self.cancelled_count += 1
            return RefusedError(Reason.CANCELLED, ran=job.started)
        self.expired_count += 1
        return RefusedError(Reason.DEADLINE, status=504, ran=job.started)
