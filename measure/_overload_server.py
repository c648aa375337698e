"""Model upstream servers with slots, a short queue and failures on a virtual clock."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.rules.model import Completion

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from burdockmill.standins.virtual_fleet import VirtualFleet

FAILURE_MS = 1.0
GAMMA_SHAPE = 4.0
NEVER_MS = float("inf")


class Ending(Enum):
    """Enumerate the ways in which a job ends."""

    DONE = "done"
    SHED = "shed"
    BROKEN = "broken"
    EXPIRED = "expired"
    CANCELLED = "cancelled"


class Shape(NamedTuple):
    """Describe the size of a service's upstreams; times in milliseconds."""

    name: str
    upstreams: int
    slots: int
    connections: int
    connect_ms: float
    service_ms: float = 20.0
    queue_limit: int = 8
    completion: Completion = Completion.COVERAGE

    @property
    def capacity_per_ms(self) -> float:
        """Return the requests a millisecond that all slots together serve."""
        return self.upstreams * self.slots / self.service_ms


PLANNER = Shape("planner", 3, 2, 25, 6.0)
CLUBROLL = Shape("clubroll", 3, 6, 50, 1.0, completion=Completion.LATENCY)


class Job:
    """Track one attempt at a server; `finish` is called once, with its ending."""

    __slots__ = ("deadline_ms", "finish", "is_over")

    def __init__(self, deadline_ms: float, finish: Callable[[Ending], None]) -> None:
        self.deadline_ms = deadline_ms
        self.finish = finish
        self.is_over = False

    def end(self, ending: Ending) -> None:
        """End the job; later calls have no effect."""
        if not self.is_over:
            self.is_over = True
            self.finish(ending)


class Server:
    """Run jobs in slots, first come first served, and shed above a short queue.

    A `failing_share` of new jobs fails at once; at 1, running jobs fail as well.
    """

    def __init__(self, fleet: VirtualFleet, rng: random.Random, shape: Shape) -> None:
        self.failing_share = 0.0
        self.received_at_ms: list[float] = []
        self.shed_count = 0
        self._fleet = fleet
        self._rng = rng
        self._shape = shape
        self._queue: deque[Job] = deque()
        self._running: set[Job] = set()

    def submit(self, job: Job) -> None:
        """Run or queue a job, or shed it when the queue is full."""
        now_ms = self._fleet.clock.now_ms()
        self.received_at_ms.append(now_ms)
        if self._rng.random() < self.failing_share:
            self._fleet.call_at(now_ms + FAILURE_MS, lambda: job.end(Ending.BROKEN))
            return
        if job.deadline_ms < NEVER_MS:
            self._fleet.call_at(job.deadline_ms, lambda: self.drop(job, Ending.EXPIRED))
        if len(self._running) < self._shape.slots:
            self._start(job)
        elif len(self._queue) < self._shape.queue_limit:
            self._queue.append(job)
        else:
            self.shed_count += 1
            job.end(Ending.SHED)

    def drop(self, job: Job, ending: Ending) -> None:
        """End a queued or running job early and free its place."""
        if job.is_over:
            return
        job.end(ending)
        if job in self._running:
            self._running.remove(job)
            self._start_next()
        elif job in self._queue:
            self._queue.remove(job)

    def _start(self, job: Job) -> None:
        self._running.add(job)
        mean_ms = self._shape.service_ms
        took_ms = self._rng.gammavariate(GAMMA_SHAPE, mean_ms / GAMMA_SHAPE)
        done_ms = self._fleet.clock.now_ms() + took_ms
        self._fleet.call_at(done_ms, lambda: self._complete(job))

    def _complete(self, job: Job) -> None:
        if job not in self._running:
            return
        self._running.remove(job)
        self._start_next()
        job.end(Ending.BROKEN if self.failing_share == 1.0 else Ending.DONE)

    def _start_next(self) -> None:
        if self._queue:
            self._start(self._queue.popleft())
