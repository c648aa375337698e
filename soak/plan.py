"""Draw the faults of a run from its seed."""

from __future__ import annotations

import random
from pathlib import Path
from typing import NamedTuple

# The first fault comes once clients are served, the last well before the end.
QUIET_START_MS = 4_000.0
QUIET_END_MS = 15_000.0
MEAN_GAP_MS = 2_500.0
SERIES_CHANCE = 0.2
SERIES_LENGTH = 3
SERIES_GAP_MS = 400.0
LEAST_MS, MOST_MS = 100.0, 6_000.0

LINK_FAULTS = ("hang", "reset", "refuse", "slow", "trickle", "one_way", "half_close")
LINK_SIDES = ("clients", "upstreams", "peers", "store")
HOST_KINDS = ("stop", "kill", "pause", "hup")
UPSTREAM_KINDS = ("upstream_kill", "upstream_pause", "upstream_leave")
SITE_KINDS = ("move_route", "reshard", "store_pause", "store_copy", "power_loss")
# Idle routes make a configuration of some 400 kB, as operators of many services have.
IDLE_ROUTES = 1_500
LARGE_CHANCE = 0.5
SLOW_STORE_CHANCE = 0.5
STRONG_CORES, WEAK_CORES = 2.0, 0.5
SLOW_STORE_BYTES_PER_S = 400_000.0
WEIGHT_BY_KIND = {
    "link": 6.0,
    "stop": 3.0,
    "kill": 2.0,
    "pause": 2.0,
    "hup": 1.0,
    "upstream_kill": 2.0,
    "upstream_pause": 1.0,
    "upstream_leave": 2.0,
    "move_route": 2.0,
    "reshard": 1.0,
    "store_pause": 1.0,
    "store_copy": 0.5,
    "power_loss": 0.5,
}


class RunOptions(NamedTuple):
    """What a run has beyond the faults of its seed.

    `previous` is the folder of an earlier build, by which hosts are replaced. A calm
    run has none of the seed's faults. A hostile one has entries of other writers and
    spoiled bytes as well. One that watches promises has, in place of the seed's faults,
    cuts under which hosts that took requests over are lost.
    """

    previous: Path | None = None
    is_calm: bool = False
    is_hostile: bool = False
    watches_promises: bool = False


class Site(NamedTuple):
    """What a site is like for a whole run.

    `idle_routes` get no requests. `store_bytes_per_s` is what the link between a host
    and the store carries, 0 if it has no limit. With `is_uneven` the first host is
    strong.
    """

    idle_routes: int = 0
    store_bytes_per_s: float = 0.0
    is_uneven: bool = False

    def cores_of(self, host: int) -> float:
        """Return the processor time of a host, 0 if all are of unknown strength."""
        if not self.is_uneven:
            return 0.0
        return WEAK_CORES if host else STRONG_CORES


class Step(NamedTuple):
    """One fault: at `at_ms` from the start, for `for_ms` where it lasts.

    `number` is the host's or upstream's; `side` and `how` belong to faults of links.
    """

    at_ms: float
    kind: str
    number: int = 0
    side: str = ""
    how: str = ""
    for_ms: float = 0.0

    def __str__(self) -> str:
        words = [f"{self.at_ms / 1_000:7.2f} s", self.kind, str(self.number)]
        words += [one for one in (self.side, self.how) if one]
        return " ".join([*words, f"{self.for_ms:.0f} ms"])


def draw_site(seed: int) -> Site:
    """Return what the site of a run is like."""
    rng = random.Random(f"site {seed}")
    idle_routes = IDLE_ROUTES if rng.random() < LARGE_CHANCE else 0
    is_slow = rng.random() < SLOW_STORE_CHANCE
    bytes_per_s = SLOW_STORE_BYTES_PER_S if is_slow else 0.0
    return Site(idle_routes, bytes_per_s, is_uneven=seed % 2 == 0)


def draw_plan(
    seed: int, duration_ms: float, hosts: int, upstreams: int
) -> tuple[Step, ...]:
    """Return the faults of a run, in the order of their times."""
    rng = random.Random(seed)
    steps: list[Step] = []
    at_ms = QUIET_START_MS
    while at_ms < duration_ms - QUIET_END_MS:
        step = _draw(rng, at_ms, hosts, upstreams)
        repeats = SERIES_LENGTH if rng.random() < SERIES_CHANCE else 1
        for number in range(repeats):
            gap_ms = number * SERIES_GAP_MS
            steps.append(step._replace(at_ms=round(at_ms + gap_ms)))
        at_ms += rng.expovariate(1.0 / MEAN_GAP_MS)
    last_ms = duration_ms - QUIET_END_MS
    within = (one for one in steps if one.at_ms < last_ms)
    bounded = [
        one._replace(for_ms=min(one.for_ms, round(last_ms - one.at_ms)))
        for one in within
    ]
    return tuple(sorted(bounded))


def _draw(rng: random.Random, at_ms: float, hosts: int, upstreams: int) -> Step:
    kinds = list(WEIGHT_BY_KIND)
    kind = rng.choices(kinds, list(WEIGHT_BY_KIND.values()))[0]
    for_ms = round(LEAST_MS * (MOST_MS / LEAST_MS) ** rng.random())
    number = rng.randrange(upstreams if kind in UPSTREAM_KINDS else hosts)
    if kind != "link":
        return Step(at_ms, kind, number, for_ms=for_ms)
    side, how = rng.choice(LINK_SIDES), rng.choice(LINK_FAULTS)
    return Step(at_ms, kind, number, side, how, for_ms)
