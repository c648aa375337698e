"""Run searches at their entry host: scatter-gather over one pinned snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import Ran
from burdockmill.messages.actions import Action, Answer, LogDecision
from burdockmill.messages.events import (
    CallerDisconnected,
    PeerReceived,
    PeerUnreachable,
    RequestReceived,
    RulesAccepted,
)
from burdockmill.messages.peer import (
    PartOutcome,
    PartStatus,
    Reason,
    WorkAnswer,
    WorkRequest,
)
from burdockmill.policies.completion_policy import POLICY_BY_COMPLETION
from burdockmill.rules.model import RequestKind
from burdockmill.systems._admission import refuse_start
from burdockmill.systems._answer_margin import ANSWER_MARGIN_MS
from burdockmill.systems._part_messages import unreachable_outcomes
from burdockmill.systems._search_answer import build_answer, overload_error
from burdockmill.systems._search_dispatch import (
    HEDGE,
    RETRY,
    SearchDispatch,
)
from burdockmill.systems._search_merge import (
    is_expected_outcome,
    merge_coverage,
    merge_hits,
)
from burdockmill.systems._search_recovery import SearchRecovery
from burdockmill.systems.system import System
from burdockmill.tables.search_row import SearchRow

if TYPE_CHECKING:
    from burdockmill.messages.events import Event
    from burdockmill.names import HostId, RequestId
    from burdockmill.policies.hedging_policy import HedgingPolicy
    from burdockmill.policies.placement_policy import PlacementPolicy
    from burdockmill.rules.model import ShardRule
    from burdockmill.systems.routing import Router
    from burdockmill.tables.search_row import AttemptRow
    from burdockmill.tables.upstream_view import Ejection, UpstreamViews
    from burdockmill.world import World

DEADLINE_TIMER, SOFT_DEADLINE_TIMER = "margin", "settle"
UPSTREAM_FAULT_REASONS = frozenset(
    {Reason.CONNECT_FAILED, Reason.BROKEN, Reason.WRONG_ANSWER}
)


class SearchSystem(System):
    """Pin a snapshot, query a replica per shard, merge and report the coverage."""

    name = "search"
    handles = (
        RequestReceived,
        WorkAnswer,
        PeerUnreachable,
        CallerDisconnected,
        RulesAccepted,
    )

    def __init__(
        self,
        router: Router,
        placement: PlacementPolicy,
        hedging: HedgingPolicy,
        views: UpstreamViews,
    ) -> None:
        self._router = router
        self._views = views
        self._dispatch = SearchDispatch(router, placement, hedging, views)
        self._recovery = SearchRecovery(router, self._dispatch)
        self._row_by_request: dict[RequestId, SearchRow] = {}

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Handle requests and outcomes, then fire due hedges and deadline timers."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            actions.extend(self._handle_event(world, event, now_ms))
        for request_id, timer in world.due(self.name).pop_due(now_ms):
            row = self._row_by_request.get(request_id)
            if row is not None:
                actions.extend(self._handle_timer(world, row, timer, now_ms))
        return actions

    def _handle_event(self, world: World, event: Event, now_ms: float) -> list[Action]:
        if isinstance(event, RequestReceived):
            return self._start(world, event, now_ms)
        if isinstance(event, CallerDisconnected):
            return self._discard(world, event.request_id, now_ms)
        if isinstance(event, PeerUnreachable):
            return self._handle_unreachable_owner(world, event, now_ms)
        if isinstance(event, PeerReceived) and isinstance(event.message, WorkAnswer):
            return self._handle_answer(world, event.sender, event.message, now_ms)
        if isinstance(event, RulesAccepted) and world.rules is not None:
            rules = world.rules
            self._views.retain_only(rules.upstream_by_id, rules.service_by_name)
        return []

    def _handle_timer(
        self, world: World, row: SearchRow, timer: str, now_ms: float
    ) -> list[Action]:
        if timer == DEADLINE_TIMER:
            return self._finish(world, row, "deadline margin", now_ms)
        if timer == SOFT_DEADLINE_TIMER:
            row.soft_deadline_passed = True
            return self._finish_if_done(world, row, now_ms)
        hedged = self._dispatch.send_hedges(world, row, now_ms)
        self._schedule_hedge(world, row)
        return hedged

    def _start(
        self, world: World, request: RequestReceived, now_ms: float
    ) -> list[Action]:
        if request.kind != RequestKind.SEARCH:
            return []
        refusal = refuse_start(world, request, now_ms)
        if refusal:
            return refusal
        assert world.rules is not None
        rule = world.rules.service_by_name[request.service]
        shards = world.rules.shards_by_service.get(request.service, ())
        pin = self._router.pin(world, request.service, now_ms)
        row = SearchRow(
            request, rule, pin, {shard.name: shard for shard in shards}, now_ms
        )
        row.revision = world.rules.revision
        self._row_by_request[request.request_id] = row
        due = world.due(self.name)
        answer_by_ms = max(now_ms, request.deadline_ms - ANSWER_MARGIN_MS)
        due.schedule((request.request_id, DEADLINE_TIMER), answer_by_ms)
        soft_deadline_ms = POLICY_BY_COMPLETION[rule.completion].partial_from_ms(
            rule, now_ms
        )
        if soft_deadline_ms is not None:
            due.schedule((request.request_id, SOFT_DEADLINE_TIMER), soft_deadline_ms)
        self._dispatch.deposit_budgets(world, row)
        choice = f"snapshot {pin.snapshot}"
        decision = LogDecision("pin", request.request_id, choice, f"{pin.slots} slots")
        return [decision, *self._query_shards(world, row, shards, now_ms)]

    def _query_shards(
        self,
        world: World,
        row: SearchRow,
        shards: tuple[ShardRule, ...],
        now_ms: float,
    ) -> list[Action]:
        actions = self._dispatch.send_attempts(world, row, shards, now_ms)
        self._schedule_hedge(world, row)
        return [*actions, *self._finish_if_done(world, row, now_ms)]

    def _schedule_hedge(self, world: World, row: SearchRow) -> None:
        key = (row.request.request_id, HEDGE)
        if row.hedge_waves:
            world.due(self.name).schedule(key, row.hedge_waves[0].due_ms)
        else:
            world.due(self.name).cancel(key)

    def _handle_answer(
        self, world: World, sender: HostId, answer: WorkAnswer, now_ms: float
    ) -> list[Action]:
        actions = self._observe_outcomes(world, answer, now_ms)
        row = self._row_by_request.get(answer.request_id)
        if row is None:
            return actions
        if answer.snapshot != row.pin.snapshot:
            world.counter_by_name["answers_of_other_snapshot_dropped"] += 1
            return actions
        if not all(
            is_expected_outcome(row, sender, outcome) for outcome in answer.outcomes
        ):
            world.counter_by_name["unexpected_outcomes_dropped"] += 1
            return actions
        retry_shards: list[ShardRule] = []
        superseded: list[int] = []
        for outcome in answer.outcomes:
            self._apply_outcome(world, row, outcome, retry_shards, superseded, now_ms)
        merge_hits(row, answer.hits)
        actions.extend(self._dispatch.cancel(row, superseded, now_ms))
        if retry_shards:
            retry_shards = self._recovery.retry_targets(world, row, retry_shards)
            actions.extend(
                self._dispatch.send_attempts(world, row, retry_shards, now_ms, RETRY)
            )
            self._schedule_hedge(world, row)
        return [*actions, *self._finish_if_done(world, row, now_ms)]

    def _apply_outcome(
        self,
        world: World,
        row: SearchRow,
        outcome: PartOutcome,
        retry_shards: list[ShardRule],
        superseded: list[int],
        now_ms: float,
    ) -> None:
        open_attempts = row.open_by_shard.get(outcome.shard, [])
        was_open = outcome.attempt in open_attempts
        if was_open:
            open_attempts.remove(outcome.attempt)
            row.open_count -= 1
            self._record_attempt_end(
                row, row.attempt_by_id[outcome.attempt], outcome, now_ms
            )
            row.retry_after_ms = max(row.retry_after_ms, outcome.retry_after_ms or 0)
        row.may_have_run |= outcome.ran != Ran.NO
        if outcome.status == PartStatus.ANSWERED:
            if not merge_coverage(row, outcome):
                world.counter_by_name["covered_answers_dropped"] += 1
        elif not was_open:
            world.counter_by_name["late_failures_dropped"] += 1
        else:
            row.reason_by_shard[outcome.shard] = outcome.reason
            if outcome.reason == Reason.SNAPSHOT_GONE:
                self._router.block_snapshot(outcome.upstream, row.pin.snapshot, now_ms)
        shard = row.shard_by_name[outcome.shard]
        if not row.covered.missing_ranges(shard.slots):
            superseded.extend(open_attempts)
            row.open_count -= len(open_attempts)
            open_attempts.clear()
        elif was_open and not open_attempts:
            retry_shards.append(shard)

    def _record_attempt_end(
        self, row: SearchRow, attempt: AttemptRow, outcome: PartOutcome, now_ms: float
    ) -> None:
        if outcome.status == PartStatus.ANSWERED:
            took_ms = now_ms - attempt.sent_ms
            name = row.rule.name
            self._views.record_ended(
                name, outcome.upstream, took_ms, not attempt.is_hedge
            )
        else:
            self._views.record_without_latency(outcome.upstream)

    def _observe_outcomes(
        self, world: World, answer: WorkAnswer, now_ms: float
    ) -> list[Action]:
        decisions: list[Action] = []
        for outcome in answer.outcomes:
            world.refusals.record(outcome, now_ms)
            ejection = None
            if (
                outcome.status == PartStatus.ANSWERED
                or outcome.reason == Reason.CANCELLED
            ):
                is_whole = outcome.status == PartStatus.ANSWERED
                ejection = self._views.record_reported_time(
                    outcome.upstream, outcome.took_ms, now_ms, is_whole
                )
            elif outcome.reason in UPSTREAM_FAULT_REASONS:
                ejection = self._views.failed(outcome.upstream, now_ms)
            if ejection is not None:
                decisions.append(self._ejection_decision(world, ejection))
        return decisions

    def _ejection_decision(self, world: World, ejection: Ejection) -> LogDecision:
        world.counter_by_name["upstreams_ejected"] += 1
        return LogDecision(
            "place",
            "",
            f"{ejection.upstream} ejected for {ejection.wait_ms:.0f} ms",
            f"{ejection.score:.1f} is its latency and failure score, 1.0 is typical",
        )

    def _finish_if_done(
        self, world: World, row: SearchRow, now_ms: float
    ) -> list[Action]:
        if row.covered.is_complete:
            return self._finish(world, row, "complete", now_ms)
        restart_actions = self._recovery.restart(world, row, now_ms)
        if restart_actions is not None:
            shards = tuple(row.shard_by_name.values())
            return [*restart_actions, *self._query_shards(world, row, shards, now_ms)]
        policy = POLICY_BY_COMPLETION[row.rule.completion]
        if row.soft_deadline_passed and policy.is_enough(row.rule, row.covered.count):
            return self._finish(world, row, "coverage after soft deadline", now_ms)
        if not row.open_count:
            return self._finish(world, row, "no replica left to try", now_ms)
        return []

    def _handle_unreachable_owner(
        self, world: World, event: PeerUnreachable, now_ms: float
    ) -> list[Action]:
        request = event.message
        if not isinstance(request, WorkRequest) or request.kind != RequestKind.SEARCH:
            return []
        outcomes = unreachable_outcomes(request, event.ran)
        answer = WorkAnswer(request.request_id, request.snapshot, outcomes, [])
        return self._handle_answer(world, event.host, answer, now_ms)

    def _finish(
        self, world: World, row: SearchRow, reason: str, now_ms: float
    ) -> list[Action]:
        request_id = row.request.request_id
        cancellations = self._discard(world, request_id, now_ms)
        error = overload_error(row)
        if error is not None:
            world.counter_by_name["refused_overloaded"] += 1
            refusal = LogDecision("refuse", request_id, error.message, reason)
            return [Answer(request_id, error), refusal, *cancellations]
        result = build_answer(row)
        coverage = result.coverage
        choice = f"{coverage['covered']} of {coverage['total']} slots"
        decision = LogDecision("answer", request_id, choice, reason)
        return [Answer(request_id, result), decision, *cancellations]

    def _discard(
        self, world: World, request_id: RequestId, now_ms: float
    ) -> list[Action]:
        row = self._row_by_request.pop(request_id, None)
        if row is None:
            return []
        for timer in (DEADLINE_TIMER, SOFT_DEADLINE_TIMER, HEDGE):
            world.due(self.name).cancel((request_id, timer))
        open_attempts = [
            attempt_id
            for attempt_ids in row.open_by_shard.values()
            for attempt_id in attempt_ids
        ]
        return self._dispatch.cancel(row, open_attempts, now_ms)
