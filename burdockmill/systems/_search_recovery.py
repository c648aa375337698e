"""Recover searches whose shards failed or lost their snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import Action, LogDecision
from burdockmill.messages.peer import Reason
from burdockmill.policies.completion_policy import POLICY_BY_COMPLETION
from burdockmill.slots import SLOT_COUNT, overlap

if TYPE_CHECKING:
    from burdockmill.rules.model import ShardRule
    from burdockmill.systems._search_dispatch import SearchDispatch
    from burdockmill.systems.routing import Router
    from burdockmill.tables.search_row import SearchRow
    from burdockmill.world import World

MIN_RESTART_TIME_MS = 40.0


class SearchRecovery:
    """Choose retry targets for failed shards, and restart on another snapshot."""

    def __init__(self, router: Router, dispatch: SearchDispatch) -> None:
        self._router = router
        self._dispatch = dispatch

    def retry_targets(
        self, world: World, row: SearchRow, failed: list[ShardRule]
    ) -> list[ShardRule]:
        """Return each failed shard that has an untried replica.

        For the others, return the shards of newer rules that cover their missing slots.
        """
        targets: dict[str, ShardRule] = {}
        for shard in failed:
            replicas = row.pin.replicas_by_shard.get(shard.name, ())
            if len(row.tried_by_shard.get(shard.name, ())) < len(replicas):
                targets[shard.name] = shard
                continue
            if row.reason_by_shard.get(shard.name) == Reason.SNAPSHOT_GONE:
                row.gone_slots.add(shard.slots)
            for replacement in self._replacements(world, row, shard):
                targets[replacement.name] = replacement
        return list(targets.values())

    def restart(
        self, world: World, row: SearchRow, now_ms: float
    ) -> list[Action] | None:
        """Restart a search, at most once, on a snapshot that covers more slots.

        Return the actions, or None if the search is not restarted.
        """
        gone_count = row.gone_slots.count
        policy = POLICY_BY_COMPLETION[row.rule.completion]
        if (
            row.restarted
            or not gone_count
            or gone_count <= policy.missing_slots_limit(row.rule)
        ):
            return None
        if (
            row.request.deadline_ms - now_ms < MIN_RESTART_TIME_MS
            or world.rules is None
        ):
            return None
        pin = self._router.pin(world, row.rule.name, now_ms)
        if pin.snapshot == row.pin.snapshot or pin.slots <= SLOT_COUNT - gone_count:
            return None
        open_attempts = [
            attempt_id
            for attempt_ids in row.open_by_shard.values()
            for attempt_id in attempt_ids
        ]
        cancelled = self._dispatch.cancel(row, open_attempts, now_ms)
        decision = LogDecision(
            "pin",
            row.request.request_id,
            f"restart on snapshot {pin.snapshot}",
            f"{gone_count} slots of snapshot {row.pin.snapshot} are unavailable",
        )
        world.counter_by_name["searches_restarted"] += 1
        row.restarted = True
        shards = world.rules.shards_by_service.get(row.rule.name, ())
        row.revision = world.rules.revision
        row.begin(pin, {shard.name: shard for shard in shards})
        return [*cancelled, decision]

    def _replacements(
        self, world: World, row: SearchRow, failed: ShardRule
    ) -> list[ShardRule]:
        if world.rules is None or world.rules.revision == row.revision:
            return []
        missing = row.covered.missing_ranges(failed.slots)
        replacements: list[ShardRule] = []
        for shard in world.rules.shards_by_service.get(row.rule.name, ()):
            if shard.name in row.shard_by_name or not overlap((shard.slots,), missing):
                continue
            row.shard_by_name[shard.name] = shard
            replicas = self._router.replicas_with_snapshot(
                world, shard, row.pin.snapshot
            )
            row.pin = row.pin.with_shard(shard.name, replicas)
            replacements.append(shard)
        return replacements
