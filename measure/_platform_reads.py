"""Count the platform reads that follow from the hosts' reading schedule.

The readers are the few hosts of a failure domain that read the platform for all of it.
"""

from __future__ import annotations

import random
from collections import Counter

from burdockmill.reading import (
    ReadingRole,
    first_read_delay_ms,
    read_interval_ms,
    reading_role,
)
from burdockmill.settings import Settings
from burdockmill.tables.rows import MemberRow
from burdockmill.world import World

START_SPREAD_MS = Settings._field_defaults["start_spread_ms"]
CHUNK_COUNT = 450
READ_MS = 5.0
WATCH_TIMEOUT_MS = 20_000.0
CHANGE_INTERVAL_MS = 1_030.0
LIST_CHANGE_INTERVAL_MS = 3_000.0
STEADY_SECONDS = 60
MS_PER_SECOND = 1_000.0


def make_domain_worlds(members: int, domains: int) -> list[World]:
    """Return the tables (`World`) of each host of one domain.

    Each has the rows of all members of the fleet.
    """
    rows = [
        MemberRow(
            f"host-{n}", f"domain-{n % domains}", "r", "10.0.0.1:1", incarnation=1
        )
        for n in range(members)
    ]
    found = []
    for row in rows:
        if row.domain == "domain-0":
            world = World(row.host, row.domain, random.Random(row.host))
            world.member_by_host = {one.host: one for one in rows}
            for one in rows:
                world.fleet.hosts_by_domain[one.domain].add(one.host)
            found.append(world)
    return found


def most_reads_steady(members: int, domains: int, seed: int) -> int:
    """Return the most reads in a second while readers follow changes."""
    host_worlds = make_domain_worlds(members, domains)
    reader_worlds = [
        w for w in host_worlds if reading_role(w, 0.0) is ReadingRole.READER
    ]
    rng = random.Random(seed)
    reads: Counter[int] = Counter()
    for _ in range(domains):
        for world in reader_worlds:
            _count_follow_reads(world, rng, reads, CHANGE_INTERVAL_MS, 1)
            _count_follow_reads(world, rng, reads, LIST_CHANGE_INTERVAL_MS, 0)
    return max(reads.values())


def most_reads_cold_start(members: int, domains: int, seed: int) -> int:
    """Return the most reads in a second when all hosts start at once."""
    host_worlds = make_domain_worlds(members, domains)
    rng = random.Random(seed)
    reads: Counter[int] = Counter()
    for number in range(members):
        world = host_worlds[number % len(host_worlds)]
        at_ms = first_read_delay_ms(rng, START_SPREAD_MS)
        reads[int(at_ms // MS_PER_SECOND)] += 1
        role = reading_role(world, at_ms)
        if role is ReadingRole.READER:
            _count_load_reads(world, role, rng, reads, at_ms, CHUNK_COUNT + 1)
            _count_load_reads(world, role, rng, reads, at_ms, 1)
    return max(reads.values())


def most_reads_partitioned(members: int, domains: int, seed: int) -> int:
    """Return the most reads in a second when hosts are partitioned from each other."""
    host_worlds = make_domain_worlds(members, domains)
    rng = random.Random(seed)
    reads: Counter[int] = Counter()
    for number in range(members):
        world = host_worlds[number % len(host_worlds)]
        role = ReadingRole.PARTITIONED
        _count_load_reads(world, role, rng, reads, rng.uniform(0.0, MS_PER_SECOND), 10)
    return max(reads.values())


def _count_follow_reads(
    world: World,
    rng: random.Random,
    reads: Counter[int],
    change_ms: float,
    chunks: int,
) -> None:
    at_ms = rng.uniform(0.0, change_ms)
    while at_ms < STEADY_SECONDS * MS_PER_SECOND:
        for _ in range(1 + chunks):
            at_ms += read_interval_ms(world, ReadingRole.READER, rng)
            reads[int(at_ms // MS_PER_SECOND)] += 1
            at_ms += READ_MS
        next_change = (at_ms // change_ms + 1) * change_ms
        at_ms = min(next_change, at_ms + WATCH_TIMEOUT_MS)


def _count_load_reads(
    world: World,
    role: ReadingRole,
    rng: random.Random,
    reads: Counter[int],
    at_ms: float,
    count: int,
) -> None:
    for _ in range(count):
        at_ms += read_interval_ms(world, role, rng)
        reads[int(at_ms // MS_PER_SECOND)] += 1
        at_ms += READ_MS
