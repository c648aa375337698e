"""Measure connections to upstreams over real sockets, as the upstreams count them."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import NamedTuple

from loguru import logger

from measure._connections_fleet import HOSTS, Fleet, OwnerFleet, PoolFleet
from measure.records import Figure, write_records

SEED = 5
SEND_INTERVAL_MS = 8.0
BURST_SEARCHES = 90
BURST_INTERVAL_TICKS = 125
WARM_UP_SECONDS = 3.0
STEADY_SECONDS = 35.0
REPLACE_PAUSE_SECONDS = 3.0
RESTART_PAUSE_SECONDS = 1.0
MILLISECONDS_PER_SECOND = 1_000.0


class Phase(NamedTuple):
    """Store the counts of one phase of a run."""

    requests: int
    complete: int
    opened: int
    over_limit: int
    peak: int

    @property
    def new_per_1000(self) -> float:
        """Return new connections per 1,000 requests."""
        return 1_000 * self.opened / max(1, self.requests)


class Load:
    """Send paced searches with bursts to random live hosts until stopped."""

    def __init__(self, fleet: Fleet) -> None:
        self.sent = 0
        self.complete = 0
        self._fleet = fleet
        self._rng = random.Random(SEED)
        self._tasks: set[asyncio.Task] = set()
        self._pacer: asyncio.Task | None = None

    def start(self) -> None:
        """Start to send searches."""
        self._pacer = asyncio.create_task(self._pace())

    async def stop(self) -> None:
        """Stop sending and wait for the open searches."""
        if self._pacer is not None:
            self._pacer.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _pace(self) -> None:
        for tick in range(1_000_000):
            for _ in range(BURST_SEARCHES if tick % BURST_INTERVAL_TICKS == 0 else 1):
                self._send()
            await asyncio.sleep(SEND_INTERVAL_MS / MILLISECONDS_PER_SECOND)

    def _send(self) -> None:
        live = self._fleet.live_hosts()
        if not live:
            return
        self.sent += 1
        task = asyncio.create_task(self._search(self._rng.choice(live), self.sent))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _search(self, host: int, number: int) -> None:
        if await self._fleet.ask(host, number):
            self.complete += 1


def main() -> None:
    """Measure hosts with owners beside hosts with own pools, and write the records."""
    logger.disable("burdockmill")
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    ours = asyncio.run(_run(OwnerFleet()))
    theirs = asyncio.run(_run(PoolFleet(random.Random(SEED))))
    names = ("steady", "owner_replaced", "restarts")
    figures = [
        Figure(
            "connections.over_limit",
            sum(phase.over_limit for phase in ours),
            "connections",
            sum(phase.over_limit for phase in theirs),
            "== 0",
        ),
        Figure(
            "connections.new_per_1000",
            ours[0].new_per_1000,
            "per 1000 requests",
            theirs[0].new_per_1000,
            "< 1",
        ),
    ]
    for name, own, other in zip(names, ours, theirs, strict=True):
        figures.extend(_phase_figures(name, own, other))
    write_records("connections", figures)


def _phase_figures(name: str, own: Phase, other: Phase) -> list[Figure]:
    success = [phase.complete / max(1, phase.requests) for phase in (own, other)]
    return [
        Figure(f"connections.peak_{name}", own.peak, "connections", other.peak),
        Figure(f"connections.opened_{name}", own.opened, "connections", other.opened),
        Figure(
            f"connections.complete_{name}",
            success[0],
            "share of requests",
            success[1],
        ),
    ]


async def _run(fleet: Fleet) -> list[Phase]:
    await fleet.start()
    load = Load(fleet)
    load.start()
    await asyncio.sleep(WARM_UP_SECONDS)
    phases = [
        await _phase(fleet, load, _start_wait(STEADY_SECONDS)),
        await _phase(fleet, load, _start_replace(fleet)),
        await _phase(fleet, load, _start_restart_all(fleet)),
    ]
    await load.stop()
    await fleet.stop()
    return phases


async def _phase(fleet: Fleet, load: Load, work: asyncio.Task) -> Phase:
    before = (load.sent, load.complete, fleet.opened, fleet.refused_over_limit)
    for upstream in fleet.upstreams:
        upstream.connections.peak_open = upstream.connections.open
    await work
    after = (load.sent, load.complete, fleet.opened, fleet.refused_over_limit)
    requests, complete, opened, over = (
        new - old for new, old in zip(after, before, strict=True)
    )
    return Phase(requests, complete, opened, over, fleet.peak)


def _start_wait(seconds: float) -> asyncio.Task:
    return asyncio.create_task(asyncio.sleep(seconds))


def _start_replace(fleet: Fleet) -> asyncio.Task:
    return asyncio.create_task(
        _replace_hosts(fleet, [fleet.busiest()], REPLACE_PAUSE_SECONDS)
    )


def _start_restart_all(fleet: Fleet) -> asyncio.Task:
    return asyncio.create_task(
        _replace_hosts(fleet, list(range(HOSTS)), RESTART_PAUSE_SECONDS)
    )


async def _replace_hosts(fleet: Fleet, hosts: list[int], pause_seconds: float) -> None:
    for host in hosts:
        await fleet.stop_host(host)
        await asyncio.sleep(pause_seconds)
        await fleet.start_host(host)
        await fleet.wait_until_ready()
        await asyncio.sleep(pause_seconds)


if __name__ == "__main__":
    main()
