"""Decide which hosts read the platform and how often, to bound the total rate."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from burdockmill.placement import READERS_PER_DOMAIN, live_hosts, readers

if TYPE_CHECKING:
    import random

    from burdockmill.world import World

FLEET_READS_PER_SECOND = 1_000
PARTITIONED_AFTER_MS = 5_000.0
MIN_READ_INTERVAL_MS = 5.0
READER_JITTER = (0.75, 1.25)
PARTITIONED_JITTER = (0.25, 1.75)
MILLISECONDS_PER_SECOND = 1_000.0


class ReadingRole(StrEnum):
    """Enumerate the reasons for which a host reads the platform, or does not."""

    NONE = "none"
    READER = "reader"
    PARTITIONED = "cut off"


def reading_role(world: World, now_ms: float) -> ReadingRole:
    """Return whether this host reads the platform, and why.

    It reads as one of its domain's readers, or if it has heard from no peer for
    PARTITIONED_AFTER_MS.
    """
    rows = world.member_by_host
    hosts = [host for host in world.fleet.hosts_by_domain[world.domain] if host in rows]
    live = live_hosts((rows[host] for host in hosts), world.domain)
    if world.host in readers(live):
        return ReadingRole.READER
    if (
        now_ms - max(world.fleet.last_contact_ms, world.fleet.started_ms)
        > PARTITIONED_AFTER_MS
    ):
        return ReadingRole.PARTITIONED
    return ReadingRole.NONE


def first_read_delay_ms(rng: random.Random, spread_ms: float) -> float:
    """Return the random delay between a host's start and its first read."""
    return rng.uniform(0.0, spread_ms)


def read_interval_ms(world: World, role: ReadingRole, rng: random.Random) -> float:
    """Return the jittered interval until the next read, in milliseconds."""
    if role is ReadingRole.READER:
        domains = sum(bool(hosts) for hosts in world.fleet.hosts_by_domain.values())
        reader_count = domains * READERS_PER_DOMAIN
        jitter = rng.uniform(*READER_JITTER)
    else:
        reader_count = len(world.member_by_host)
        jitter = rng.uniform(*PARTITIONED_JITTER)
    interval_ms = MILLISECONDS_PER_SECOND * reader_count / FLEET_READS_PER_SECOND
    return max(MIN_READ_INTERVAL_MS, interval_ms) * jitter
