"""Decide when a request is answered, and with what."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import DeadlineExceededError, Ran
from burdockmill.forwarding.actions import Conclude
from burdockmill.forwarding.failures import (
    Outlook,
    lost_answer,
    passed_on,
    refusal,
    uncovered,
)
from burdockmill.forwarding.messages import MergedAnswer
from burdockmill.policies.answer_timing import (
    AnswerTimes,
    answer_times,
    least_shards,
)
from burdockmill.policies.return_time import pause_until_enough_ms

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burdockmill.forwarding.merge_policy import MergePolicy
    from burdockmill.forwarding.messages import ForwardedRequest
    from burdockmill.forwarding.part_run import PartRun
    from burdockmill.forwarding.planner import Planner
    from burdockmill.forwarding.routes import Route

# Another attempt is not worthwhile with less remaining time than this.
MIN_ATTEMPT_MS = 10.0


def times_of(request: ForwardedRequest, route: Route) -> AnswerTimes:
    """Return when a request of a route is answered."""
    return answer_times(
        request.received_ms,
        request.spent_ms,
        request.deadline_ms,
        route.latency_goal_ms,
        route.timeout_ms,
    )


class AnswerDecision:
    """Decide when one request is answered, from the state of its parts."""

    def __init__(
        self,
        request: ForwardedRequest,
        route: Route,
        parts: Sequence[PartRun],
        times: AnswerTimes,
        planner: Planner,
        merge: MergePolicy,
    ) -> None:
        self._request = request
        self._parts = parts
        self.times = times
        self._planner = planner
        self._merge = merge
        self._route = route
        self._shards = route.shards
        self._is_idempotent = route.is_idempotent
        least_coverage = 1.0 if route.shards is None else route.shards.least_coverage
        self._least_parts = least_shards(len(parts), least_coverage)

    def end_by(self, end_ms: float) -> None:
        """Let the request be answered at a clock time at the latest."""
        partial_ms, final_ms = self.times
        self.times = AnswerTimes(min(partial_ms, end_ms), min(final_ms, end_ms))

    def is_too_late(self, now_ms: float) -> bool:
        """Return whether no time is left for another attempt."""
        return now_ms + MIN_ATTEMPT_MS >= self.times.final_ms

    @property
    def spare_parts(self) -> int:
        """Return without how many parts there is still an answer."""
        return len(self._parts) - self._least_parts

    def is_unservable(self, lost: int) -> bool:
        """Return whether too few parts remain for an answer."""
        return lost > self.spare_parts

    def decide(
        self, covered: int, lost: Sequence[PartRun], now_ms: float
    ) -> Conclude | None:
        """Return the answer if it is due now; `covered` parts have one, `lost` none."""
        if self._shards is None:
            return self._decide_single(lost, now_ms)
        return self._decide_search(covered, lost, now_ms)

    def _decide_single(self, lost: Sequence[PartRun], now_ms: float) -> Conclude | None:
        part = self._parts[0]
        if part.answer is not None:
            return Conclude(part.answer, "answered")
        if part.lost:
            outlook = self._outlook(lost, now_ms)
            return Conclude(*lost_answer(part, outlook, self._is_idempotent))
        if now_ms < self.times.final_ms:
            return None
        failure = part.failure()
        if failure is not None:
            result = passed_on(failure, self._is_idempotent)
            return Conclude(result, "deadline after a failure")
        ran = Ran.UNKNOWN if part.possible_runs else Ran.NO
        error = DeadlineExceededError("No upstream answered in time.", ran=ran)
        return Conclude(error, "deadline")

    def _decide_search(
        self, covered: int, lost: Sequence[PartRun], now_ms: float
    ) -> Conclude | None:
        total = len(self._parts)
        is_enough = covered >= self._least_parts
        if covered == total:
            return self._conclude_merged("complete")
        if covered + len(lost) == total and is_enough:
            return self._conclude_merged("all other shards are lost")
        if self.is_unservable(len(lost)):
            return self._conclude_uncovered(lost, now_ms)
        if now_ms >= self.times.partial_ms and is_enough:
            return self._conclude_merged("latency goal")
        if now_ms < self.times.final_ms:
            return None
        error = DeadlineExceededError(
            "Too few shards answered in time.", ran=Ran.UNKNOWN
        )
        return Conclude(error, "deadline")

    def _conclude_merged(self, reason: str) -> Conclude:
        assert self._shards is not None
        answers = [part.answer for part in self._parts if part.answer is not None]
        body = self._merge.merge((one.body for one in answers), self._shards.top_count)
        stamps = tuple(one.stamp for one in answers)
        missing = len(self._parts) - len(answers)
        return Conclude(MergedAnswer(body, stamps, missing), reason)

    def _conclude_uncovered(self, lost: Sequence[PartRun], now_ms: float) -> Conclude:
        if any(part.possible_runs for part in self._parts):
            return Conclude(uncovered(lost), "too many shards are lost")
        error = refusal(lost, self._outlook(lost, now_ms))
        return Conclude(error, "no upstream accepted it")

    def _outlook(self, lost: Sequence[PartRun], now_ms: float) -> Outlook:
        """Return what decides when a client whose request was not run may return."""
        pauses_ms = [
            self._planner.pause_ms(part.service, now_ms, self._route) for part in lost
        ]
        available = len(self._parts) - len(lost)
        return Outlook(
            self._request.request_id,
            self.times.final_ms - now_ms,
            pause_until_enough_ms(pauses_ms, self._least_parts - available),
        )
