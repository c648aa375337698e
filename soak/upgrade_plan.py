"""Draw the replacement of all hosts by another build, and back again."""

from __future__ import annotations

import random

from soak.plan import QUIET_END_MS, QUIET_START_MS, UPSTREAM_KINDS, Step

CURRENT, PREVIOUS = "current", "previous"
# What happens while hosts of two builds run side by side, each way.
MIXED_KINDS = ("move_route", "upstream_leave", "limit", "suspect", "cut")
AWAY_MS = 200.0
CUT_MS = 3_000.0
LIMIT_MS = 5_000.0
SUSPECT_MS = 4_000.0
FOR_MS_BY_KIND = {"limit": LIMIT_MS, "suspect": SUSPECT_MS, "cut": CUT_MS}


def draw_upgrade(
    seed: int, duration_ms: float, hosts: int, upstreams: int
) -> tuple[Step, ...]:
    """Return the steps that replace each host by the current build, and back."""
    rng = random.Random(f"upgrade {seed}")
    half_ms = (duration_ms - QUIET_START_MS - QUIET_END_MS) / 2
    steps: list[Step] = []
    for start_ms, build in (
        (QUIET_START_MS, CURRENT),
        (QUIET_START_MS + half_ms, PREVIOUS),
    ):
        gap_ms = half_ms / (hosts + 1)
        order = rng.sample(range(hosts), hosts)
        steps += [
            Step(
                round(start_ms + (place + 0.5) * gap_ms), "build", number, how=build
            )._replace(for_ms=AWAY_MS)
            for place, number in enumerate(order)
        ]
        for kind in MIXED_KINDS:
            at_ms = round(start_ms + rng.uniform(0.5, hosts - 0.5) * gap_ms)
            steps.append(_mixed_step(rng, kind, at_ms, hosts, upstreams))
    return tuple(sorted(steps))


def _mixed_step(
    rng: random.Random, kind: str, at_ms: float, hosts: int, upstreams: int
) -> Step:
    for_ms = FOR_MS_BY_KIND.get(kind, 0.0)
    if kind == "cut":
        number, how = rng.randrange(hosts), rng.choice(("hang", "reset"))
        return Step(at_ms, "link", number, "upstreams", how, for_ms)
    is_at_upstream = kind in (*UPSTREAM_KINDS, "limit")
    number = rng.randrange(upstreams if is_at_upstream else hosts)
    return Step(at_ms, kind, number, for_ms=for_ms)
