"""Decide whether this host reads the store for its failure domain.

Load pattern: the store counts each call, and each change wakes every watch. One host
per domain watches the store and relays changes. When no host has confirmed the
catalog for a while, because the store refuses the readers or they are paused, every
host reads the store itself. So does a host that its peers do not bring up to date.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockmill.systems._ring import Ring
    from burdockmill.world import World


class StoreRole(StrEnum):
    """Enumerate the reasons for which a host reads the store; NONE if it does not."""

    NONE = "none"
    READER = "reader"
    UNCONFIRMED = "unconfirmed"
    BEHIND = "behind"


def store_role(
    world: World, ring: Ring, now_ms: float, unconfirmed_limit_ms: float
) -> StoreRole:
    """Return why this host reads the store, if it does.

    `unconfirmed_limit_ms` is how long the catalog may go unconfirmed, or be older than
    a peer's.
    """
    if world.catalog.tables is None:
        return StoreRole.UNCONFIRMED
    readers = ring.readers(world)
    if not readers or readers[0] == world.host:
        return StoreRole.READER
    if now_ms - world.fleet.confirmed_ms > unconfirmed_limit_ms:
        return StoreRole.UNCONFIRMED
    behind_since_ms = world.fleet.behind_since_ms
    if behind_since_ms is not None and now_ms - behind_since_ms > unconfirmed_limit_ms:
        return StoreRole.BEHIND
    return StoreRole.NONE
