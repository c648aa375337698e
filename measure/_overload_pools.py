"""Serve a load with hosts that each keep their own pools, as the baseline."""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING

from burdockmill.standins.virtual_fleet import VirtualFleet
from measure._overload_load import DEADLINE_MS, HOSTS, Outcome, Served
from measure._overload_owners import (
    DOMAINS,
    DRAIN_MS,
    OTHER_REGION_MS,
    SAME_DOMAIN_MS,
    ModelUpstreams,
    RegionLink,
)
from measure._overload_server import NEVER_MS, Ending, Job, Server, Shape

if TYPE_CHECKING:
    from collections.abc import Callable

    from measure._overload_load import Arrival

RETRIES = 3


class PoolHost:
    """Send each request to the least loaded upstream and retry failed attempts."""

    def __init__(
        self, fleet: VirtualFleet, index: int, shape: Shape, seed: int
    ) -> None:
        self._fleet = fleet
        self._domain = index % len(DOMAINS)
        self._rng = random.Random(seed * 97 + index)
        self._pool_limit = max(1, shape.connections // HOSTS)
        self._outstanding = [0] * shape.upstreams
        self._in_pool = [0] * shape.upstreams
        self._opened = [0] * shape.upstreams
        self._connect_ms = shape.connect_ms
        self._queues: list[deque[Callable[[], None]]] = [
            deque() for _ in range(shape.upstreams)
        ]

    def start_request(
        self, servers: list[Server], done: Callable[[], None], retries: int = RETRIES
    ) -> None:
        """Start a request; call `done` on success, else retry up to `retries` times."""
        least = min(self._outstanding)
        candidates = [i for i, count in enumerate(self._outstanding) if count == least]
        chosen = self._rng.choice(candidates)
        self._outstanding[chosen] += 1

        def on_end(ending: Ending) -> None:
            self._outstanding[chosen] -= 1
            self._in_pool[chosen] -= 1
            if ending == Ending.DONE:
                done()
            elif retries:
                self.start_request(servers, done, retries - 1)
            self._send_next(chosen)

        self._queues[chosen].append(lambda: self._send(servers, chosen, on_end))
        self._send_next(chosen)

    def _send_next(self, chosen: int) -> None:
        if self._queues[chosen] and self._in_pool[chosen] < self._pool_limit:
            self._in_pool[chosen] += 1
            self._queues[chosen].popleft()()

    def _send(
        self, servers: list[Server], chosen: int, on_end: Callable[[Ending], None]
    ) -> None:
        same = chosen % len(DOMAINS) == self._domain
        one_way_ms = SAME_DOMAIN_MS if same else OTHER_REGION_MS
        now_ms = self._fleet.clock.now_ms()
        connect_ms = 0.0
        if self._in_pool[chosen] > self._opened[chosen]:
            self._opened[chosen] += 1
            connect_ms = self._connect_ms

        def return_ending(ending: Ending) -> None:
            at_ms = self._fleet.clock.now_ms() + one_way_ms
            self._fleet.call_at(at_ms, lambda: on_end(ending))

        job = Job(NEVER_MS, return_ending)
        arrive_ms = now_ms + connect_ms + one_way_ms
        self._fleet.call_at(arrive_ms, lambda: servers[chosen].submit(job))


def run_pools(
    shape: Shape,
    load: list[Arrival],
    seed: int,
    timed_changes: tuple[tuple[float, Callable[[dict[str, Server]], None]], ...] = (),
) -> Outcome:
    """Serve a load with nine hosts that each keep their own connection pools."""
    upstreams = ModelUpstreams(shape, seed)
    fleet = VirtualFleet(seed, upstreams, RegionLink())
    upstreams.build(fleet)
    by_name = upstreams.server_by_upstream
    servers = list(by_name.values())
    hosts = [PoolHost(fleet, index, shape, seed) for index in range(HOSTS)]
    took_by_number: dict[int, float] = {}

    def start(arrival: Arrival) -> None:
        def done() -> None:
            took_ms = fleet.clock.now_ms() - arrival.at_ms
            if took_ms <= DEADLINE_MS:
                took_by_number[arrival.number] = took_ms

        hosts[arrival.host].start_request(servers, done)

    def schedule(arrival: Arrival) -> None:
        fleet.call_at(arrival.at_ms, lambda: start(arrival))

    for at_ms, change in timed_changes:
        _schedule_change(fleet, at_ms, change, by_name)
    for arrival in load:
        schedule(arrival)
    fleet.run_until(load[-1].at_ms + DEADLINE_MS + DRAIN_MS)
    return Outcome(
        [Served(row, took_by_number.get(row.number)) for row in load],
        [at for server in servers for at in server.received_at_ms],
        sum(server.shed_count for server in servers),
    )


def _schedule_change(
    fleet: VirtualFleet,
    at_ms: float,
    change: Callable[[dict[str, Server]], None],
    by_name: dict[str, Server],
) -> None:
    fleet.call_at(at_ms, lambda: change(by_name))
