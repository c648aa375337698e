"""Send a request for one key to one replica at a time."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING, ClassVar

from burdockmill.errors import Ran
from burdockmill.messages.actions import Action, Answer, LogDecision, SendToPeer
from burdockmill.messages.events import (
    CallerGone,
    PeerReceived,
    PeerUnreachable,
    RequestAsked,
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
from burdockmill.systems._margin import ANSWER_MARGIN_MS
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
    """Send a request for one key to one replica at a time."""

    handles: ClassVar[tuple[type, ...]] = (
        RequestAsked,
        WorkAnswer,
        PeerUnreachable,
        CallerGone,
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
        """Return the answer that an upstream's answer supports."""

    @abstractmethod
    def given_up(
        self, asked: RequestAsked, reason: Reason, ran: Ran, retry_after_ms: int | None
    ) -> FetchAnswer | ActionAnswer | BurdockmillError:
        """Return the answer when no replica can be tried any more."""

    @abstractmethod
    def may_repeat(self, outcome: PartOutcome) -> bool:
        """Tell whether another replica may be tried after this outcome."""

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Take in requests and answers; answer what is due."""
        actions: list[Action] = []
        for event in world.take_events(self.name):
            actions.extend(self.take(world, event, now_ms))
        for request_id in world.due(self.name).take(now_ms):
            row = self.row_by_request.get(request_id)
            if row is not None:
                actions.extend(self.expire(world, row, now_ms))
        return actions

    def take(self, world: World, event: Event, now_ms: float) -> list[Action]:
        """Take in one event."""
        if isinstance(event, RequestAsked) and event.kind == self.kind:
            return self._start(world, event, now_ms)
        if isinstance(event, CallerGone):
            return self._abandon(world, event.request_id)
        if isinstance(event, PeerUnreachable):
            return self._owner_lost(world, event, now_ms)
        if isinstance(event, PeerReceived) and isinstance(event.message, WorkAnswer):
            return self.take_outcomes(world, event.sender, event.message, now_ms)
        return []

    def _start(self, world: World, asked: RequestAsked, now_ms: float) -> list[Action]:
        refusal = refuse_start(world, asked, now_ms)
        return refusal or self.begin(world, asked, now_ms)

    def begin(self, world: World, asked: RequestAsked, now_ms: float) -> list[Action]:
        """Make the first attempt at an admitted request."""
        shard = self._router.shard_of(world, asked.service, asked.key)
        if shard is None:
            given_up = self.given_up(asked, Reason.NO_REPLICA, Ran.NO, None)
            return self.reply(world, asked, given_up)
        world.due(self.name).schedule(
            asked.request_id, max(now_ms, asked.deadline_ms - ANSWER_MARGIN_MS)
        )
        return self._try(
            world, asked, shard, (), Reason.NO_REPLICA, None, Ran.NO, now_ms
        )

    def _try(
        self,
        world: World,
        asked: RequestAsked,
        shard: ShardRule,
        tried: tuple[UpstreamId, ...],
        reason: Reason,
        retry_after_ms: int | None,
        ran: Ran,
        now_ms: float,
    ) -> list[Action]:
        if asked.deadline_ms - ANSWER_MARGIN_MS <= now_ms:
            given_up = self.given_up(asked, Reason.DEADLINE, ran, None)
            return self.finish(world, asked, given_up, "deadline before sending")
        serving = self._router.serving_replicas(world, shard)
        left = [name for name in serving if name not in tried]
        if tried:
            left = [name for name in left if world.refusals.has_room(name, now_ms)]
        if not left:
            given_up = self.given_up(asked, reason, ran, retry_after_ms)
            return self.finish(world, asked, given_up, "no replica left")
        if not world.retry_budget.admit(asked.service, is_first=not tried):
            given_up = self.given_up(asked, reason, ran, retry_after_ms)
            return self.finish(world, asked, given_up, "retry budget")
        upstream, why = self._placement.choose(world, left, now_ms)
        part = Part(len(tried) + 1, upstream, shard.name, shard.slots)
        owner = self._router.owner_of(world, upstream)
        snapshot = self._router.pin(world, asked.service, now_ms).snapshot
        row = KeyedRow(
            asked,
            shard,
            snapshot,
            (*tried, upstream),
            part,
            owner,
            reason,
            retry_after_ms,
            ran=ran,
        )
        self.row_by_request[asked.request_id] = row
        passed_over = tuple(name for name in left if name != upstream)
        choice = f"{shard.name} to {upstream} by {owner}"
        decision = LogDecision("route", asked.request_id, choice, why, passed_over)
        return [decision, *self.send(world, row, now_ms)]

    def send(self, world: World, row: KeyedRow, now_ms: float) -> list[Action]:
        """Send the attempt under way to its owner."""
        return [SendToPeer(row.owner, self.request_of(row, now_ms))]

    def request_of(self, row: KeyedRow, now_ms: float) -> WorkRequest:
        """Return the message that asks an owner for the attempt under way."""
        asked = row.asked
        return WorkRequest(
            request_id=asked.request_id,
            kind=asked.kind,
            service=asked.service,
            caller=asked.caller,
            snapshot=row.snapshot,
            remaining_ms=asked.deadline_ms - now_ms - ANSWER_MARGIN_MS,
            limit=asked.limit,
            key=asked.key,
            body=asked.body,
            parts=[row.part],
        )

    def take_outcomes(
        self, world: World, sender: HostId, answer: WorkAnswer, now_ms: float
    ) -> list[Action]:
        """Take in outcomes of the attempt under way; drop and count all others."""
        row = self.row_by_request.get(answer.request_id)
        if row is None:
            return []
        actions: list[Action] = []
        for outcome in answer.outcomes:
            named = (sender, outcome.attempt, outcome.upstream)
            if named != (row.owner, row.part.attempt, row.part.upstream):
                world.counter_by_name["unexpected_outcomes_dropped"] += 1
                continue
            actions.extend(self.conclude(world, row, outcome, answer.body, now_ms))
        return actions

    def conclude(
        self,
        world: World,
        row: KeyedRow,
        outcome: PartOutcome,
        body: msgspec.Raw,
        now_ms: float,
    ) -> list[Action]:
        """Answer, or try another replica, once an attempt has ended."""
        world.refusals.note(outcome, now_ms)
        if outcome.status == PartStatus.ANSWERED:
            result = self.answered(row, outcome, body)
            return self.finish(world, row.asked, result, "answered")
        if not self.may_repeat(outcome):
            given_up = self.given_up(
                row.asked, outcome.reason, outcome.ran, outcome.retry_after_ms
            )
            return self.finish(world, row.asked, given_up, str(outcome.reason))
        retry = LogDecision(
            "retry",
            row.asked.request_id,
            f"{row.shard.name} after {outcome.upstream}",
            str(outcome.reason),
        )
        tried = self._try(
            world,
            row.asked,
            row.shard,
            row.tried,
            outcome.reason,
            outcome.retry_after_ms,
            row.ran if outcome.ran == Ran.NO else Ran.UNKNOWN,
            now_ms,
        )
        return [retry, *tried]

    def _owner_lost(
        self, world: World, event: PeerUnreachable, now_ms: float
    ) -> list[Action]:
        request = event.message
        if not isinstance(request, WorkRequest) or request.kind != self.kind:
            return []
        lost = unreachable_outcomes(request, event.ran)
        answer = WorkAnswer(request.request_id, request.snapshot, lost, [])
        return self.take_outcomes(world, event.host, answer, now_ms)

    def expire(self, world: World, row: KeyedRow, now_ms: float) -> list[Action]:
        """Answer a request whose time is up."""
        given_up = self.given_up(row.asked, Reason.DEADLINE, Ran.UNKNOWN, None)
        return [
            *self.cancel(row),
            *self.finish(world, row.asked, given_up, "deadline margin"),
        ]

    def finish(
        self,
        world: World,
        asked: RequestAsked,
        result: FetchAnswer | ActionAnswer | BurdockmillError,
        why: str,
    ) -> list[Action]:
        """Forget a request and answer it."""
        request_id = asked.request_id
        self.row_by_request.pop(request_id, None)
        world.due(self.name).cancel(request_id)
        answered = LogDecision("answer", request_id, type(result).__name__, why)
        return [*self.reply(world, asked, result), answered]

    def reply(
        self,
        world: World,
        asked: RequestAsked,
        result: FetchAnswer | ActionAnswer | BurdockmillError,
    ) -> list[Action]:
        """Give the request its one answer."""
        return [Answer(asked.request_id, result)]

    def _abandon(self, world: World, request_id: RequestId) -> list[Action]:
        row = self.row_by_request.pop(request_id, None)
        if row is None:
            return []
        world.due(self.name).cancel(request_id)
        return self.cancel(row)

    def cancel(self, row: KeyedRow) -> list[Action]:
        """Ask the owner to drop the attempt under way."""
        cancel = WorkCancel(row.asked.request_id, [row.part.attempt])
        return [SendToPeer(row.owner, cancel)]
