"""Run attempts on owned upstreams within their limits."""

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
from burdockmill.systems._gate_table import GateTable, closed_reason, rule_of
from burdockmill.systems._part_merger import PartMerger
from burdockmill.systems._part_messages import (
    build_upstream_send,
    outcome_of,
    refusal_outcome,
)
from burdockmill.systems._upstream_gate import Refusal
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
    from burdockmill.systems._upstream_gate import UpstreamGate
    from burdockmill.systems.routing import Router
    from burdockmill.tables.owner_due import OwnerDue
    from burdockmill.world import World


class OwnerSystem(System):
    """Run attempts on owned upstreams within their limits."""

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
        self._gates = GateTable(router)

    def open_work(self) -> int:
        """Return how many attempts are queued or under way."""
        return len(self._owned_by_attempt)

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Take in work and answers; start what fits and refuse what does not."""
        actions: list[Action] = []
        for event in world.take_events(self.name):
            actions.extend(self._take(world, event, now_ms))
        for due in world.due(self.name).take(now_ms):
            actions.extend(self._on_due(world, due, now_ms))
        return actions

    def _take(self, world: World, event: Event, now_ms: float) -> list[Action]:
        if isinstance(event, PeerReceived):
            if isinstance(event.message, WorkRequest):
                return self._accept(world, event.sender, event.message, now_ms)
            if isinstance(event.message, WorkCancel):
                return self._cancel(world, event.message, now_ms)
        if isinstance(event, UpstreamAnswered | UpstreamRefused | UpstreamFailed):
            return self._ended(world, event, now_ms)
        if isinstance(event, HealthRead):
            return self._gates.learn_health(world, event, now_ms)
        if isinstance(event, RulesAccepted):
            return self._start_all(world, now_ms)
        return []

    def _on_due(self, world: World, due: OwnerDue, now_ms: float) -> list[Action]:
        if isinstance(due, FlushDue):
            return self._merger.flush(due, world.due(self.name))
        if isinstance(due, PoolDue):
            return self._gates.check_pool(world, due.upstream, now_ms)
        owned = self._owned_by_attempt.get((due.request_id, due.attempt))
        if owned is None or owned.started_ms is not None:
            return []
        refusal = Refusal(Reason.NO_TIME)
        return self._refuse(world, owned, refusal, now_ms)

    def _accept(
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
            self._merger.opened(owned)
            actions.extend(self._enqueue(world, key, owned, now_ms))
        return actions

    def _enqueue(
        self, world: World, key: AttemptKey, owned: OwnedPart, now_ms: float
    ) -> list[Action]:
        upstream = owned.part.upstream
        rule = rule_of(world, upstream)
        reason = closed_reason(world, upstream)
        if rule is None or reason != Reason.NONE:
            return self._refuse(world, owned, Refusal(reason), now_ms)
        if owned.deadline_ms <= now_ms:
            return self._refuse(world, owned, Refusal(Reason.DEADLINE), now_ms)
        gate = self._gates.open(world, upstream, now_ms)
        longest_ms = longest_wait_ms(world.rules, owned, now_ms)
        refusal = gate.refusal(owned, rule.slots, longest_ms, now_ms)
        if refusal is not None:
            return self._refuse(world, owned, refusal, now_ms)
        if not gate.queue and gate.has_slot(rule.slots):
            return [self._start(world, gate, key, rule, now_ms)]
        actions: list[Action] = []
        if gate.is_full:
            actions = self._make_room(world, gate, owned, rule, now_ms)
        if gate.is_full:
            return self._refuse(world, owned, gate.full_refusal(rule.slots), now_ms)
        gate.queue.add(owned.request.caller, owned.deadline_ms, key)
        due_ms = max(now_ms, gate.last_start_ms(owned))
        world.due(self.name).schedule(AttemptDue(*key), due_ms)
        return [*actions, *self._start_next(world, upstream, now_ms)]

    def _make_room(
        self,
        world: World,
        gate: UpstreamGate,
        owned: OwnedPart,
        rule: UpstreamRule,
        now_ms: float,
    ) -> list[Action]:
        displaced = gate.displaced_by(owned)
        if displaced is None:
            return []
        world.counter_by_name["displaced_for_fair_shares"] += 1
        loser = self._owned_by_attempt[displaced]
        return self._refuse(world, loser, gate.full_refusal(rule.slots), now_ms)

    def _start_all(self, world: World, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        for upstream in self._gates.upstreams():
            actions.extend(self._start_next(world, upstream, now_ms))
        return actions

    def _start_next(
        self, world: World, upstream: UpstreamId, now_ms: float
    ) -> list[Action]:
        gate = self._gates.get(upstream)
        if gate is None or not gate.queue:
            return []
        rule = rule_of(world, upstream)
        reason = closed_reason(world, upstream)
        if rule is None or reason != Reason.NONE:
            return self._refuse_queue(world, gate, Refusal(reason), now_ms)
        actions: list[Action] = []
        while gate.queue and gate.has_slot(rule.slots):
            key = gate.queue.pop()
            owned = self._owned_by_attempt[key]
            if self._is_too_late(gate, owned, now_ms):
                refusal = Refusal(Reason.NO_TIME)
                actions.extend(self._refuse(world, owned, refusal, now_ms))
                continue
            actions.append(self._start(world, gate, key, rule, now_ms))
        return actions

    def _is_too_late(self, gate: UpstreamGate, owned: OwnedPart, now_ms: float) -> bool:
        if owned.deadline_ms <= now_ms:
            return True
        waited = owned.taken_ms < now_ms
        return waited and gate.last_start_ms(owned) < now_ms

    def _start(
        self,
        world: World,
        gate: UpstreamGate,
        key: AttemptKey,
        rule: UpstreamRule,
        now_ms: float,
    ) -> SendToUpstream:
        owned = self._owned_by_attempt[key]._replace(started_ms=now_ms)
        self._owned_by_attempt[key] = owned
        world.due(self.name).cancel(AttemptDue(*key))
        gate.started(key)
        return build_upstream_send(owned, rule.address, now_ms)

    def _ended(self, world: World, event: AttemptEvent, now_ms: float) -> list[Action]:
        key = (event.request_id, event.attempt)
        owned = self._owned_by_attempt.get(key)
        if owned is None or owned.started_ms is None:
            world.counter_by_name["unexpected_upstream_events_dropped"] += 1
            return []
        outcome = outcome_of(owned.part, event, now_ms - owned.started_ms)
        if not isinstance(event, UpstreamAnswered):
            name = f"upstream_{outcome.status}_{outcome.reason}"
            world.counter_by_name[name] += 1
        hits = event.hits if isinstance(event, UpstreamAnswered) else []
        body = event.body if isinstance(event, UpstreamAnswered) else NO_BODY
        actions = self._close(world, owned, outcome, hits, body, now_ms)
        if outcome.status != PartStatus.ANSWERED:
            choice, reason = event.upstream, f"upstream: {outcome.reason}"
            actions.append(LogDecision("refuse", event.request_id, choice, reason))
        gate = self._gates.open(world, event.upstream, now_ms)
        rule = rule_of(world, event.upstream)
        slots = rule.slots if rule else 1
        opened = gate.ended(key, event, owned.started_ms, slots, now_ms, world.rng)
        if opened:
            actions.extend(self._circuit_opened(world, gate, event.upstream, now_ms))
        return [*actions, *self._start_next(world, event.upstream, now_ms)]

    def _circuit_opened(
        self, world: World, gate: UpstreamGate, upstream: UpstreamId, now_ms: float
    ) -> list[Action]:
        world.counter_by_name["circuits_opened"] += 1
        wait_ms = int(gate.breaker.wait_ms(now_ms)) + 1
        decision = LogDecision(
            "refuse", "", f"all for {upstream} for {wait_ms} ms", "failures in a row"
        )
        refusal = Refusal(Reason.CIRCUIT_OPEN, wait_ms)
        return [decision, *self._refuse_queue(world, gate, refusal, now_ms)]

    def _refuse_queue(
        self, world: World, gate: UpstreamGate, refusal: Refusal, now_ms: float
    ) -> list[Action]:
        actions: list[Action] = []
        for key in gate.queue.attempts():
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
        return [decision, *self._close(world, owned, outcome, [], NO_BODY, now_ms)]

    def _cancel(self, world: World, cancel: WorkCancel, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        for attempt in cancel.attempts:
            key = (cancel.request_id, attempt)
            owned = self._owned_by_attempt.get(key)
            if owned is None:
                continue
            if owned.started_ms is None:
                outcome = refusal_outcome(owned.part, Reason.CANCELLED)
                closed = self._close(world, owned, outcome, [], NO_BODY, now_ms)
                actions.extend(closed)
            elif owned.request.kind == RequestKind.SEARCH:
                actions.append(CancelAtUpstream(*key, owned.part.upstream))
        return actions

    def _close(
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
        due_index = world.due(self.name)
        due_index.cancel(AttemptDue(*key))
        gate = self._gates.get(owned.part.upstream)
        if gate is not None:
            gate.queue.remove(key)
        return self._merger.closed(owned, outcome, hits, body, due_index, now_ms)
