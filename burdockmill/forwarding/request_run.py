"""Run one request: send, hedge and retry attempts, and decide when to answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.forwarding.actions import SendAttempt, WithdrawAttempt
from burdockmill.forwarding.answer_decision import AnswerDecision, times_of
from burdockmill.forwarding.attempt_costs import request_classes
from burdockmill.forwarding.hedge_queue import HedgeQueue
from burdockmill.forwarding.messages import AttemptEnd, AttemptKind
from burdockmill.forwarding.part_run import AttemptRow, PartRun
from burdockmill.forwarding.run_admission import refusal_at_start
from burdockmill.forwarding.run_suspicion import RunSuspicion

if TYPE_CHECKING:
    from burdockmill.forwarding.actions import RunAction
    from burdockmill.forwarding.merge_policy import MergePolicy
    from burdockmill.forwarding.messages import (
        AttemptOutcome,
        ForwardedRequest,
        Registration,
    )
    from burdockmill.forwarding.planner import Choice, Planner
    from burdockmill.forwarding.routes import Route
    from burdockmill.names import ServiceId

# Wait before a hedge that had no budget or no suitable upstream is tried again.
HEDGE_RETRY_MS = 10.0
# No hedge is sent to an upstream that is expected to take this long.
HEDGE_TARGET_LIMIT_MS = 1_000.0


class RequestRun:
    """Run one request as a state machine; events and the clock are passed in."""

    def __init__(
        self,
        request: ForwardedRequest,
        route: Route,
        services: tuple[ServiceId, ...],
        planner: Planner,
        merge: MergePolicy,
    ) -> None:
        self.request = request
        self.route = route
        classes = request_classes(request, route, services)
        self.parts = [PartRun(index, one) for index, one in enumerate(classes)]
        self.completed = False
        self.suspicion = RunSuspicion(request, route.shards is not None, planner.guard)
        self._planner = planner
        self._row_by_attempt: dict[int, tuple[PartRun, AttemptRow]] = {}
        self._hedges = HedgeQueue()
        self._covered = 0
        self._lost: list[PartRun] = []
        times = times_of(request, route)
        self._goal_end_ms = (
            request.received_ms + route.latency_goal_ms - request.spent_ms
        )
        self.answering = AnswerDecision(
            request, route, self.parts, times, planner, merge
        )

    @property
    def final_ms(self) -> float:
        """Return the clock time at which the request is answered in any case."""
        return self.answering.times.final_ms

    @property
    def next_due_ms(self) -> float | None:
        """Return the clock time in milliseconds at which `tick` is due, or None."""
        if self.completed:
            return None
        due_ms = min(self.final_ms, self._hedges.next_ms, self.suspicion.recheck_ms)
        if self.route.shards is not None and not self._is_past_partial:
            due_ms = min(due_ms, self.answering.times.partial_ms)
        return due_ms

    def is_complete(self, part: int) -> bool:
        """Return whether a part needs no more attempts."""
        return self.completed or self.parts[part].is_complete

    def sent_ms(self, attempt: int) -> float:
        """Return the clock time at which an attempt was sent, in milliseconds."""
        return self._row_by_attempt[attempt][1].sent_ms

    def start(self, now_ms: float) -> list[RunAction]:
        """Send the first attempt of every part, or answer if no time is left."""
        self._is_past_partial = now_ms >= self.answering.times.partial_ms
        actions: list[RunAction] = []
        refused = refusal_at_start(self, self._planner, now_ms)
        if refused is not None:
            self.completed = True
            return [refused]
        choices = []
        for part in self.parts:
            if not self.request.is_counted:
                self._planner.budget.deposit(part.service, now_ms)
            choice, reason = None, "it crashes the shard's upstreams"
            if self.suspicion.admit_part(part.service, now_ms):
                choice = self._choose(part, AttemptKind.FIRST, now_ms)
                reason = "no upstream accepts requests"
            choices.append(choice)
            if choice is None:
                self._planner.record_unplaced(part.service, now_ms, self.route)
                self._mark_lost(part, reason)
        # A request that cannot be served is refused before any part of it runs.
        if not self.answering.is_unservable(len(self._lost)):
            for part, choice in zip(self.parts, choices, strict=True):
                self._send(part, AttemptKind.FIRST, choice, now_ms, actions)
        self._complete_if_due(now_ms, actions)
        return actions

    def restart(self, now_ms: float) -> list[RunAction]:
        """Start once more, after a run that was stopped and of which nothing ran."""
        self.completed = False
        self.request = self.request._replace(is_counted=True)
        self.suspicion.waiting.clear()
        self._lost.clear()
        for part in self.parts:
            part.restart()
        return self.start(now_ms)

    def ended(
        self, attempt: int, outcome: AttemptOutcome, now_ms: float
    ) -> list[RunAction]:
        """Record how an attempt ended; return what to send, withdraw or answer."""
        part, row = self._row_by_attempt[attempt]
        row.outcome = outcome
        row.took_ms = now_ms - row.sent_ms
        actions: list[RunAction] = []
        if row.is_paid and outcome.end.never_written:
            self._planner.budget.refund(part.service)
        self.suspicion.ended(row, part.service, outcome, now_ms)
        if self.completed:
            return actions
        if part.is_complete:
            self._resume(now_ms, actions)
            self._complete_if_due(now_ms, actions)
            return actions
        if outcome.end is AttemptEnd.ANSWERED:
            part.answer = outcome.answer
            self._covered += 1
            actions.extend(WithdrawAttempt(row.number) for row in part.in_flight)
        else:
            self._after_failure(part, now_ms, actions)
        self._resume(now_ms, actions)
        self._complete_if_due(now_ms, actions)
        return actions

    def tick(self, now_ms: float) -> list[RunAction]:
        """Send the hedges that are due, and answer the request if it is time to."""
        actions: list[RunAction] = []
        if self.completed:
            return actions
        if now_ms >= self.answering.times.partial_ms:
            self._is_past_partial = True
        for part in self._hedges.pop_due(now_ms):
            self._hedge(part, now_ms, actions)
        if self.suspicion.waiting:
            self._resume(now_ms, actions)
        self._complete_if_due(now_ms, actions)
        return actions

    def _send(
        self,
        part: PartRun,
        kind: AttemptKind,
        choice: Choice | None,
        now_ms: float,
        actions: list[RunAction],
    ) -> bool:
        """Send an attempt to the chosen upstream, now or after the canary.

        Return whether it is or will be sent.
        """
        if choice is None:
            return False
        if self.suspicion.must_wait(part, kind, now_ms):
            return True
        if kind is AttemptKind.HEDGE and choice.expected_ms >= HEDGE_TARGET_LIMIT_MS:
            return False
        is_repeat = part.may_have_arrived
        if is_repeat and not self._pay(part, kind, now_ms):
            return False
        self._add(part, choice.upstream, kind, now_ms, actions, is_paid=is_repeat)
        may_copy = self.route.is_idempotent and self.suspicion.may_hedge(part.service)
        if kind is AttemptKind.FIRST and may_copy:
            self._probe(part, choice.upstream, now_ms, actions)
        part.hedge_ms = None
        if part.may_run_again(self.route) and choice.alternative_ms is not None:
            remaining_ms = self._goal_end_ms - now_ms
            delay_ms = self._planner.hedge_delay_ms(
                self.route, choice, remaining_ms, part.request_class
            )
            self._hedges.schedule(part, now_ms + delay_ms)
        return True

    def _choose(self, part: PartRun, kind: AttemptKind, now_ms: float) -> Choice | None:
        route, avoided = self.route, self.suspicion.avoided_domains
        limits = part.tried, route.is_idempotent, now_ms, kind, avoided, route
        return self._planner.choose(part.service, *limits, part.request_class)

    def _pay(self, part: PartRun, kind: AttemptKind, now_ms: float) -> bool:
        rank = self.route.rank
        return self._planner.withdraw_repeat(part.service, kind, now_ms, rank)

    def _add(
        self,
        part: PartRun,
        upstream: Registration,
        kind: AttemptKind,
        now_ms: float,
        actions: list[RunAction],
        is_paid: bool,
    ) -> None:
        number = len(self._row_by_attempt)
        row = AttemptRow(number, upstream, kind, now_ms, is_paid)
        part.attempts.append(row)
        self._row_by_attempt[number] = (part, row)
        end_ms = self.request.end_ms(self.route.timeout_ms)
        is_canary = self.suspicion.is_canary(part.service)
        rank = self.route.rank
        sent = SendAttempt(number, part.index, upstream, kind, end_ms, is_canary, rank)
        actions.append(sent)
        self.suspicion.sent(number, part.service, now_ms)

    def _probe(
        self,
        part: PartRun,
        chosen: Registration,
        now_ms: float,
        actions: list[RunAction],
    ) -> None:
        if part.possible_runs >= self.route.attempts_limit:
            return
        replica = self._planner.probe_target(
            part.service, chosen.upstream, now_ms, self.route
        )
        if replica is None:
            return
        if self._pay(part, AttemptKind.PROBE, now_ms):
            self._add(part, replica, AttemptKind.PROBE, now_ms, actions, is_paid=True)

    def _hedge(self, part: PartRun, now_ms: float, actions: list[RunAction]) -> None:
        part.hedge_ms = None
        if not part.may_run_again(self.route) or self.answering.is_too_late(now_ms):
            return
        is_unanswered = len(self.parts) > 1 and not self._covered
        if is_unanswered and self._hedges.must_wait(part, now_ms):
            return
        if not self.suspicion.may_hedge(part.service):
            self._hedges.schedule(part, now_ms + HEDGE_RETRY_MS)
            return
        choice = self._choose(part, AttemptKind.HEDGE, now_ms)
        if not self._send(part, AttemptKind.HEDGE, choice, now_ms, actions):
            self._hedges.schedule(part, now_ms + HEDGE_RETRY_MS)

    def _after_failure(
        self, part: PartRun, now_ms: float, actions: list[RunAction]
    ) -> None:
        is_too_late = self.answering.is_too_late(now_ms)
        may_try = part.may_run_again(self.route) and not is_too_late
        if may_try and self.suspicion.may_retry(part.service):
            choice = self._choose(part, AttemptKind.RETRY, now_ms)
            if self._send(part, AttemptKind.RETRY, choice, now_ms, actions):
                return
        if not part.in_flight:
            end = part.last_end()
            self._planner.room.lost(part.service, end, now_ms)
            self._mark_lost(part, "no attempt was sent" if end is None else end.value)

    def _resume(self, now_ms: float, actions: list[RunAction]) -> None:
        """Send the attempts that need not wait any longer, or give them up."""
        self.suspicion.follow_news()
        while (waiting := self.suspicion.take_waiting(now_ms)) is not None:
            part, kind = waiting
            is_refused = self.suspicion.is_refused(part.service)
            is_over = is_refused or self.answering.is_too_late(now_ms)
            if not is_over:
                choice = self._choose(part, kind, now_ms)
                if self._send(part, kind, choice, now_ms, actions):
                    continue
            if not part.in_flight:
                self._mark_lost(part, "an earlier attempt ended its upstream")

    def _mark_lost(self, part: PartRun, reason: str) -> None:
        part.lost = reason
        self._lost.append(part)

    def _complete_if_due(self, now_ms: float, actions: list[RunAction]) -> None:
        """Answer the request if it is complete, has failed or is out of time."""
        conclusion = self.answering.decide(self._covered, self._lost, now_ms)
        if conclusion is not None:
            self.completed = True
            actions.append(conclusion)
