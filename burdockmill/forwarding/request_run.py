"""Run one request: send, hedge, retry, and decide when and how to answer."""

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

# A hedge that the budget or the replicas refuse is considered again after this.
HEDGE_RETRY_MS = 10.0
# An upstream that is expected to need this long is no help beside another one.
HOPELESS_MS = 1_000.0
# Less time than this is not enough for another attempt.
LEAST_ATTEMPT_MS = 10.0


class RequestRun:
    """Run one request as a pure function of what happens and when."""

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
        self.concluded = False
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
        self._goal_ms = request.received_ms + route.latency_goal_ms - request.spent_ms

    @property
    def next_due_ms(self) -> float | None:
        """Return when `tick` has something to do, in clock milliseconds."""
        if self.concluded:
            return None
        due_ms = min(self._times.final_ms, self._hedges.next_ms)
        if self.route.shards is not None and not self._is_past_partial:
            due_ms = min(due_ms, self._times.partial_ms)
        return due_ms

    def is_settled(self, part: int) -> bool:
        """Tell whether a part needs no more attempts."""
        return self.concluded or self.parts[part].settled

    def start(self, now_ms: float) -> list[RunAction]:
        """Send the first attempt of every part."""
        self._is_past_partial = now_ms >= self._times.partial_ms
        actions: list[RunAction] = []
        if now_ms >= self._times.final_ms:
            error = DeadlineExceededError("No time was left on arrival.")
            return [self._conclude(error, "no time left on arrival")]
        for part in self.parts:
            self._planner.budget.earn(part.service, now_ms)
            self._send(part, AttemptKind.FIRST, now_ms, actions)
        self._settle(now_ms, actions)
        return actions

    def ended(
        self, attempt: int, outcome: AttemptOutcome, now_ms: float
    ) -> list[RunAction]:
        """Take the end of an attempt."""
        part, row = self._row_by_attempt[attempt]
        row.outcome = outcome
        row.took_ms = now_ms - row.sent_ms
        actions: list[RunAction] = []
        if row.is_paid and outcome.end is AttemptEnd.NOT_SENT:
            self._planner.budget.refund(part.service)
        if self.concluded or part.settled:
            return actions
        if outcome.end is AttemptEnd.ANSWERED:
            part.answer = outcome.answer
            self._covered += 1
            actions.extend(WithdrawAttempt(row.number) for row in part.under_way)
        else:
            self._after_failure(part, now_ms, actions)
        self._settle(now_ms, actions)
        return actions

    def tick(self, now_ms: float) -> list[RunAction]:
        """Send the hedges that are due, and answer when it is time."""
        actions: list[RunAction] = []
        if self.concluded:
            return actions
        if now_ms >= self._times.partial_ms:
            self._is_past_partial = True
        for part in self._hedges.take(now_ms):
            self._hedge(part, now_ms, actions)
        self._settle(now_ms, actions)
        return actions

    def _send(
        self,
        part: PartRun,
        kind: AttemptKind,
        now_ms: float,
        actions: list[RunAction],
    ) -> bool:
        """Send an attempt to the best upstream left; tell whether there was one."""
        route = self.route
        choice = self._planner.choose(
            part.service, part.tried, route.is_idempotent, now_ms
        )
        if choice is None:
            if not part.attempts:
                self._lose(part, "no upstream is registered")
            return False
        if kind is AttemptKind.HEDGE and choice.expected_ms >= HOPELESS_MS:
            return False
        is_repeat = part.may_have_arrived
        if is_repeat and not self._planner.may_repeat(part.service, kind, now_ms):
            return False
        self._add(part, choice.upstream, kind, now_ms, actions, is_paid=is_repeat)
        if kind is AttemptKind.FIRST and route.is_idempotent:
            self._probe(part, choice.upstream, now_ms, actions)
        part.hedge_ms = None
        if self._may_run_again(part) and choice.alternative_ms is not None:
            left_ms = self._goal_ms - now_ms
            delay_ms = self._planner.hedge_delay_ms(route, choice, left_ms)
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
        suspect = self._planner.to_probe(part.service, chosen.upstream, now_ms)
        if suspect is None:
            return
        if self._planner.may_repeat(part.service, AttemptKind.PROBE, now_ms):
            kind = AttemptKind.PROBE
            self._add(part, suspect, kind, now_ms, actions, is_paid=True)

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
        if not part.under_way:
            end = part.last_end()
            self._lose(part, "no attempt was sent" if end is None else end.value)

    def _lose(self, part: PartRun, reason: str) -> None:
        part.lost = reason
        self._lost.append(part)

    def _may_run_again(self, part: PartRun) -> bool:
        runs = part.possible_runs
        if runs == 0:
            return True
        return self.route.is_idempotent and runs < self.route.attempts_limit

    def _is_too_late(self, now_ms: float) -> bool:
        return now_ms + LEAST_ATTEMPT_MS >= self._times.final_ms

    def _settle(self, now_ms: float, actions: list[RunAction]) -> None:
        """Answer if it is time to."""
        if self.route.shards is None:
            self._settle_single(now_ms, actions)
        else:
            self._settle_search(now_ms, actions)

    def _settle_single(self, now_ms: float, actions: list[RunAction]) -> None:
        part = self.parts[0]
        if part.answer is not None:
            actions.append(self._conclude(part.answer, "answered"))
        elif part.lost:
            left_ms = self._times.final_ms - now_ms
            actions.append(self._conclude(*lost_answer(part, left_ms)))
        elif now_ms >= self._times.final_ms:
            failure = part.failure()
            if failure is not None:
                actions.append(self._conclude(failure, "deadline after a failure"))
            else:
                ran = Ran.UNKNOWN if part.possible_runs else Ran.NO
                error = DeadlineExceededError("No upstream answered in time.", ran=ran)
                actions.append(self._conclude(error, "deadline"))

    def _settle_search(self, now_ms: float, actions: list[RunAction]) -> None:
        shards = self.route.shards
        assert shards is not None
        total = len(self.parts)
        covered = self._covered
        lost = self._lost
        enough = is_enough(covered, total, shards.least_coverage)
        if covered == total:
            actions.append(self._conclude_merged("complete"))
        elif covered + len(lost) == total and enough:
            actions.append(self._conclude_merged("all others are lost"))
        elif not is_enough(total - len(lost), total, shards.least_coverage):
            actions.append(self._conclude_uncovered(lost, now_ms))
        elif now_ms >= self._times.partial_ms and enough:
            actions.append(self._conclude_merged("latency goal"))
        elif now_ms >= self._times.final_ms:
            error = DeadlineExceededError(
                "Too few shards answered in time.", ran=Ran.UNKNOWN
            )
            actions.append(self._conclude(error, "deadline"))

    def _conclude_merged(self, note: str) -> Conclude:
        shards = self.route.shards
        assert shards is not None
        answers = [part.answer for part in self.parts if part.answer is not None]
        body = self._merge.merge((one.body for one in answers), shards.top_count)
        stamps = tuple(one.stamp for one in answers)
        missing = len(self.parts) - len(answers)
        return self._conclude(MergedAnswer(body, stamps, missing), note)

    def _conclude_uncovered(self, lost: list[PartRun], now_ms: float) -> Conclude:
        if not any(part.possible_runs for part in self.parts):
            left_ms = self._times.final_ms - now_ms
            return self._conclude(refusal(lost, left_ms), "no upstream took it")
        return self._conclude(uncovered(lost), "too many shards are lost")

    def _conclude(
        self, result: UpstreamAnswer | MergedAnswer | BurdockmillError, note: str
    ) -> Conclude:
        self.concluded = True
        return Conclude(result, note)
