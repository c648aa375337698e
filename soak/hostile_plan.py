"""Draw entries of other writers, and spoiled bytes of peers and upstreams."""

from __future__ import annotations

import random

from soak.garbling import GARBLED_ANSWERS, GARBLED_BATCHES
from soak.plan import QUIET_END_MS, QUIET_START_MS, Step

MEAN_GAP_MS = 4_000.0
LEAST_MS, MOST_MS = 500.0, 4_000.0
HOSTILE_ENTRIES = "hostile_entries"
KINDS = (HOSTILE_ENTRIES, GARBLED_BATCHES, GARBLED_ANSWERS)
SIDE_BY_KIND = {GARBLED_BATCHES: "peers", GARBLED_ANSWERS: "upstreams"}


def draw_hostile(seed: int, duration_ms: float, hosts: int) -> tuple[Step, ...]:
    """Return the hostile steps of a run, each kind in turn."""
    rng = random.Random(f"hostile {seed}")
    last_ms = duration_ms - QUIET_END_MS
    steps: list[Step] = []
    at_ms = QUIET_START_MS
    while at_ms < last_ms:
        kind = KINDS[len(steps) % len(KINDS)]
        for_ms = min(rng.uniform(LEAST_MS, MOST_MS), last_ms - at_ms)
        step = Step(round(at_ms), kind, rng.randrange(hosts), for_ms=round(for_ms))
        if kind in SIDE_BY_KIND:
            step = step._replace(kind="link", side=SIDE_BY_KIND[kind], how=kind)
        steps.append(step)
        at_ms += rng.expovariate(1.0 / MEAN_GAP_MS)
    return tuple(steps)
