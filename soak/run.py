"""Run a site for a time, put the faults of a plan in, and record what was seen."""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from soak.check_times import PLANNED_KINDS
from soak.evacuations import Operator, draw_evacuations
from soak.hostile_entries import write_entries
from soak.hostile_plan import draw_hostile
from soak.link_proxy import LinkProxy
from soak.plan import QUIET_END_MS, RunOptions, Step, draw_plan, draw_site
from soak.process_samples import sample_of
from soak.promise_plan import draw_promises
from soak.records import (
    Arrival,
    ClientAttempt,
    Configuration,
    Impairment,
    ProcessSample,
    RunRecord,
    Stop,
    Suspicion,
)
from soak.routes import routes_of
from soak.soak_client import PROMISE_TRAFFIC, SoakClient, Traffic, now_ms
from soak.soak_host import SoakHost
from soak.soak_upstream import UpstreamPlace
from soak.store_client import StoreClient
from soak.upgrade_plan import PREVIOUS, draw_upgrade
from soak.upstream_faults import UpstreamFaults
from tests.builders_platform import configuration_of

ZONES = ("waw-a", "krk-a")
SHARD_SETS = (("a", "b"), ("e", "f", "g"))
MOVED_SERVICES = ("c", "d")
SERVICES = ("a", "b", "e", "f", "g", "c", "d")
SETTLE_S = 2.0
SAMPLE_S = 1.0
REWRITE_S = 0.3
BUSY_S = 0.1
VERSION_STEP = 2


class SoakRun:
    """Run hosts, upstreams, a store and clients as processes and tasks."""

    def __init__(
        self,
        seed: int,
        duration_ms: float,
        hosts: int,
        folder: Path,
        options: RunOptions,
    ) -> None:
        self.site = draw_site(seed)
        sizes = (duration_ms, hosts, len(SERVICES) * len(ZONES))
        draw = draw_promises if options.watches_promises else draw_plan
        plan = () if options.is_calm else draw(seed, *sizes)
        if options.previous is not None:
            plan = (*plan, *draw_upgrade(seed, *sizes))
        if options.is_hostile:
            plan = (*plan, *draw_hostile(seed, duration_ms, hosts))
        if not (options.is_calm or options.watches_promises or options.previous):
            # Hosts of an earlier build may not follow evacuations.
            plan = (*plan, *draw_evacuations(seed, duration_ms, len(ZONES)))
        self.plan = tuple(sorted(plan))
        self._previous = options.previous
        self._traffic = PROMISE_TRAFFIC if options.watches_promises else Traffic()
        self._seed = seed
        self._duration_ms = duration_ms
        self._store = StoreClient()
        self._ends: list[str] = []
        self._stray: list[str] = []
        self._attempts: list[ClientAttempt] = []
        self._arrivals: list[Arrival] = []
        self._impairments: list[Impairment] = []
        self._stops: list[Stop] = []
        self._configurations: list[Configuration] = []
        self._samples: list[ProcessSample] = []
        self._versions = itertools.count(1, VERSION_STEP)
        self._shards = 0
        self._moved = 0
        self._hosts = [
            SoakHost(number, folder, self._ends.append, self.site.cores_of(number))
            for number in range(hosts)
        ]
        for host in self._hosts:
            host.code = options.previous
        self._places = [
            UpstreamPlace(service, number, zone, self._arrived)
            for service, (number, zone) in itertools.product(SERVICES, enumerate(ZONES))
        ]
        self._upstreams = UpstreamFaults(self._places, self._store, self._impair)
        self._operator = Operator(self._store, ZONES)

    async def run(self) -> RunRecord:
        """Run the plan; return all that was seen."""
        async with AsyncExitStack() as stack:
            await self._start(stack)
            from_ms = now_ms()
            to_ms = from_ms + self._duration_ms
            clients = self._start_clients(to_ms)
            sampling = asyncio.create_task(self._sample())
            async with asyncio.TaskGroup() as faults:
                for step in self.plan:
                    faults.create_task(self._apply(step, from_ms))
            faults_end_ms = now_ms()
            await asyncio.gather(*clients)
            sampling.cancel()
            return RunRecord(
                from_ms,
                to_ms,
                min(faults_end_ms, to_ms - QUIET_END_MS),
                self._attempts,
                self._arrivals,
                self._impairments,
                self._stops,
                self._upstreams.departures,
                self._configurations,
                self._samples,
                self._ends,
                self._stray,
                self._upstreams.limits,
                self._suspicions(),
                self._operator.evacuations,
            )

    async def _start(self, stack: AsyncExitStack) -> None:
        await self._store.start()
        stack.push_async_callback(self._store.kill)
        for place in self._places:
            stack.push_async_callback(place.kill)
        await asyncio.gather(*(place.start() for place in self._places))
        for place in self._places:
            await self._store.put(place.key, place.entry())
        await self._publish()
        for host in self._hosts:
            stack.push_async_callback(host.close)
            peers = [one.peer for one in self._hosts if one is not host]
            upstreams = [place.address for place in self._places]
            await host.connect(
                upstreams, peers, self._store.address, self.site.store_bytes_per_s
            )
        await asyncio.gather(*(host.start(self._seeds) for host in self._hosts))
        await asyncio.sleep(SETTLE_S)

    def _start_clients(self, to_ms: float) -> list[asyncio.Task[None]]:
        clients = [
            self._client(f"c{number}")
            for number in range(self._traffic.clients_per_host * len(self._hosts))
        ]
        return [asyncio.create_task(one.run(to_ms)) for one in clients]

    def _client(self, name: str) -> SoakClient:
        return SoakClient(
            name,
            self._seed,
            [host.clients.address for host in self._hosts],
            self._attempts.append,
            self._stray.append,
            self._traffic,
        )

    def _suspicions(self) -> list[Suspicion]:
        number_by_peer = {host.peer: host.number for host in self._hosts}
        return [
            Suspicion(at_ms, host.number, number_by_peer[peer])
            for host in self._hosts
            for at_ms, peer in host.suspicions
        ]

    @property
    def _seeds(self) -> Sequence[str]:
        return [host.peer for host in self._hosts[:3]]

    def _arrived(self, line: dict[str, Any]) -> None:
        # Health checks have no id.
        if line.get("id"):
            self._arrivals.append(Arrival(**line))

    async def _publish(self) -> None:
        version = next(self._versions)
        shards, moved = SHARD_SETS[self._shards], MOVED_SERVICES[self._moved]
        routes = routes_of(shards, moved, self.site.idle_routes)
        await self._store.put(
            "op/config", configuration_of(routes, list(SERVICES), version)
        )
        self._configurations.append(Configuration(version, shards, moved, now_ms()))

    async def _sample(self) -> None:
        while True:
            for host in self._hosts:
                host.check_running()
                if host.pid is not None:
                    self._samples += sample_of(host.number, host.pid)
            await asyncio.sleep(SAMPLE_S)

    # Faults.

    async def _apply(self, step: Step, from_ms: float) -> None:
        await asyncio.sleep(max(0.0, from_ms + step.at_ms - now_ms()) / 1_000)
        match step.kind:
            case "link":
                await self._harm_links(step)
            case "stop" | "kill":
                await self._end_host(step)
            case "build":
                await self._replace_build(step)
            case "power_loss":
                await asyncio.gather(
                    *(
                        self._end_host(step._replace(kind="kill", number=host.number))
                        for host in self._hosts
                    )
                )
            case "pause":
                await self._pause(self._hosts[step.number], step, step.number)
            case "hup":
                self._impair(step, now_ms(), step.number)
                self._hosts[step.number].signal(signal.SIGHUP)
            case "upstream_pause":
                await self._pause(self._places[step.number], step, None)
            case "upstream_kill" | "upstream_leave":
                await self._upstreams.replace(step)
            case "hostile_entries":
                await write_entries(self._store, self._seed, step)
            case "evacuate":
                await self._operator.evacuate(step)
            case "limit":
                await self._upstreams.limit(step)
            case "suspect":
                client = self._client(f"suspect-{step.at_ms:.0f}")
                await self._upstreams.suspect(step, client)
            case "move_route":
                self._moved = 1 - self._moved
                await self._publish()
            case "reshard":
                self._shards = 1 - self._shards
                await self._publish()
            case "store_pause":
                await self._pause(self._store, step, None)
            case "store_copy":
                await self._restart_store(step)

    def _impair(self, step: Step, began_ms: float, host: int | None) -> None:
        side = "upstreams" if step.side in SERVICES else step.side
        kind = f"{step.kind} {side}".strip()
        self._impairments.append(Impairment(began_ms, now_ms(), kind, host))

    async def _harm_links(self, step: Step) -> None:
        began_ms = now_ms()
        proxies = self._proxies_of(step)
        await asyncio.gather(*(one.harm(step.how) for one in proxies))
        await asyncio.sleep(step.for_ms / 1_000)
        await asyncio.gather(*(one.heal() for one in proxies))
        self._impair(step, began_ms, step.number)

    def _proxies_of(self, step: Step) -> list[LinkProxy]:
        """Return the proxies of one side of a host, or to one service's upstreams."""
        host = self._hosts[step.number]
        if step.side not in SERVICES:
            return host.proxies(step.side)
        proxies = zip(self._places, host.proxies("upstreams"), strict=True)
        return [proxy for place, proxy in proxies if place.service == step.side]

    async def _end_host(self, step: Step) -> None:
        host = self._hosts[step.number]
        if host.is_busy:
            return
        host.is_busy = True
        began_ms = now_ms()
        if step.kind in PLANNED_KINDS:
            await host.stop()
            self._stops.append(Stop(step.number, began_ms, now_ms()))
        else:
            await host.kill()
        await asyncio.sleep(step.for_ms / 1_000)
        await host.start(self._seeds)
        self._impair(step, began_ms, step.number)
        host.is_busy = False

    async def _replace_build(self, step: Step) -> None:
        """Replace a host by one of another build, as planned work."""
        host = self._hosts[step.number]
        host.code = self._previous if step.how == PREVIOUS else None
        while host.is_busy:
            await asyncio.sleep(BUSY_S)
        await self._end_host(step)

    async def _pause(
        self,
        paused: SoakHost | UpstreamPlace | StoreClient,
        step: Step,
        host: int | None,
    ) -> None:
        began_ms = now_ms()
        paused.signal(signal.SIGSTOP)
        await asyncio.sleep(step.for_ms / 1_000)
        paused.signal(signal.SIGCONT)
        self._impair(step, began_ms, host)

    async def _restart_store(self, step: Step) -> None:
        began_ms = now_ms()
        await self._store.restart_from_copy()
        await asyncio.sleep(REWRITE_S)
        for place in self._places:
            if not place.is_busy:
                await self._store.put(place.key, place.entry())
        await self._publish()
        await self._operator.write_again()
        self._impair(step, began_ms, None)
