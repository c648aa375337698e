"""Admit each attempt of an action to the owner's queue at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import Ran
from burdockmill.messages.actions import Action, LogDecision, SendToPeer
from burdockmill.messages.events import HostStopping, PauseDetected, PeerReceived
from burdockmill.messages.peer import (
    NO_BODY,
    ActionCancel,
    ActionOutcome,
    ActionRequest,
    PartOutcome,
    PartStatus,
    Reason,
    SessionRequest,
    SessionResponse,
    WorkAnswer,
    WorkCancel,
)
from burdockmill.systems.system import System
from burdockmill.tables.action_records import ActionRecord, ActionRecords

if TYPE_CHECKING:
    import msgspec

    from burdockmill.messages.peer import Part
    from burdockmill.names import HostId, RequestId
    from burdockmill.systems.routing import Router
    from burdockmill.world import World

MAX_STORED_BODY_BYTES = 4_096


class ActionGuardSystem(System):
    """Fence, deduplicate and cancel actions before they reach the owner's queue."""

    name = "action_guard"
    handles = (
        SessionRequest,
        ActionRequest,
        ActionCancel,
        WorkAnswer,
        HostStopping,
        PauseDetected,
    )

    def __init__(self, router: Router, records: ActionRecords | None = None) -> None:
        self._router = router
        self.records = records or ActionRecords()
        self._accepts_until_ms = float("inf")

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Handle actions, cancellations and outcomes.

        After a pause, cancel the pending actions.
        """
        self.records.remove_expired(now_ms)
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            if isinstance(event, PeerReceived):
                actions.extend(self._handle(world, event, now_ms))
            elif isinstance(event, PauseDetected):
                actions.extend(self._cancel_pending(world))
            elif isinstance(event, HostStopping):
                self._accepts_until_ms = now_ms + event.accepts_ms
        world.counter_by_name["action_records"] = len(self.records)
        world.counter_by_name["action_records_evicted"] = self.records.evicted
        return actions

    def _handle(self, world: World, event: PeerReceived, now_ms: float) -> list[Action]:
        match event.message:
            case SessionRequest(asked_ms=asked_ms):
                response = SessionResponse(world.run_id, now_ms, asked_ms)
                return [SendToPeer(event.sender, response)]
            case ActionRequest() as action:
                return self._accept(world, event.sender, action, now_ms)
            case ActionCancel() as cancel:
                return self._cancel(world, event.sender, cancel, now_ms)
            case WorkAnswer() as answer if event.sender == world.host:
                return self._handle_work_answer(world, answer, now_ms)
        return []

    def _accept(
        self, world: World, sender: HostId, action: ActionRequest, now_ms: float
    ) -> list[Action]:
        request = action.request
        if len(request.parts) != 1:
            world.counter_by_name["malformed_actions_dropped"] += 1
            return []
        part = request.parts[0]
        key = (request.request_id, part.attempt)
        if action.run_id != world.run_id:
            return self._report_unknown(
                world, sender, key[0], part, Reason.NO_OWNER, now_ms
            )
        record = self.records.find(key)
        if record is not None:
            world.counter_by_name["duplicate_actions_dropped"] += 1
            return self._resend_outcome(sender, record)
        if self.records.may_have_been_removed(action.not_after_ms, now_ms):
            return self._report_unknown(
                world, sender, key[0], part, Reason.DEADLINE, now_ms
            )
        self.records.put(key, ActionRecord(sender, action.not_after_ms, None))
        if action.not_after_ms <= now_ms:
            world.counter_by_name["late_actions_refused"] += 1
            outcome = _not_run(part, PartStatus.REFUSED, Reason.DEADLINE)
            return self._complete(world, key[0], outcome, NO_BODY, now_ms)
        if now_ms >= self._accepts_until_ms or self._is_owned_elsewhere(
            world, part, now_ms
        ):
            outcome = _not_run(part, PartStatus.REFUSED, Reason.NOT_OWNER)
            return self._complete(world, key[0], outcome, NO_BODY, now_ms)
        remaining_ms = action.not_after_ms - now_ms
        work = request._replace(remaining_ms=remaining_ms)
        return [SendToPeer(world.host, work)]

    def _is_owned_elsewhere(self, world: World, part: Part, now_ms: float) -> bool:
        # Ownership is checked only in cautious mode, after a pause.
        if now_ms >= world.cautious_until_ms:
            return False
        return self._router.owner_of(world, part.upstream) != world.host

    def _cancel_pending(self, world: World) -> list[Action]:
        pending = self.records.pending()
        world.counter_by_name["actions_cancelled_at_late_wake"] += len(pending)
        return [
            SendToPeer(world.host, WorkCancel(request_id, [attempt]))
            for request_id, attempt in pending
        ]

    def _cancel(
        self, world: World, sender: HostId, cancel: ActionCancel, now_ms: float
    ) -> list[Action]:
        request_id, part = cancel.request_id, cancel.part
        key = (request_id, part.attempt)
        if cancel.run_id != world.run_id:
            return self._report_unknown(
                world, sender, request_id, part, Reason.NO_OWNER, now_ms
            )
        record = self.records.find(key)
        if record is not None and record.outcome is None:
            return [SendToPeer(world.host, WorkCancel(request_id, [part.attempt]))]
        if record is not None:
            return self._resend_outcome(sender, record)
        if self.records.may_have_been_removed(cancel.not_after_ms, now_ms):
            return self._report_unknown(
                world, sender, request_id, part, Reason.DEADLINE, now_ms
            )
        self.records.put(key, ActionRecord(sender, cancel.not_after_ms, None))
        world.counter_by_name["actions_cancelled_before_arrival"] += 1
        outcome = _not_run(part, PartStatus.CANCELLED, Reason.CANCELLED)
        return self._complete(world, request_id, outcome, NO_BODY, now_ms)

    def _handle_work_answer(
        self, world: World, answer: WorkAnswer, now_ms: float
    ) -> list[Action]:
        actions: list[Action] = []
        for outcome in answer.outcomes:
            record = self.records.find((answer.request_id, outcome.attempt))
            if record is None or record.outcome is not None:
                continue
            actions.extend(
                self._complete(world, answer.request_id, outcome, answer.body, now_ms)
            )
        return actions

    def _complete(
        self,
        world: World,
        request_id: RequestId,
        outcome: PartOutcome,
        body: msgspec.Raw,
        now_ms: float,
    ) -> list[Action]:
        key = (request_id, outcome.attempt)
        record = self.records.find(key)
        if record is None:
            return []
        report = ActionOutcome(world.run_id, now_ms, request_id, outcome, body)
        stored = (
            report
            if len(body) <= MAX_STORED_BODY_BYTES
            else report._replace(body=NO_BODY)
        )
        self.records.put(key, record._replace(outcome=stored))
        return [SendToPeer(record.requester, report)]

    def _resend_outcome(self, sender: HostId, record: ActionRecord) -> list[Action]:
        if record.outcome is None:
            return []
        return [SendToPeer(sender, record.outcome)]

    def _report_unknown(
        self,
        world: World,
        sender: HostId,
        request_id: RequestId,
        part: Part,
        reason: Reason,
        now_ms: float,
    ) -> list[Action]:
        world.counter_by_name[f"uncertain_actions_{reason}"] += 1
        part_id = (part.attempt, part.upstream, part.shard)
        outcome = PartOutcome(*part_id, PartStatus.FAILED, Ran.UNKNOWN, reason)
        uptime_ms = now_ms - (world.started_ms or now_ms)
        report = ActionOutcome(
            world.run_id, now_ms, request_id, outcome, NO_BODY, uptime_ms
        )
        cause = f"this process has no record of whether the action ran: {reason}"
        decision = LogDecision("refuse", request_id, part.upstream, cause)
        return [decision, SendToPeer(sender, report)]


def _not_run(part: Part, status: PartStatus, reason: Reason) -> PartOutcome:
    part_id = (part.attempt, part.upstream, part.shard)
    return PartOutcome(*part_id, status, Ran.NO, reason)
