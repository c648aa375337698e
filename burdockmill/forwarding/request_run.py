"""Run one request: send, hedge and retry attempts, and decide when to answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import (
    DeadlineExceededError,
    Ran,
)
from burdockmill.forwarding.actions import (
    Conclude,
    RunAction,
    SendAttempt,
    WithdrawAttempt,
)
from burdockmill.forwarding.failures import lost_answer, refusal, uncovered
from burdockmill.forwarding.hedge_queue import HedgeQueue
from burdockmill.forwarding.messages import (
    AttemptEnd,
    AttemptKind,
    MergedAnswer,
    UpstreamAnswer,
)
from burdockmill.forwarding.part_run import AttemptRow, PartRun
from burdockmill.policies.answer_timing import answer_times, is_enough

if TYPE_CHECKING:
    from burdockmill.errors import BurdockmillError
    from burdockmill.forwarding.merge_policy import MergePolicy
    from burdockmill.forwarding.messages import (
        AttemptOutcome,
        ForwardedRequest,
        Registration,
    )
    from burdockmill.forwarding.planner import Planner
    from burdockmill.forwarding.routes import Route
    from burdockmill.names import ServiceId

# Wait before a hedge that had no budget or no suitable upstream is tried again.
HEDGE_RETRY_MS = 10.0
# No hedge is sent to an upstream that is expected to take this long.
HEDGE_TARGET_LIMIT_MS = 1_000.0
# Another attempt is not worthwhile with less remaining time than this.
MIN_ATTEMPT_MS = 10.0


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
        self.parts = [PartRun(index, name) for index, name in enumerate(services)]
        self.completed = False
        self._planner = planner
        self._merge = merge
        self._row_by_attempt: dict[int, tuple[PartRun, AttemptRow]] = {}
        self._hedges = HedgeQueue()
        self._covered = 0
        self._lost: list[PartRun] = []
        self._times = answer_times(
            request.received_ms,
            request.spent_ms,
            request.deadline_ms,
            route.latency_goal_ms,
            route.timeout_ms,
        )
        self._goal_end_ms = (
            request.received_ms + route.latency_goal_ms - request.spent_ms
        )

    @property
    def next_due_ms(self) -> float | None:
        """Return the clock time in milliseconds at which `tick` is due, or None."""
        if self.completed:
            return None
        due_ms = min(self._times.final_ms, self._hedges.next_ms)
        if self.route.shards is not None and not self._is_past_partial:
            due_ms = min(due_ms, self._times.partial_ms)
        return due_ms

    def is_complete(self, part: int) -> bool:
        """Return whether a part needs no more attempts."""
        return self.completed or self.parts[part].is_complete

    def start(self, now_ms: float) -> list[RunAction]:
        """Send the first attempt of every part, or answer if no time is left."""
        self._is_past_partial = now_ms >= self._times.partial_ms
        actions: list[RunAction] = []
        if now_ms >= self._times.final_ms:
            error = DeadlineExceededError("No time was left when the request arrived.")
            return [self._complete(error, "no time left when the request arrived")]
        for part in self.parts:
            self._planner.budget.deposit(part.service, now_ms)
            self._send(part, AttemptKind.FIRST, now_ms, actions)
        self._complete_if_due(now_ms, actions)
        return actions

    def ended(
        self, attempt: int, outcome: AttemptOutcome, now_ms: float
    ) -> list[RunAction]:
        """Record how an attempt ended; return what to send, withdraw or answer."""
        part, row = self._row_by_attempt[attempt]
        row.outcome = outcome
        row.took_ms = now_ms - row.sent_ms
        actions: list[RunAction] = []
        if row.is_paid and outcome.end is AttemptEnd.NOT_SENT:
            self._planner.budget.refund(part.service)
        if self.completed or part.is_complete:
            return actions
        if outcome.end is AttemptEnd.ANSWERED:
            part.answer = outcome.answer
            self._covered += 1
            actions.extend(WithdrawAttempt(row.number) for row in part.in_flight)
        else:
            self._after_failure(part, now_ms, actions)
        self._complete_if_due(now_ms, actions)
        return actions

    def tick(self, now_ms: float) -> list[RunAction]:
        """Send the hedges that are due, and answer the request if it is time to."""
        actions: list[RunAction] = []
        if self.completed:
            return actions
        if now_ms >= self._times.partial_ms:
            self._is_past_partial = True
        for part in self._hedges.pop_due(now_ms):
            self._hedge(part, now_ms, actions)
        self._complete_if_due(now_ms, actions)
        return actions

    def _send(
        self,
        part: PartRun,
        kind: AttemptKind,
        now_ms: float,
        actions: list[RunAction],
    ) -> bool:
        """Send an attempt to the best untried upstream; return whether it was sent."""
        route = self.route
        choice = self._planner.choose(
            part.service, part.tried, route.is_idempotent, now_ms
        )
        if choice is None:
            if not part.attempts:
                self._mark_lost(part, "no upstream is registered")
            return False
        if kind is AttemptKind.HEDGE and choice.expected_ms >= HEDGE_TARGET_LIMIT_MS:
            return False
        is_repeat = part.may_have_arrived
        if is_repeat and not self._planner.withdraw_repeat(part.service, kind, now_ms):
            return False
        self._add(part, choice.upstream, kind, now_ms, actions, is_paid=is_repeat)
        if kind is AttemptKind.FIRST and route.is_idempotent:
            self._probe(part, choice.upstream, now_ms, actions)
        part.hedge_ms = None
        if self._may_run_again(part) and choice.alternative_ms is not None:
            remaining_ms = self._goal_end_ms - now_ms
            delay_ms = self._planner.hedge_delay_ms(route, choice, remaining_ms)
            self._hedges.schedule(part, now_ms + delay_ms)
        return True

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
        deadline_ms = min(
            self.request.deadline_ms, self.request.received_ms + self.route.timeout_ms
        )
        actions.append(SendAttempt(number, part.index, upstream, kind, deadline_ms))

    def _probe(
        self,
        part: PartRun,
        chosen: Registration,
        now_ms: float,
        actions: list[RunAction],
    ) -> None:
        if part.possible_runs >= self.route.attempts_limit:
            return
        replica = self._planner.probe_target(part.service, chosen.upstream, now_ms)
        if replica is None:
            return
        if self._planner.withdraw_repeat(part.service, AttemptKind.PROBE, now_ms):
            kind = AttemptKind.PROBE
            self._add(part, replica, kind, now_ms, actions, is_paid=True)

    def _hedge(self, part: PartRun, now_ms: float, actions: list[RunAction]) -> None:
        part.hedge_ms = None
        if not self._may_run_again(part) or self._is_too_late(now_ms):
            return
        if not self._send(part, AttemptKind.HEDGE, now_ms, actions):
            self._hedges.schedule(part, now_ms + HEDGE_RETRY_MS)

    def _after_failure(
        self, part: PartRun, now_ms: float, actions: list[RunAction]
    ) -> None:
        may_try = self._may_run_again(part) and not self._is_too_late(now_ms)
        if may_try and self._send(part, AttemptKind.RETRY, now_ms, actions):
            return
        if not part.in_flight:
            end = part.last_end()
            self._mark_lost(part, "no attempt was sent" if end is None else end.value)

    def _mark_lost(self, part: PartRun, reason: str) -> None:
        part.lost = reason
        self._lost.append(part)

    def _may_run_again(self, part: PartRun) -> bool:
        runs = part.possible_runs
        if runs == 0:
            return True
        return self.route.is_idempotent and runs < self.route.attempts_limit

    def _is_too_late(self, now_ms: float) -> bool:
        return now_ms + MIN_ATTEMPT_MS >= self._times.final_ms

    def _complete_if_due(self, now_ms: float, actions: list[RunAction]) -> None:
        """Answer the request if it is complete, has failed or is out of time."""
        if self.route.shards is None:
            self._complete_single_if_due(now_ms, actions)
        else:
            self._complete_search_if_due(now_ms, actions)

    def _complete_single_if_due(self, now_ms: float, actions: list[RunAction]) -> None:
        part = self.parts[0]
        if part.answer is not None:
            actions.append(self._complete(part.answer, "answered"))
        elif part.lost:
            remaining_ms = self._times.final_ms - now_ms
            actions.append(self._complete(*lost_answer(part, remaining_ms)))
        elif now_ms >= self._times.final_ms:
            failure = part.failure()
            if failure is not None:
                actions.append(self._complete(failure, "deadline after a failure"))
            else:
                ran = Ran.UNKNOWN if part.possible_runs else Ran.NO
                error = DeadlineExceededError("No upstream answered in time.", ran=ran)
                actions.append(self._complete(error, "deadline"))

    def _complete_search_if_due(self, now_ms: float, actions: list[RunAction]) -> None:
        shards = self.route.shards
        assert shards is not None
        total = len(self.parts)
        covered = self._covered
        lost = self._lost
        enough = is_enough(covered, total, shards.least_coverage)
        if covered == total:
            actions.append(self._complete_merged("complete"))
        elif covered + len(lost) == total and enough:
            actions.append(self._complete_merged("all other shards are lost"))
        elif not is_enough(total - len(lost), total, shards.least_coverage):
            actions.append(self._complete_uncovered(lost, now_ms))
        elif now_ms >= self._times.partial_ms and enough:
            actions.append(self._complete_merged("latency goal"))
        elif now_ms >= self._times.final_ms:
            error = DeadlineExceededError(
                "Too few shards answered in time.", ran=Ran.UNKNOWN
            )
            actions.append(self._complete(error, "deadline"))

    def _complete_merged(self, reason: str) -> Conclude:
        shards = self.route.shards
        assert shards is not None
        answers = [part.answer for part in self.parts if part.answer is not None]
        body = self._merge.merge((one.body for one in answers), shards.top_count)
        stamps = tuple(one.stamp for one in answers)
        missing = len(self.parts) - len(answers)
        return self._complete(MergedAnswer(body, stamps, missing), reason)

    def _complete_uncovered(self, lost: list[PartRun], now_ms: float) -> Conclude:
        if not any(part.possible_runs for part in self.parts):
            remaining_ms = self._times.final_ms - now_ms
            return self._complete(
                refusal(lost, remaining_ms), "no upstream accepted it"
            )
        return self._complete(uncovered(lost), "too many shards are lost")

    def _complete(
        self, result: UpstreamAnswer | MergedAnswer | BurdockmillError, reason: str
    ) -> Conclude:
        self.completed = True
        return Conclude(result, reason)
