"""Route requests for one key to one replica at a time, with retries."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING, ClassVar

from burdockmill.errors import Ran
from burdockmill.messages.actions import Action, Answer, LogDecision, SendToPeer
from burdockmill.messages.events import (
    CallerDisconnected,
    PeerReceived,
    PeerUnreachable,
    RequestReceived,
)
from burdockmill.messages.peer import (
    Part,
    PartOutcome,
    PartStatus,
    Reason,
    WorkAnswer,
    WorkCancel,
    WorkRequest,
)
from burdockmill.systems._admission import refuse_start
from burdockmill.systems._answer_margin import ANSWER_MARGIN_MS
from burdockmill.systems._part_messages import unreachable_outcomes
from burdockmill.systems.system import System
from burdockmill.tables.keyed_row import KeyedRow

if TYPE_CHECKING:
    import msgspec

    from burdockmill.errors import BurdockmillError
    from burdockmill.messages.actions import ActionAnswer, FetchAnswer
    from burdockmill.messages.events import Event
    from burdockmill.names import HostId, RequestId, UpstreamId
    from burdockmill.policies.placement_policy import PlacementPolicy
    from burdockmill.rules.model import RequestKind, ShardRule
    from burdockmill.systems.routing import Router
    from burdockmill.world import World


class KeyedSystem(System):
    """Try the replicas of a key's shard one at a time until one answers."""

    handles: ClassVar[tuple[type, ...]] = (
        RequestReceived,
        WorkAnswer,
        PeerUnreachable,
        CallerDisconnected,
    )
    kind: ClassVar[RequestKind]

    def __init__(self, router: Router, placement: PlacementPolicy) -> None:
        self._router = router
        self._placement = placement
        self.row_by_request: dict[RequestId, KeyedRow] = {}

    @abstractmethod
    def answered(
        self, row: KeyedRow, outcome: PartOutcome, body: msgspec.Raw
    ) -> FetchAnswer | ActionAnswer | BurdockmillError:
        """Return the result for an upstream's answer."""

    @abstractmethod
    def failure_result(
        self,
        request: RequestReceived,
        reason: Reason,
        ran: Ran,
        retry_after_ms: int | None,
    ) -> FetchAnswer | ActionAnswer | BurdockmillError:
        """Return the result when no further replica can be tried."""

    @abstractmethod
    def may_retry(self, outcome: PartOutcome) -> bool:
        """Return whether another replica may be tried after this outcome."""

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Handle requests and outcomes, then answer requests whose deadline is due."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            actions.extend(self.handle_event(world, event, now_ms))
        for request_id in world.due(self.name).pop_due(now_ms):
            row = self.row_by_request.get(request_id)
            if row is not None:
                actions.extend(self.handle_deadline(world, row, now_ms))
        return actions

    def handle_event(self, world: World, event: Event, now_ms: float) -> list[Action]:
        """Handle one event; ignore those of other kinds."""
        if isinstance(event, RequestReceived) and event.kind == self.kind:
            return self._start(world, event, now_ms)
        if isinstance(event, CallerDisconnected):
            return self._discard(world, event.request_id)
        if isinstance(event, PeerUnreachable):
            return self._handle_unreachable_owner(world, event, now_ms)
        if isinstance(event, PeerReceived) and isinstance(event.message, WorkAnswer):
            return self.handle_outcomes(world, event.sender, event.message, now_ms)
        return []

    def _start(
        self, world: World, request: RequestReceived, now_ms: float
    ) -> list[Action]:
        refusal = refuse_start(world, request, now_ms)
        return refusal or self.start_attempt(world, request, now_ms)

    def start_attempt(
        self, world: World, request: RequestReceived, now_ms: float
    ) -> list[Action]:
        """Make the first attempt at an admitted request."""
        shard = self._router.shard_of(world, request.service, request.key)
        if shard is None:
            failure = self.failure_result(request, Reason.NO_REPLICA, Ran.NO, None)
            return self.reply(world, request, failure)
        world.due(self.name).schedule(
            request.request_id, max(now_ms, request.deadline_ms - ANSWER_MARGIN_MS)
        )
        return self._try_replica(
            world, request, shard, (), Reason.NO_REPLICA, None, Ran.NO, now_ms
        )

    def _try_replica(
        self,
        world: World,
        request: RequestReceived,
        shard: ShardRule,
        tried: tuple[UpstreamId, ...],
        reason: Reason,
        retry_after_ms: int | None,
        ran: Ran,
        now_ms: float,
    ) -> list[Action]:
        if request.deadline_ms - ANSWER_MARGIN_MS <= now_ms:
            failure = self.failure_result(request, Reason.DEADLINE, ran, None)
            return self.finish(world, request, failure, "deadline before sending")
        serving = self._router.serving_replicas(world, shard)
        candidates = [name for name in serving if name not in tried]
        if tried:
            candidates = [
                name for name in candidates if world.refusals.has_room(name, now_ms)
            ]
        if not candidates:
            failure = self.failure_result(request, reason, ran, retry_after_ms)
            return self.finish(world, request, failure, "no replica left")
        if not world.retry_budget.admit(request.service, is_first=not tried):
            failure = self.failure_result(request, reason, ran, retry_after_ms)
            return self.finish(world, request, failure, "retry budget")
        upstream, placement_reason = self._placement.choose(world, candidates, now_ms)
        part = Part(len(tried) + 1, upstream, shard.name, shard.slots)
        owner = self._router.owner_of(world, upstream)
        snapshot = self._router.pin(world, request.service, now_ms).snapshot
        row = KeyedRow(
            request,
            shard,
            snapshot,
            (*tried, upstream),
            part,
            owner,
            reason,
            retry_after_ms,
            ran=ran,
        )
        self.row_by_request[request.request_id] = row
        passed_over = tuple(name for name in candidates if name != upstream)
        choice = f"{shard.name} to {upstream} by {owner}"
        decision = LogDecision(
            "route", request.request_id, choice, placement_reason, passed_over
        )
        return [decision, *self.send(world, row, now_ms)]

    def send(self, world: World, row: KeyedRow, now_ms: float) -> list[Action]:
        """Send the current attempt to its owner."""
        return [SendToPeer(row.owner, self.request_of(row, now_ms))]

    def request_of(self, row: KeyedRow, now_ms: float) -> WorkRequest:
        """Return the work request for the current attempt."""
        request = row.request
        return WorkRequest(
            request_id=request.request_id,
            kind=request.kind,
            service=request.service,
            caller=request.caller,
            snapshot=row.snapshot,
            remaining_ms=request.deadline_ms - now_ms - ANSWER_MARGIN_MS,
            limit=request.limit,
            key=request.key,
            body=request.body,
            parts=[row.part],
        )

    def handle_outcomes(
        self, world: World, sender: HostId, answer: WorkAnswer, now_ms: float
    ) -> list[Action]:
        """Handle outcomes of the current attempt; drop and count all others."""
        row = self.row_by_request.get(answer.request_id)
        if row is None:
            return []
        actions: list[Action] = []
        for outcome in answer.outcomes:
            source = (sender, outcome.attempt, outcome.upstream)
            if source != (row.owner, row.part.attempt, row.part.upstream):
                world.counter_by_name["unexpected_outcomes_dropped"] += 1
                continue
            actions.extend(
                self.complete_attempt(world, row, outcome, answer.body, now_ms)
            )
        return actions

    def complete_attempt(
        self,
        world: World,
        row: KeyedRow,
        outcome: PartOutcome,
        body: msgspec.Raw,
        now_ms: float,
    ) -> list[Action]:
        """Answer the request, or try another replica, after an attempt has ended."""
        world.refusals.record(outcome, now_ms)
        if outcome.status == PartStatus.ANSWERED:
            result = self.answered(row, outcome, body)
            return self.finish(world, row.request, result, "answered")
        if not self.may_retry(outcome):
            failure = self.failure_result(
                row.request, outcome.reason, outcome.ran, outcome.retry_after_ms
            )
            return self.finish(world, row.request, failure, str(outcome.reason))
        decision = LogDecision(
            "retry",
            row.request.request_id,
            f"{row.shard.name} after {outcome.upstream}",
            str(outcome.reason),
        )
        retry_actions = self._try_replica(
            world,
            row.request,
            row.shard,
            row.tried_upstreams,
            outcome.reason,
            outcome.retry_after_ms,
            row.ran if outcome.ran == Ran.NO else Ran.UNKNOWN,
            now_ms,
        )
        return [decision, *retry_actions]

    def _handle_unreachable_owner(
        self, world: World, event: PeerUnreachable, now_ms: float
    ) -> list[Action]:
        request = event.message
        if not isinstance(request, WorkRequest) or request.kind != self.kind:
            return []
        outcomes = unreachable_outcomes(request, event.ran)
        answer = WorkAnswer(request.request_id, request.snapshot, outcomes, [])
        return self.handle_outcomes(world, event.host, answer, now_ms)

    def handle_deadline(
        self, world: World, row: KeyedRow, now_ms: float
    ) -> list[Action]:
        """Cancel the current attempt and answer that the deadline was exceeded."""
        failure = self.failure_result(row.request, Reason.DEADLINE, Ran.UNKNOWN, None)
        return [
            *self.cancel_attempt(row),
            *self.finish(world, row.request, failure, "deadline margin"),
        ]

    def finish(
        self,
        world: World,
        request: RequestReceived,
        result: FetchAnswer | ActionAnswer | BurdockmillError,
        reason: str,
    ) -> list[Action]:
        """Discard the state of a request and answer it."""
        request_id = request.request_id
        self.row_by_request.pop(request_id, None)
        world.due(self.name).cancel(request_id)
        decision = LogDecision("answer", request_id, type(result).__name__, reason)
        return [*self.reply(world, request, result), decision]

    def reply(
        self,
        world: World,
        request: RequestReceived,
        result: FetchAnswer | ActionAnswer | BurdockmillError,
    ) -> list[Action]:
        """Return the action that answers the caller."""
        return [Answer(request.request_id, result)]

    def _discard(self, world: World, request_id: RequestId) -> list[Action]:
        row = self.row_by_request.pop(request_id, None)
        if row is None:
            return []
        world.due(self.name).cancel(request_id)
        return self.cancel_attempt(row)

    def cancel_attempt(self, row: KeyedRow) -> list[Action]:
        """Send a cancellation of the current attempt to its owner."""
        cancel = WorkCancel(row.request.request_id, [row.part.attempt])
        return [SendToPeer(row.owner, cancel)]
