"""Run attempts on owned upstreams within their concurrency and queue limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import Action, CancelAtUpstream, LogDecision
from burdockmill.messages.events import (
    HealthRead,
    PeerReceived,
    RulesAccepted,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamRefused,
)
from burdockmill.messages.peer import (
    NO_BODY,
    PartStatus,
    Reason,
    WorkCancel,
    WorkRequest,
)
from burdockmill.policies.wait_limit import longest_wait_ms
from burdockmill.rules.model import RequestKind
from burdockmill.systems._admission_table import (
    AdmissionTable,
    rule_of,
    unavailable_reason,
)
from burdockmill.systems._part_merger import PartMerger
from burdockmill.systems._part_messages import (
    build_upstream_send,
    outcome_of,
    refusal_outcome,
)
from burdockmill.systems._upstream_admission import Refusal
from burdockmill.systems.system import System
from burdockmill.tables.owned_part import AttemptKey, OwnedPart
from burdockmill.tables.owner_due import AttemptDue, FlushDue, PoolDue

if TYPE_CHECKING:
    import msgspec

    from burdockmill.messages.actions import SendToUpstream
    from burdockmill.messages.events import Event
    from burdockmill.messages.peer import Hit, PartOutcome
    from burdockmill.names import HostId, UpstreamId
    from burdockmill.rules.model import UpstreamRule
    from burdockmill.systems._part_messages import AttemptEvent
    from burdockmill.systems._upstream_admission import UpstreamAdmission
    from burdockmill.systems.routing import Router
    from burdockmill.tables.owner_due import OwnerDue
    from burdockmill.world import World


class OwnerSystem(System):
    """Admit, queue, start, refuse and complete attempts on owned upstreams."""

    name = "owner"
    handles = (
        WorkRequest,
        WorkCancel,
        UpstreamAnswered,
        UpstreamRefused,
        UpstreamFailed,
        HealthRead,
        RulesAccepted,
    )

    def __init__(self, router: Router) -> None:
        self._merger = PartMerger()
        self._owned_by_attempt: dict[AttemptKey, OwnedPart] = {}
        self._admissions = AdmissionTable(router)

    def open_work(self) -> int:
        """Return how many attempts are queued or running."""
        return len(self._owned_by_attempt)

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Handle work requests and upstream results, then the due timers."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            actions.extend(self._handle_event(world, event, now_ms))
        for due in world.due(self.name).pop_due(now_ms):
            actions.extend(self._handle_timer(world, due, now_ms))
        return actions

    def _handle_event(self, world: World, event: Event, now_ms: float) -> list[Action]:
        if isinstance(event, PeerReceived):
            if isinstance(event.message, WorkRequest):
                return self._accept_request(world, event.sender, event.message, now_ms)
            if isinstance(event.message, WorkCancel):
                return self._cancel(world, event.message, now_ms)
        if isinstance(event, UpstreamAnswered | UpstreamRefused | UpstreamFailed):
            return self._handle_attempt_end(world, event, now_ms)
        if isinstance(event, HealthRead):
            return self._admissions.observe_health(world, event, now_ms)
        if isinstance(event, RulesAccepted):
            return self._start_all_queued(world, now_ms)
        return []

    def _handle_timer(self, world: World, due: OwnerDue, now_ms: float) -> list[Action]:
        if isinstance(due, FlushDue):
            return self._merger.flush(due, world.due(self.name))
        if isinstance(due, PoolDue):
            return self._admissions.close_idle_pool(world, due.upstream, now_ms)
        owned = self._owned_by_attempt.get((due.request_id, due.attempt))
        if owned is None or owned.started_ms is not None:
            return []
        refusal = Refusal(Reason.NO_TIME)
        return self._refuse(world, owned, refusal, now_ms)

    def _accept_request(
        self, world: World, sender: HostId, request: WorkRequest, now_ms: float
    ) -> list[Action]:
        if request.kind == RequestKind.ACTION and sender != world.host:
            world.counter_by_name["unguarded_actions_dropped"] += 1
            return []
        actions: list[Action] = []
        for part in request.parts:
            key = (request.request_id, part.attempt)
            if key in self._owned_by_attempt:
                world.counter_by_name["duplicate_attempts_dropped"] += 1
                continue
            deadline_ms = now_ms + request.remaining_ms
            owned = OwnedPart(sender, request, part, deadline_ms, now_ms)
            self._owned_by_attempt[key] = owned
            self._merger.register(owned)
            actions.extend(self._enqueue(world, key, owned, now_ms))
        return actions

    def _enqueue(
        self, world: World, key: AttemptKey, owned: OwnedPart, now_ms: float
    ) -> list[Action]:
        upstream = owned.part.upstream
        rule = rule_of(world, upstream)
        reason = unavailable_reason(world, upstream)
        if rule is None or reason != Reason.NONE:
            return self._refuse(world, owned, Refusal(reason), now_ms)
        if owned.deadline_ms <= now_ms:
            return self._refuse(world, owned, Refusal(Reason.DEADLINE), now_ms)
        admission = self._admissions.open(world, upstream, now_ms)
        max_wait_ms = longest_wait_ms(world.rules, owned, now_ms)
        refusal = admission.check(owned, rule.slots, max_wait_ms, now_ms)
        if refusal is not None:
            return self._refuse(world, owned, refusal, now_ms)
        if not admission.queue and admission.has_slot(rule.slots):
            return [self._start(world, admission, key, rule, now_ms)]
        actions: list[Action] = []
        if admission.is_full:
            actions = self._displace_queued(world, admission, owned, rule, now_ms)
        if admission.is_full:
            return self._refuse(
                world, owned, admission.queue_full_refusal(rule.slots), now_ms
            )
        admission.queue.add(owned.request.caller, owned.deadline_ms, key)
        due_ms = max(now_ms, admission.latest_start_ms(owned))
        world.due(self.name).schedule(AttemptDue(*key), due_ms)
        return [*actions, *self._start_queued(world, upstream, now_ms)]

    def _displace_queued(
        self,
        world: World,
        admission: UpstreamAdmission,
        owned: OwnedPart,
        rule: UpstreamRule,
        now_ms: float,
    ) -> list[Action]:
        displaced_key = admission.eviction_for(owned)
        if displaced_key is None:
            return []
        world.counter_by_name["displaced_for_fair_shares"] += 1
        displaced_part = self._owned_by_attempt[displaced_key]
        return self._refuse(
            world, displaced_part, admission.queue_full_refusal(rule.slots), now_ms
        )

    def _start_all_queued(self, world: World, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        for upstream in self._admissions.upstreams():
            actions.extend(self._start_queued(world, upstream, now_ms))
        return actions

    def _start_queued(
        self, world: World, upstream: UpstreamId, now_ms: float
    ) -> list[Action]:
        admission = self._admissions.get(upstream)
        if admission is None or not admission.queue:
            return []
        rule = rule_of(world, upstream)
        reason = unavailable_reason(world, upstream)
        if rule is None or reason != Reason.NONE:
            return self._refuse_queue(world, admission, Refusal(reason), now_ms)
        actions: list[Action] = []
        while admission.queue and admission.has_slot(rule.slots):
            key = admission.queue.pop()
            owned = self._owned_by_attempt[key]
            if self._is_too_late(admission, owned, now_ms):
                refusal = Refusal(Reason.NO_TIME)
                actions.extend(self._refuse(world, owned, refusal, now_ms))
                continue
            actions.append(self._start(world, admission, key, rule, now_ms))
        return actions

    def _is_too_late(
        self, admission: UpstreamAdmission, owned: OwnedPart, now_ms: float
    ) -> bool:
        if owned.deadline_ms <= now_ms:
            return True
        was_queued = owned.accepted_ms < now_ms
        return was_queued and admission.latest_start_ms(owned) < now_ms

    def _start(
        self,
        world: World,
        admission: UpstreamAdmission,
        key: AttemptKey,
        rule: UpstreamRule,
        now_ms: float,
    ) -> SendToUpstream:
        owned = self._owned_by_attempt[key]._replace(started_ms=now_ms)
        self._owned_by_attempt[key] = owned
        world.due(self.name).cancel(AttemptDue(*key))
        admission.record_start(key)
        return build_upstream_send(owned, rule.address, now_ms)

    def _handle_attempt_end(
        self, world: World, event: AttemptEvent, now_ms: float
    ) -> list[Action]:
        key = (event.request_id, event.attempt)
        owned = self._owned_by_attempt.get(key)
        if owned is None or owned.started_ms is None:
            world.counter_by_name["unexpected_upstream_events_dropped"] += 1
            return []
        outcome = outcome_of(owned.part, event, now_ms - owned.started_ms)
        if not isinstance(event, UpstreamAnswered):
            counter_name = f"upstream_{outcome.status}_{outcome.reason}"
            world.counter_by_name[counter_name] += 1
        hits = event.hits if isinstance(event, UpstreamAnswered) else []
        body = event.body if isinstance(event, UpstreamAnswered) else NO_BODY
        actions = self._complete(world, owned, outcome, hits, body, now_ms)
        if outcome.status != PartStatus.ANSWERED:
            choice, reason = event.upstream, f"upstream: {outcome.reason}"
            actions.append(LogDecision("refuse", event.request_id, choice, reason))
        admission = self._admissions.open(world, event.upstream, now_ms)
        rule = rule_of(world, event.upstream)
        slots = rule.slots if rule else 1
        has_opened = admission.record_end(
            key, event, owned.started_ms, slots, now_ms, world.rng
        )
        if has_opened:
            actions.extend(
                self._handle_open_circuit(world, admission, event.upstream, now_ms)
            )
        return [*actions, *self._start_queued(world, event.upstream, now_ms)]

    def _handle_open_circuit(
        self,
        world: World,
        admission: UpstreamAdmission,
        upstream: UpstreamId,
        now_ms: float,
    ) -> list[Action]:
        world.counter_by_name["circuits_opened"] += 1
        wait_ms = int(admission.breaker.wait_ms(now_ms)) + 1
        decision = LogDecision(
            "refuse",
            "",
            f"all attempts to {upstream} for {wait_ms} ms",
            "circuit breaker opened after consecutive failures",
        )
        refusal = Refusal(Reason.CIRCUIT_OPEN, wait_ms)
        return [decision, *self._refuse_queue(world, admission, refusal, now_ms)]

    def _refuse_queue(
        self,
        world: World,
        admission: UpstreamAdmission,
        refusal: Refusal,
        now_ms: float,
    ) -> list[Action]:
        actions: list[Action] = []
        for key in admission.queue.attempts():
            owned = self._owned_by_attempt[key]
            actions.extend(self._refuse(world, owned, refusal, now_ms))
        return actions

    def _refuse(
        self, world: World, owned: OwnedPart, refusal: Refusal, now_ms: float
    ) -> list[Action]:
        reason, retry_after_ms = refusal
        world.counter_by_name[f"refused_{reason}"] += 1
        outcome = refusal_outcome(owned.part, reason, retry_after_ms)
        request_id, upstream = owned.request.request_id, owned.part.upstream
        decision = LogDecision("refuse", request_id, upstream, str(reason))
        return [decision, *self._complete(world, owned, outcome, [], NO_BODY, now_ms)]

    def _cancel(self, world: World, cancel: WorkCancel, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        for attempt in cancel.attempts:
            key = (cancel.request_id, attempt)
            owned = self._owned_by_attempt.get(key)
            if owned is None:
                continue
            if owned.started_ms is None:
                outcome = refusal_outcome(owned.part, Reason.CANCELLED)
                completed = self._complete(world, owned, outcome, [], NO_BODY, now_ms)
                actions.extend(completed)
            elif owned.request.kind == RequestKind.SEARCH:
                actions.append(CancelAtUpstream(*key, owned.part.upstream))
        return actions

    def _complete(
        self,
        world: World,
        owned: OwnedPart,
        outcome: PartOutcome,
        hits: list[Hit],
        body: msgspec.Raw,
        now_ms: float,
    ) -> list[Action]:
        key = (owned.request.request_id, owned.part.attempt)
        del self._owned_by_attempt[key]
        timers = world.due(self.name)
        timers.cancel(AttemptDue(*key))
        admission = self._admissions.get(owned.part.upstream)
        if admission is not None:
            admission.queue.remove(key)
        return self._merger.complete(owned, outcome, hits, body, timers, now_ms)
