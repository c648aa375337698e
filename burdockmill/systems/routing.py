"""Resolve upstream owners, replicas and snapshot pins from the tables."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.placement import OwnerTable
from burdockmill.slots import SLOT_COUNT, count, slot_of

if TYPE_CHECKING:
    from burdockmill.names import (
        HostId,
        ServiceId,
        ShardId,
        SnapshotId,
        UpstreamId,
    )
    from burdockmill.rules.model import ShardRule
    from burdockmill.tables.rows import UpstreamRow
    from burdockmill.world import World


# A pin that covers all slots is recomputed at most this often.
PIN_REFRESH_MS = 20.0
# Requests for a snapshot are not routed for this long to an upstream that refused it.
SNAPSHOT_BLOCK_MS = 2_000.0


class Pin(NamedTuple):
    """Fix the snapshot that a request reads on all shards, and its replicas by shard.

    `slots` counts the slots of shards with a replica that has the snapshot; `version`
    is the `holdings_version` that the pin was computed from.
    """

    snapshot: SnapshotId
    replicas_by_shard: dict[ShardId, tuple[UpstreamId, ...]]
    slots: int = 0
    version: int = -1
    resolved_ms: float = 0.0

    def with_shard(self, shard: ShardId, replicas: tuple[UpstreamId, ...]) -> Pin:
        """Return a copy of this pin with one more shard."""
        return self._replace(
            replicas_by_shard=self.replicas_by_shard | {shard: replicas}
        )


class Router:
    """Resolve owners and pins, and cache both; a change of the tables renews them."""

    def __init__(self) -> None:
        self._owners = OwnerTable()
        self._pin_by_service: dict[ServiceId, Pin] = {}
        self._blocked_until_by_holding: dict[tuple[UpstreamId, SnapshotId], float] = {}

    def owner_of(self, world: World, upstream: UpstreamId) -> HostId:
        """Return the owner of an upstream, or this host if no owner is alive."""
        return self._owners.owner_of(world, upstream)

    def pin(self, world: World, service: ServiceId, now_ms: float) -> Pin:
        """Pin the snapshot that covers the most slots, the newest among equals.

        Snapshot 0 means that none is available.
        """
        pin = self._pin_by_service.get(service)
        if pin is None or self._is_stale(world, pin, now_ms):
            pin = self._find_pin(world, service, now_ms)
            self._pin_by_service[service] = pin
        return pin

    def block_snapshot(
        self, upstream: UpstreamId, snapshot: SnapshotId, now_ms: float
    ) -> None:
        """Skip a snapshot that an upstream has refused, for SNAPSHOT_BLOCK_MS."""
        self._blocked_until_by_holding[upstream, snapshot] = now_ms + SNAPSHOT_BLOCK_MS
        self._pin_by_service.clear()

    def replicas_with_snapshot(
        self, world: World, shard: ShardRule, snapshot: SnapshotId
    ) -> tuple[UpstreamId, ...]:
        """Return replicas that accept work and have a snapshot that is not blocked."""
        return self._filter_by_snapshot(self._serving_rows(world, shard), snapshot)

    def serving_replicas(
        self, world: World, shard: ShardRule
    ) -> tuple[UpstreamId, ...]:
        """Return the replicas that accept new work, only the reachable ones if any."""
        return tuple(row.upstream for row in self._serving_rows(world, shard))

    def shard_of(self, world: World, service: ServiceId, key: str) -> ShardRule | None:
        """Return the shard that covers a key's slot, or None."""
        slot = slot_of(key)
        shards = world.rules.shards_by_service.get(service, ()) if world.rules else ()
        for shard in shards:
            if shard.slots.first <= slot <= shard.slots.last:
                return shard
        return None

    def _is_stale(self, world: World, pin: Pin, now_ms: float) -> bool:
        age_ms = now_ms - pin.resolved_ms
        if self._blocked_until_by_holding and age_ms >= SNAPSHOT_BLOCK_MS:
            return True
        if pin.version == world.holdings_version:
            return False
        return age_ms >= PIN_REFRESH_MS or pin.slots < SLOT_COUNT

    def _find_pin(self, world: World, service: ServiceId, now_ms: float) -> Pin:
        assert world.rules is not None
        self._remove_expired_blocks(now_ms)
        shards = world.rules.shards_by_service.get(service, ())
        serving = {shard.name: self._serving_rows(world, shard) for shard in shards}
        advertised = {
            snapshot
            for rows in serving.values()
            for row in rows
            for snapshot in row.snapshots
        }
        best = Pin(0, {}, 0, world.holdings_version, now_ms)
        for snapshot in sorted(advertised, reverse=True):
            replicas_by_shard = {
                name: self._filter_by_snapshot(rows, snapshot)
                for name, rows in serving.items()
            }
            slots = count(
                shard.slots for shard in shards if replicas_by_shard[shard.name]
            )
            if slots > best.slots:
                best = Pin(
                    snapshot, replicas_by_shard, slots, world.holdings_version, now_ms
                )
            if slots == SLOT_COUNT:
                break
        return best

    def _remove_expired_blocks(self, now_ms: float) -> None:
        self._blocked_until_by_holding = {
            holding: until_ms
            for holding, until_ms in self._blocked_until_by_holding.items()
            if until_ms > now_ms
        }

    def _filter_by_snapshot(
        self, rows: list[UpstreamRow], snapshot: SnapshotId
    ) -> tuple[UpstreamId, ...]:
        blocked = self._blocked_until_by_holding
        return tuple(
            row.upstream
            for row in rows
            if snapshot in row.snapshots and (row.upstream, snapshot) not in blocked
        )

    def _serving_rows(self, world: World, shard: ShardRule) -> list[UpstreamRow]:
        if world.rules is None:
            return []
        leaving = world.rules.leaving_by_upstream
        rows = [
            row
            for name in shard.replicas
            if name not in leaving
            and (row := world.upstream_by_id.get(name)) is not None
            and not row.draining
        ]
        return [row for row in rows if row.reachable] or rows
