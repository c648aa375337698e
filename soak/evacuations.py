"""Evacuate failure domains for a time, as operators do."""

from __future__ import annotations

import asyncio
import random

from soak.plan import QUIET_END_MS, QUIET_START_MS, Step
from soak.records import Evacuation
from soak.soak_client import now_ms
from soak.store_client import StoreClient

EVACUATE = "evacuate"
MEAN_GAP_MS = 10_000.0
# Longer than hosts have to follow, so that there is a time to check.
LEAST_MS, MOST_MS = 5_500.0, 8_000.0


def draw_evacuations(seed: int, duration_ms: float, domains: int) -> tuple[Step, ...]:
    """Return the evacuations of a run, one after the other."""
    rng = random.Random(f"evacuations {seed}")
    last_ms = duration_ms - QUIET_END_MS
    steps: list[Step] = []
    at_ms = QUIET_START_MS + rng.expovariate(1.0 / MEAN_GAP_MS)
    while at_ms + LEAST_MS < last_ms:
        for_ms = min(rng.uniform(LEAST_MS, MOST_MS), last_ms - at_ms)
        number = rng.randrange(domains)
        steps.append(Step(round(at_ms), EVACUATE, number, for_ms=round(for_ms)))
        at_ms += for_ms + rng.expovariate(1.0 / MEAN_GAP_MS)
    return tuple(steps)


class Operator:
    """Write evacuations to the store, and record when they held."""

    def __init__(self, store: StoreClient, domains: tuple[str, ...]) -> None:
        self.evacuations: list[Evacuation] = []
        self._store = store
        self._domains = domains
        self._active: set[int] = set()

    async def evacuate(self, step: Step) -> None:
        """Evacuate a failure domain for the time of a step."""
        await self._store.put(self._key(step.number), {})
        self._active.add(step.number)
        confirmed_ms = now_ms()
        await asyncio.sleep(step.for_ms / 1_000)
        self._active.discard(step.number)
        taken_back_ms = now_ms()
        await self._store.remove(self._key(step.number))
        self.evacuations.append(Evacuation(step.number, confirmed_ms, taken_back_ms))

    async def write_again(self) -> None:
        """Write what holds again, after the store came back from a copy."""
        for number in self._active:
            await self._store.put(self._key(number), {})

    def _key(self, number: int) -> str:
        return f"op/evacuate/{self._domains[number]}"
