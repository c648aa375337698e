"""Run a request here, hand it over to another host, or refuse it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burdockmill.errors import (
    BurdockmillError,
    CrashingRequestError,
    DeadlineExceededError,
    Ran,
)
from burdockmill.forwarding import failures
from burdockmill.forwarding.actions import Conclude, WithdrawAttempt
from burdockmill.relay.actions import (
    RelayEnd,
    RelayOutcome,
    SendRelay,
    WithdrawRelay,
)
from burdockmill.relay.possible_runs import PossibleRuns
from burdockmill.relay.relay_planner import Way
from burdockmill.relay.relay_rows import RelayRow, RelayRows

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.forwarding.actions import RunAction
    from burdockmill.forwarding.messages import AttemptOutcome
    from burdockmill.forwarding.request_run import RequestRun
    from burdockmill.relay.relay_planner import RelayPlan, RelayPlanner

    HandoverAction = RunAction | SendRelay | WithdrawRelay

# A request is given to at most so many hosts, one after the other.
RELAYS_LIMIT = 3
# A request is not handed over with less remaining time than this beyond the round trip.
MIN_RELAY_MS = 30.0


class HandoverRun:
    """Carry one request through as a state machine; events and the clock are passed in.

    `direct` is the run that sends the request to upstreams from here. A request that
    another host handed over is only ever run here.
    """

    def __init__(self, direct: RequestRun, planner: RelayPlanner) -> None:
        self.direct = direct
        self.completed = False
        self.relays = RelayRows()
        self._planner = planner
        self._runs = PossibleRuns(direct, self.relays, planner)
        self._services = tuple(part.service for part in direct.parts)
        self._may_hand_over = not direct.request.entry
        self._has_started_direct = False
        self._fallback: Conclude | None = None
        self._waits_until_ms: float | None = None

    @property
    def next_due_ms(self) -> float | None:
        """Return the clock time in milliseconds at which `tick` is due, or None."""
        if self.completed:
            return None
        due_ms = self.direct.final_ms
        if self._is_direct_active:
            due_ms = min(due_ms, self.direct.next_due_ms or math.inf)
        if self._waits_until_ms is not None:
            due_ms = min(due_ms, self._waits_until_ms)
        return due_ms

    def start(self, now_ms: float) -> list[HandoverAction]:
        """Send the request to upstreams or to another host, wait, or refuse it."""
        if self._may_hand_over and self._has_time(now_ms):
            plan = self._plan(now_ms)
            if plan.way is Way.RELAY:
                return self._hand_over(plan, now_ms)
            if plan.way is Way.WAIT and self._planner.is_isolated:
                self._waits_until_ms = plan.until_ms
                return []
            if plan.way is Way.NOWHERE:
                return self._refuse()
        return self._start_direct(now_ms)

    def ended(
        self, attempt: int, outcome: AttemptOutcome, now_ms: float
    ) -> list[HandoverAction]:
        """Record how an attempt from here ended; return what to do next."""
        if outcome.end.never_written and self._leaves_direct(attempt, now_ms):
            plan = self._plan(now_ms)
            if plan.way is Way.RELAY:
                self.direct.completed = True
                self.direct.ended(attempt, outcome, now_ms)
                return self._hand_over(plan, now_ms)
        return self._follow(self.direct.ended(attempt, outcome, now_ms), now_ms)

    def tick(self, now_ms: float) -> list[HandoverAction]:
        """Do what is due: hedge, go on without reports of other hosts, or answer."""
        if self.completed:
            return []
        if self._is_direct_active:
            return self._follow(self.direct.tick(now_ms), now_ms)
        if now_ms >= self.direct.final_ms:
            return self._give_up()
        if self._waits_until_ms is not None and now_ms >= self._waits_until_ms:
            self._waits_until_ms = None
            return self._go_on(now_ms, may_wait=False)
        return []

    def reconsider(self, now_ms: float) -> list[HandoverAction]:
        """Take another way if this host, or others, have learned who reaches what."""
        if self.completed or not self._may_hand_over or not self._has_time(now_ms):
            return []
        if self._waits_until_ms is not None:
            return self._go_on(now_ms, may_wait=True)
        if not (self._is_direct_active and self._planner.is_isolated):
            return []
        plan = self._plan(now_ms)
        if plan.way is not Way.RELAY or not self._pay(now_ms):
            return []
        self.direct.completed = True
        return [*self._withdraw_direct(), *self._hand_over(plan, now_ms)]

    def relay_written(self, relay: int) -> None:
        """Record that the request may be on its way to another host."""
        self.relays[relay].is_written = True

    def confirmed(self, relay: int, now_ms: float) -> None:
        """Record that another host has taken the request over."""

    def relay_ended(
        self, relay: int, outcome: RelayOutcome, now_ms: float
    ) -> list[HandoverAction]:
        """Record how another host ended the request; return what to do next."""
        row = self.relays[relay]
        row.outcome = outcome
        row.took_ms = now_ms - row.sent_ms
        if outcome.end is not RelayEnd.ANSWERED:
            self._planner.peers.avoid(row.host, now_ms)
        if self.completed:
            return []
        if outcome.end is RelayEnd.ANSWERED:
            return self._conclude_relayed(row, now_ms)
        return self._go_on(now_ms, may_wait=False)

    @property
    def _is_direct_active(self) -> bool:
        """Return whether this host still tries to get an answer from upstreams."""
        return self._has_started_direct and not self.direct.completed

    def _plan(self, now_ms: float) -> RelayPlan:
        refused = [part.service for part in self.direct.parts if part.is_refused]
        return self._planner.plan(
            self._services,
            self.relays.hosts,
            now_ms,
            self.direct.answering.spare_parts,
            refused,
            self.direct.route,
        )

    def _start_direct(self, now_ms: float) -> list[HandoverAction]:
        is_again, self._has_started_direct = self._has_started_direct, True
        start = self.direct.restart if is_again else self.direct.start
        return self._follow(start(now_ms), now_ms)

    def _follow(
        self, actions: Iterable[RunAction], now_ms: float
    ) -> list[HandoverAction]:
        """Pass on the direct run's actions, but for a failure that a host can mend."""
        followed: list[HandoverAction] = []
        for action in actions:
            if isinstance(action, Conclude) and self._may_mend(action, now_ms):
                plan = self._plan(now_ms)
                if plan.way is Way.WAIT:
                    self._fallback = action
                    self._waits_until_ms = plan.until_ms
                    followed += self._withdraw_direct()
                    continue
                if plan.way is Way.RELAY and self._pay(now_ms):
                    self._fallback = action
                    followed += self._withdraw_direct()
                    followed += self._hand_over(plan, now_ms)
                    continue
            if isinstance(action, Conclude):
                followed += self._conclude(action)
            else:
                followed.append(action)
        return followed

    def _may_mend(self, conclusion: Conclude, now_ms: float) -> bool:
        result = conclusion.result
        if isinstance(result, CrashingRequestError) or not self._may_hand_over:
            return False
        if not isinstance(result, BurdockmillError) or not self._has_time(now_ms):
            return False
        return self._runs.may_go_out

    def _leaves_direct(self, attempt: int, now_ms: float) -> bool:
        """Return whether a request that has not run anywhere need not try on here."""
        return (
            self._may_hand_over
            and self._planner.is_isolated
            and not self.direct.completed
            and not self._runs.from_here(but=attempt)
            and self._has_time(now_ms)
        )

    def _go_on(self, now_ms: float, may_wait: bool) -> list[HandoverAction]:
        """Take the next way after a wait, or after a host that did not serve it."""
        plan = self._plan(now_ms)
        may_relay = len(self.relays) < RELAYS_LIMIT and self._has_time(now_ms)
        if plan.way is Way.RELAY and may_relay and self._pay(now_ms):
            self._waits_until_ms = None
            return self._hand_over(plan, now_ms)
        if plan.way is Way.WAIT and may_wait:
            return []
        self._waits_until_ms = None
        if self._fallback is not None:
            return self._conclude(self._fallback)
        if plan.way is Way.HERE and not self._runs.may_have_run:
            return self._start_direct(now_ms)
        return self._refuse()

    def _hand_over(self, plan: RelayPlan, now_ms: float) -> list[HandoverAction]:
        number = len(self.relays)
        route = self.direct.route
        attempts_limit = max(1, route.attempts_limit - self._runs.so_far())
        self.relays.append(RelayRow(number, plan.host, attempts_limit, now_ms))
        return [
            SendRelay(
                number,
                plan.host,
                self.direct.final_ms,
                plan.round_trip_ms,
                attempts_limit,
                is_counted=self._has_started_direct,
            )
        ]

    def _pay(self, now_ms: float) -> bool:
        """Return whether the request may go out once more, and pay for that."""
        if not self._runs.may_have_run:
            return True
        if not self._runs.may_go_out:
            return False
        route = self.direct.route
        services = [
            part.service
            for part in self.direct.parts
            if self.relays.possible_runs or part.may_have_arrived
        ]
        return self._planner.pay(services, route, now_ms)

    def _has_time(self, now_ms: float) -> bool:
        return now_ms + MIN_RELAY_MS < self.direct.final_ms

    def _conclude_relayed(self, row: RelayRow, now_ms: float) -> list[HandoverAction]:
        assert row.outcome is not None
        result = row.outcome.result
        assert result is not None
        if not isinstance(result, BurdockmillError):
            self.direct.suspicion.answered_elsewhere(now_ms)
        elif (
            result.ran is Ran.NO
            and self._runs.may_have_run
            and self._fallback is not None
        ):
            return self._conclude(self._fallback)
        return self._conclude(Conclude(result, f"by way of {row.host}"))

    def _conclude(self, conclusion: Conclude) -> list[HandoverAction]:
        """Answer the request; each refusal of one that was handed over passes here."""
        self.completed = True
        if failures.promises_not_run(conclusion.result) and self._runs.may_have_run:
            has_lost = self.relays.has_lost
            self._planner.counts["refusals_replaced"] += 1
            conclusion = Conclude(*failures.unkept(conclusion.result, has_lost))
        return [*(WithdrawRelay(row.number) for row in self.relays.open), conclusion]

    def _withdraw_direct(self) -> list[HandoverAction]:
        return [
            WithdrawAttempt(row.number)
            for part in self.direct.parts
            for row in part.in_flight
        ]

    def _refuse(self) -> list[HandoverAction]:
        """Refuse the request, or tell that its answer is lost if it may have run."""
        error = failures.isolated(self.direct.request.request_id)
        return self._conclude(Conclude(error, "no host reaches an upstream"))

    def _give_up(self) -> list[HandoverAction]:
        """Answer a request that is out of time; a refusal from before may be true."""
        if self._fallback is not None and not self._runs.may_have_run:
            return self._conclude(self._fallback)
        ran = Ran.UNKNOWN if self._runs.may_have_run else Ran.NO
        error = DeadlineExceededError("No host answered in time.", ran=ran)
        return self._conclude(Conclude(error, "deadline"))
