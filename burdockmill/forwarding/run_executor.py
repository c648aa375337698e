"""Execute the actions of a request's run: attempts, hand-overs, timers, answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from burdockmill.clients.forwarding_client import InFlightAttempt
from burdockmill.errors import BurdockmillError
from burdockmill.forwarding.actions import Conclude, SendAttempt, WithdrawAttempt
from burdockmill.forwarding.messages import (
    AttemptEnd,
    AttemptOutcome,
    ConnectionState,
    MergedAnswer,
    UpstreamAnswer,
)
from burdockmill.forwarding.reach_monitor import OpenAttempt
from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.relay.actions import SendRelay, WithdrawRelay
from burdockmill.relay.upstream_facts import REPLIES, fact_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.clients.relay_client import InFlightRelay
    from burdockmill.forwarding.forwarder import Forwarder
    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.token_gate import WaitingAttempt
    from burdockmill.relay.actions import RelayOutcome
    from burdockmill.relay.handover_run import HandoverAction, HandoverRun
    from burdockmill.relay.upstream_facts import UpstreamFact

    Result = UpstreamAnswer | MergedAnswer

MILLISECONDS_PER_SECOND = 1_000
# A withdrawn attempt may still finish within this time, so that its connection can be
# reused. After that the upstream is paused or down, and the connection is closed.
WITHDRAWN_LIMIT_MS = 250.0
# The connections of an upstream that ends close within this time of each other.
CLOSING_MS = 10.0


class RunExecutor:
    """Execute one request run; withdrawn attempts may end after its answer."""

    def __init__(
        self,
        forwarder: Forwarder,
        run: HandoverRun,
        facts: list[UpstreamFact] | None = None,
    ) -> None:
        self._forwarder = forwarder
        self._facts = facts
        self._run = run
        self._direct = run.direct
        self._loop = asyncio.get_running_loop()
        self._done: asyncio.Future[Result | BurdockmillError] = (
            self._loop.create_future()
        )
        self._sending_by_attempt: dict[int, InFlightAttempt | WaitingAttempt] = {}
        self._sending_by_relay: dict[int, InFlightRelay] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = 0.0

    async def run(self) -> Result | BurdockmillError:
        """Return the result once the run is complete."""
        now_ms = self._forwarder.clock.now_ms()
        self._execute(self._run.start(now_ms), now_ms)
        return await self._done

    def open_attempts(self) -> Iterable[OpenAttempt]:
        """Return the attempts in flight, but not those that wait for a token."""
        for part in self._direct.parts:
            for row in part.in_flight:
                sending = self._sending_by_attempt.get(row.number)
                if isinstance(sending, InFlightAttempt):
                    yield OpenAttempt(row.upstream, row.sent_ms, sending.written)

    def cancel(self) -> None:
        """Cancel every attempt, since the client has disconnected."""
        self._run.completed = self._direct.completed = True
        self._stop_timer()
        for sending in list(self._sending_by_attempt.values()):
            sending.cancel()
        for relayed in list(self._sending_by_relay.values()):
            relayed.cancel()
        self._share_crashes()

    def answer_now(self) -> None:
        """Answer with what is there; attempts without a response are withdrawn."""
        now_ms = self._forwarder.clock.now_ms()
        self._direct.answering.end_by(now_ms)
        self._execute(self._run.tick(now_ms), now_ms)

    def fell_silent(
        self, incarnation: Incarnation, since_ms: float, now_ms: float
    ) -> None:
        """Record that an upstream fell silent under attempts sent before a time."""
        suspicion = self._direct.suspicion
        for part in self._direct.parts:
            for row in part.unanswered_at(incarnation, since_ms):
                sending = self._sending_by_attempt.get(row.number)
                if row.outcome is not None or (sending and sending.written):
                    suspicion.fell_silent(row, part.service, now_ms)
        if suspicion.has_crashes and (self._run.completed or suspicion.is_urgent):
            self._share_crashes()

    def reconsider(self) -> None:
        """Take another way if this host has learned who reaches what."""
        now_ms = self._forwarder.clock.now_ms()
        self._execute(self._run.reconsider(now_ms), now_ms)

    def _execute(self, actions: Iterable[HandoverAction], now_ms: float) -> None:
        for action in actions:
            match action:
                case SendAttempt():
                    self._send(action, now_ms)
                case WithdrawAttempt():
                    self._withdraw(action.attempt)
                case SendRelay():
                    self._send_relay(action, now_ms)
                case WithdrawRelay():
                    self._sending_by_relay[action.relay].cancel()
                case Conclude():
                    self._complete(action, now_ms)
        self._set_timer(now_ms)

    def _send(self, action: SendAttempt, now_ms: float) -> None:
        forwarder = self._forwarder
        key = forwarder.next_key()
        request_class = self._direct.parts[action.part].request_class
        forwarder.planner.attempt_started(action.upstream, key, request_class, now_ms)
        forwarder.log.sent(self._direct, action, now_ms)

        if forwarder.planner.gate.take(action.upstream, now_ms):
            self._write(action, key)
            return

        def on_decided(may_send: bool | None) -> None:
            if may_send:
                self._write(action, key)
                return
            end = AttemptEnd.NOT_SENT if may_send is None else AttemptEnd.LIMITED
            detail = "cancelled" if may_send is None else "no token"
            self._ended(action, key, AttemptOutcome(end, detail=detail))

        self._sending_by_attempt[action.attempt] = forwarder.planner.gate.wait(
            action.upstream, self._direct.route.rank, on_decided
        )

    def _write(self, action: SendAttempt, key: int) -> None:
        def on_end(outcome: AttemptOutcome) -> None:
            self._ended(action, key, outcome)

        self._sending_by_attempt[action.attempt] = self._forwarder.client.send(
            self._direct.request, action, on_end
        )
        self._forwarder.on_attempt()

    def _ended(self, action: SendAttempt, key: int, outcome: AttemptOutcome) -> None:
        forwarder = self._forwarder
        now_ms = forwarder.clock.now_ms()
        del self._sending_by_attempt[action.attempt]
        observations = forwarder.planner.observations
        if forwarder.planner.notices.record(action.upstream, outcome, now_ms):
            forwarder.log.noticed(self._direct, action, outcome, now_ms)
        if self._facts is not None:
            fact = fact_of(action.upstream, outcome)
            self._facts += [fact] if fact is not None else []
        if outcome.ignored:
            forwarder.counts["malformed_headers_ignored"] += 1
            forwarder.log.ignored(self._direct, action, outcome, now_ms)
        if forwarder.planner.gate.record(action.upstream, outcome, now_ms):
            forwarder.log.limited(self._direct, action, outcome, now_ms)
        forwarder.planner.room.ended(action.upstream, outcome, now_ms)
        was_needed = not self._direct.is_complete(action.part)
        end = outcome.end
        attempt = OpenAttempt(action.upstream, self._direct.sent_ms(action.attempt))
        forwarder.reach.ended(attempt, outcome, now_ms, was_needed)
        if end is AttemptEnd.SILENT:
            part = self._direct.parts[action.part]
            forwarder.silence.keep(part, action.attempt, self._direct.suspicion, now_ms)
        if end is AttemptEnd.NOT_SENT and not was_needed:
            # Withdrawn before it was written: not an observation of the upstream.
            observations.of(action.upstream.upstream).withdrawn(key)
        else:
            request_class = self._direct.parts[action.part].request_class
            took_ms = forwarder.planner.attempt_ended(
                action.upstream, key, request_class, outcome, now_ms
            )
            has_latency = end in (AttemptEnd.ANSWERED, AttemptEnd.SILENT)
            if took_ms is not None and has_latency:
                forwarder.planner.record_latency(
                    self._direct.route, action.upstream, took_ms
                )
        guard = forwarder.planner.guard
        if end in REPLIES and outcome.sent_ms is not None:
            guard.replied(action.upstream, outcome.sent_ms, now_ms)
        self._execute(self._run.ended(action.attempt, outcome, now_ms), now_ms)
        if outcome.is_cut_off:
            self._loop.call_later(
                CLOSING_MS / MILLISECONDS_PER_SECOND, self._after_crash, action.upstream
            )
        forwarder.log.ended(self._direct, action, outcome, now_ms)

    def _after_crash(self, upstream: Registration) -> None:
        """Check if an upstream still runs; tell others if its request has no answer."""
        forwarder = self._forwarder
        if forwarder.client.connection_state(upstream) is ConnectionState.IDLE:
            now_ms = forwarder.clock.now_ms()
            incarnation = Incarnation.of(upstream)
            forwarder.planner.guard.disprove(incarnation, now_ms)
        if self._run.completed or self._direct.suspicion.is_urgent:
            self._share_crashes()

    def _send_relay(self, action: SendRelay, now_ms: float) -> None:
        forwarder = self._forwarder
        in_flight = forwarder.relay_planner.in_flight_by_host
        in_flight[action.host] += 1
        forwarder.log.handed_over(self._run, action, now_ms)

        def on_end(outcome: RelayOutcome) -> None:
            in_flight[action.host] -= 1
            del self._sending_by_relay[action.relay]
            ended_ms = forwarder.clock.now_ms()
            forwarder.learn(outcome.facts, now_ms, ended_ms)
            self._execute(
                self._run.relay_ended(action.relay, outcome, ended_ms), ended_ms
            )
            forwarder.log.relay_ended(self._run, action, outcome, ended_ms)

        def on_taken() -> None:
            taken_ms = forwarder.clock.now_ms()
            self._run.confirmed(action.relay, taken_ms)

        def on_write() -> None:
            self._run.relay_written(action.relay)

        self._sending_by_relay[action.relay] = forwarder.relay_client.send(
            self._direct.request, action, on_end, on_taken, on_write
        )

    def _withdraw(self, attempt: int) -> None:
        sending = self._sending_by_attempt.get(attempt)
        if sending is None:
            return
        if sending.written:
            self._loop.call_later(
                WITHDRAWN_LIMIT_MS / MILLISECONDS_PER_SECOND, sending.cancel
            )
        else:
            sending.cancel()

    def _complete(self, action: Conclude, now_ms: float) -> None:
        self._stop_timer()
        for attempt in list(self._sending_by_attempt):
            self._withdraw(attempt)
        self._forwarder.log.concluded(self._run, action, now_ms)
        if self._direct.suspicion.has_crashes:
            wait_s = CLOSING_MS / MILLISECONDS_PER_SECOND
            self._loop.call_later(wait_s, self._share_crashes)
        if not self._done.done():
            self._done.set_result(action.result)

    def _share_crashes(self) -> None:
        if self._forwarder.reach.reach.is_isolated:
            # This host lost its own links; nothing shows that upstreams ended.
            return
        keys = self._direct.suspicion.unanswered_keys
        now_ms = self._forwarder.clock.now_ms()
        self._forwarder.planner.guard.share(keys, now_ms)

    def _set_timer(self, now_ms: float) -> None:
        due_ms = self._run.next_due_ms
        if due_ms is None:
            self._stop_timer()
            return
        if self._timer is not None and self._timer_due_ms <= due_ms:
            # The timer fires early and is set again then, which costs less than to set
            # it on every event.
            return
        self._stop_timer()
        wait_s = max(0.0, due_ms - now_ms) / MILLISECONDS_PER_SECOND
        self._timer = self._loop.call_later(wait_s, self._tick)
        self._timer_due_ms = due_ms

    def _tick(self) -> None:
        self._timer = None
        now_ms = self._forwarder.clock.now_ms()
        self._execute(self._run.tick(now_ms), now_ms)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
