"""Let upstreams leave, end, name limits, and end under a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from soak.plan import Step
from soak.records import Departure, Limit, Route
from soak.soak_client import SoakClient, now_ms
from soak.soak_upstream import UpstreamPlace
from soak.store_client import StoreClient
from soak.upstream import DEADLY

DRAIN_S = 3.5
AWAY_S = 2.2
UNREGISTER_S = 0.8
LIMIT_PER_S = 5
DEADLY_GAP_S = 0.4

Impair = Callable[[Step, float, int | None], None]


class UpstreamFaults:
    """Put faults into upstreams, and record what they did on purpose."""

    def __init__(
        self, places: Sequence[UpstreamPlace], store: StoreClient, impair: Impair
    ) -> None:
        self.departures: list[Departure] = []
        self.limits: list[Limit] = []
        self._places = places
        self._store = store
        self._impair = impair

    async def replace(self, step: Step) -> None:
        """End an upstream, at once or after it has left, and start the next one."""
        place = self._places[step.number]
        if place.is_busy:
            return
        place.is_busy = True
        began_ms = now_ms()
        if step.kind == "upstream_leave":
            place.leave()
            await self._store.put(place.key, place.entry("draining"))
            self.departures.append(Departure(place.name, now_ms()))
            await asyncio.sleep(DRAIN_S)
            await self._store.remove(place.key)
            await asyncio.sleep(UNREGISTER_S)
            await place.kill()
        else:
            await place.kill()
            await asyncio.sleep(UNREGISTER_S)
            await self._store.remove(place.key)
        await self._start_next(place)
        if step.kind == "upstream_kill":
            self._impair(step, began_ms, None)
        place.is_busy = False

    async def limit(self, step: Step) -> None:
        """Let an upstream name a limit for a time."""
        place = self._places[step.number]
        name, began_ms = place.name, now_ms()
        place.limit(LIMIT_PER_S)
        await asyncio.sleep(step.for_ms / 1_000)
        place.limit(0)
        self.limits.append(Limit(name, LIMIT_PER_S, began_ms, now_ms()))

    async def suspect(self, step: Step, client: SoakClient) -> None:
        """Send a request that ends each upstream that runs it, again and again."""
        began_ms = now_ms()
        target = f"{Route.SINGLE.value}{DEADLY}-{step.at_ms:.0f}"
        async with asyncio.TaskGroup() as restarts:
            while now_ms() < began_ms + step.for_ms:
                await client.send_once(Route.SINGLE, target)
                for place in self._places:
                    if place.has_crashed and not place.is_busy:
                        place.is_busy = True
                        restarts.create_task(self._restart(place))
                await asyncio.sleep(DEADLY_GAP_S)
        self._impair(step._replace(kind="upstream_crash"), began_ms, None)

    async def _restart(self, place: UpstreamPlace) -> None:
        await place.kill()
        await asyncio.sleep(UNREGISTER_S)
        await self._store.remove(place.key)
        await self._start_next(place)
        place.is_busy = False

    async def _start_next(self, place: UpstreamPlace) -> None:
        await asyncio.sleep(AWAY_S)
        await place.start()
        await self._store.put(place.key, place.entry())
