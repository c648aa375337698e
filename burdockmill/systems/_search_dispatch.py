"""Send, hedge and cancel the attempts of searches."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from burdockmill.messages.actions import Action, LogDecision, SendToPeer
from burdockmill.messages.peer import Part, Reason, WorkCancel, WorkRequest
from burdockmill.systems._answer_margin import ANSWER_MARGIN_MS
from burdockmill.tables.search_row import AttemptRow, HedgeWave

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.names import AttemptId, HostId, ShardId
    from burdockmill.policies.hedging_policy import HedgingPolicy
    from burdockmill.policies.placement_policy import PlacementPolicy
    from burdockmill.rules.model import ShardRule
    from burdockmill.systems.routing import Router
    from burdockmill.tables.search_row import SearchRow
    from burdockmill.tables.upstream_view import UpstreamViews
    from burdockmill.world import World

HEDGE_RETRY_MS = 5.0
ROUTE, RETRY, HEDGE = "route", "retry", "hedge"


class SearchDispatch:
    """Send, hedge and cancel the attempts of searches."""

    def __init__(
        self,
        router: Router,
        placement: PlacementPolicy,
        hedging: HedgingPolicy,
        views: UpstreamViews,
    ) -> None:
        self._router = router
        self._placement = placement
        self._hedging = hedging
        self._views = views

    def send_attempts(
        self,
        world: World,
        row: SearchRow,
        shards: Iterable[ShardRule],
        now_ms: float,
        purpose: str = ROUTE,
    ) -> list[Action]:
        """Send an attempt per shard, grouped by owner.

        Record the reason for a shard that never got one.
        """
        actions: list[Action] = []
        parts_by_owner: dict[HostId, list[Part]] = {}
        sent_shards: list[ShardId] = []
        for shard in shards:
            started = self._start_attempt(world, row, shard, now_ms, purpose)
            if started is None:
                self._record_unsent(row, shard)
                continue
            attempt, decision = started
            parts_by_owner.setdefault(attempt.owner, []).append(attempt.part)
            sent_shards.append(shard.name)
            actions.append(decision)
        self._schedule_hedges(row, sent_shards, now_ms)
        for owner, parts in parts_by_owner.items():
            actions.append(SendToPeer(owner, self._work_request(row, parts, now_ms)))
        return actions

    def deposit_budgets(self, world: World, row: SearchRow) -> None:
        """Credit the hedge budget with the first attempts; widen the retry budget."""
        fan_out = len(row.shard_by_name)
        self._hedging.deposit(row.rule, fan_out)
        world.retry_budget.raise_limit(row.rule.name, fan_out)

    def send_hedges(self, world: World, row: SearchRow, now_ms: float) -> list[Action]:
        """Hedge open shards that are due; postpone those without replica or budget."""
        hedged: list[ShardRule] = []
        postponed: list[ShardId] = []
        retry_allowance = world.retry_budget.remaining(row.rule.name)
        for shard in self._pop_due_shards(row, now_ms):
            candidates = self._candidates(world, row, shard, now_ms, HEDGE)
            is_possible = bool(candidates) and len(hedged) < retry_allowance
            if is_possible and self._hedging.withdraw(row.rule):
                hedged.append(shard)
                hedge_count = row.hedges_by_shard.get(shard.name, 0)
                row.hedges_by_shard[shard.name] = hedge_count + 1
            else:
                postponed.append(shard.name)
        world.counter_by_name["hedges_sent"] += len(hedged)
        world.counter_by_name["hedges_postponed"] += len(postponed)
        if postponed:
            self._push_hedge_wave(row, now_ms + HEDGE_RETRY_MS, postponed)
        return self.send_attempts(world, row, hedged, now_ms, HEDGE) if hedged else []

    def cancel(
        self, row: SearchRow, attempts: Iterable[AttemptId], now_ms: float
    ) -> list[Action]:
        """Cancel open attempts with one message to each owner."""
        attempts_by_owner: dict[HostId, list[AttemptId]] = {}
        delay_ms = self._hedging.delay_ms(row.rule, 0) or 0.0
        for attempt_id in attempts:
            attempt = row.attempt_by_id[attempt_id]
            upstream = attempt.part.upstream
            took_ms = now_ms - attempt.sent_ms
            # A first attempt cancelled after the hedge delay is a latency sample; an
            # earlier cancellation says nothing about the upstream's speed.
            if took_ms >= delay_ms and not attempt.is_hedge:
                self._views.record_ended(row.rule.name, upstream, took_ms, True)
            else:
                self._views.record_without_latency(upstream)
            attempts_by_owner.setdefault(attempt.owner, []).append(attempt_id)
        return [
            SendToPeer(owner, WorkCancel(row.request.request_id, attempt_ids))
            for owner, attempt_ids in attempts_by_owner.items()
        ]

    def _start_attempt(
        self,
        world: World,
        row: SearchRow,
        shard: ShardRule,
        now_ms: float,
        purpose: str,
    ) -> tuple[AttemptRow, LogDecision] | None:
        candidates = self._candidates(world, row, shard, now_ms, purpose)
        if not candidates or not self._admit_by_retry_budget(world, row, purpose):
            return None
        upstream, reason = self._placement.choose(world, candidates, now_ms)
        shard_name = shard.name
        row.tried_by_shard[shard_name] = (
            *row.tried_by_shard.get(shard_name, ()),
            upstream,
        )
        owner = self._router.owner_of(world, upstream)
        attempt_id = row.next_attempt
        row.next_attempt += 1
        attempt = AttemptRow(
            Part(attempt_id, upstream, shard_name, shard.slots),
            owner,
            now_ms,
            purpose == HEDGE,
        )
        row.attempt_by_id[attempt_id] = attempt
        row.open_by_shard.setdefault(shard_name, []).append(attempt_id)
        row.open_count += 1
        domain = world.rules.upstream_by_id[upstream].domain if world.rules else ""
        self._views.record_sent(row.rule.name, upstream, domain, now_ms)
        decision = LogDecision(
            purpose,
            row.request.request_id,
            f"{shard_name} to {upstream} by {owner}",
            reason,
            tuple(other for other in candidates if other != upstream),
        )
        return attempt, decision

    def _pop_due_shards(self, row: SearchRow, now_ms: float) -> list[ShardRule]:
        due_shards: list[ShardRule] = []
        while row.hedge_waves and row.hedge_waves[0].due_ms <= now_ms:
            shard_names = heapq.heappop(row.hedge_waves).shards
            due_shards.extend(row.shard_by_name[name] for name in shard_names)
        return [
            shard
            for shard in due_shards
            if row.open_by_shard.get(shard.name) and self._untried_replicas(row, shard)
        ]

    def _candidates(
        self,
        world: World,
        row: SearchRow,
        shard: ShardRule,
        now_ms: float,
        purpose: str,
    ) -> list[str]:
        untried = self._untried_replicas(row, shard)
        if purpose == ROUTE:
            return untried
        return [name for name in untried if world.refusals.has_room(name, now_ms)]

    def _admit_by_retry_budget(
        self, world: World, row: SearchRow, purpose: str
    ) -> bool:
        return world.retry_budget.admit(row.rule.name, is_first=purpose == ROUTE)

    def _untried_replicas(self, row: SearchRow, shard: ShardRule) -> list[str]:
        tried = row.tried_by_shard.get(shard.name, ())
        replicas = row.pin.replicas_by_shard.get(shard.name, ())
        return [name for name in replicas if name not in tried]

    def _record_unsent(self, row: SearchRow, shard: ShardRule) -> None:
        if shard.name not in row.tried_by_shard:
            reason = Reason.NO_REPLICA if row.pin.snapshot else Reason.NO_SNAPSHOT
            row.reason_by_shard[shard.name] = reason

    def _schedule_hedges(
        self, row: SearchRow, sent_shards: list[ShardId], now_ms: float
    ) -> None:
        shards_by_hedge_count: dict[int, list[ShardId]] = {}
        for name in sent_shards:
            if len(row.tried_by_shard[name]) < len(row.pin.replicas_by_shard[name]):
                hedge_count = row.hedges_by_shard.get(name, 0)
                shards_by_hedge_count.setdefault(hedge_count, []).append(name)
        for hedge_count, shard_names in shards_by_hedge_count.items():
            delay_ms = self._hedging.delay_ms(row.rule, hedge_count)
            if delay_ms is not None:
                self._push_hedge_wave(row, now_ms + delay_ms, shard_names)

    def _push_hedge_wave(
        self, row: SearchRow, due_ms: float, shard_names: list[ShardId]
    ) -> None:
        wave = HedgeWave(due_ms, row.next_attempt, tuple(shard_names))
        heapq.heappush(row.hedge_waves, wave)

    def _work_request(
        self, row: SearchRow, parts: list[Part], now_ms: float
    ) -> WorkRequest:
        request = row.request
        return WorkRequest(
            request_id=request.request_id,
            kind=request.kind,
            service=request.service,
            caller=request.caller,
            snapshot=row.pin.snapshot,
            remaining_ms=request.deadline_ms - now_ms - ANSWER_MARGIN_MS,
            limit=request.limit + 1,
            key=request.key,
            body=request.body,
            parts=parts,
        )
