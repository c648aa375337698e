"""Draw cuts of hosts from their upstreams, and losses of the hosts that take over.

A host that is cut off hands its requests over. The host that has them, or the one that
waits for the answer, is killed, stopped, frozen or cut off from its peers meanwhile.
"""

from __future__ import annotations

import random

from soak.plan import QUIET_END_MS, QUIET_START_MS, Step
from soak.routes import ONCE_SERVICE

MEAN_GAP_MS = 1_500.0
# What is sent over connections that remain open may have run.
CUT_KINDS = ("refuse", "cut", "reset", "hang", "one_way", "half_close")
CUT_WEIGHTS = (2.0, 6.0, 1.0, 1.0, 1.0, 1.0)
# A host that still hears from other services is refused before it hands over.
ONCE_CHANCE = 0.8
# One host that is left takes all requests over.
ALL_BUT_ONE_CHANCE = 0.6
CUT_LEAST_MS, CUT_MOST_MS = 500.0, 3_000.0
# Of the hosts that are cut off, and of the others.
LOSS_KINDS = ("kill", "stop", "pause", "peers", "upstream_kill", "upstream_pause")
LOSS_WEIGHTS = (6.0, 2.0, 3.0, 2.0, 1.0, 1.0)
LOSS_LEAST_MS, LOSS_MOST_MS = 50.0, 2_500.0
PEER_FAULTS = ("reset", "hang", "one_way", "half_close", "refuse")
ENTRY_CHANCE = 0.2
SECOND_LOSS_CHANCE = 0.35


def draw_promises(
    seed: int, duration_ms: float, hosts: int, upstreams: int
) -> tuple[Step, ...]:
    """Return the cuts of a run and the losses during them, in the order of time."""
    rng = random.Random(f"promises {seed}")
    last_ms = duration_ms - QUIET_END_MS
    steps: list[Step] = []
    at_ms = QUIET_START_MS
    while at_ms < last_ms:
        is_one_left = rng.random() < ALL_BUT_ONE_CHANCE
        count = hosts - 1 if is_one_left else rng.randint(1, hosts - 1)
        cut = rng.sample(range(hosts), count)
        [how] = rng.choices(CUT_KINDS, CUT_WEIGHTS)
        for_ms = rng.uniform(CUT_LEAST_MS, CUT_MOST_MS)
        side = ONCE_SERVICE if rng.random() < ONCE_CHANCE else "upstreams"
        steps += [Step(at_ms, "link", one, side, how, for_ms) for one in cut]
        others = [one for one in range(hosts) if one not in cut]
        for _ in range(1 + (rng.random() < SECOND_LOSS_CHANCE)):
            lost_ms = at_ms + rng.uniform(0.0, for_ms)
            number = rng.choice(cut if rng.random() < ENTRY_CHANCE else others)
            steps.append(_draw_loss(rng, lost_ms, number, upstreams))
        at_ms += rng.expovariate(1.0 / MEAN_GAP_MS)
    return tuple(
        sorted(
            one._replace(
                at_ms=round(one.at_ms),
                for_ms=round(min(one.for_ms, last_ms - one.at_ms)),
            )
            for one in steps
            if one.at_ms < last_ms
        )
    )


def _draw_loss(rng: random.Random, at_ms: float, host: int, upstreams: int) -> Step:
    [kind] = rng.choices(LOSS_KINDS, LOSS_WEIGHTS)
    for_ms = rng.uniform(LOSS_LEAST_MS, LOSS_MOST_MS)
    if kind == "peers":
        return Step(at_ms, "link", host, kind, rng.choice(PEER_FAULTS), for_ms)
    number = rng.randrange(upstreams) if kind.startswith("upstream") else host
    return Step(at_ms, kind, number, for_ms=for_ms)
