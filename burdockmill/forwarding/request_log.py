"""Log the decisions on forwarded requests, with the inputs of each."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burdockmill.errors import BurdockmillError, CrashingRequestError
from burdockmill.forwarding.messages import (
    AttemptEnd,
    AttemptKind,
    MergedAnswer,
    RequestKind,
)
from burdockmill.messages.actions import LogDecision

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from burdockmill.decision_log import DecisionLog
    from burdockmill.forwarding.actions import Conclude, SendAttempt
    from burdockmill.forwarding.messages import AttemptOutcome
    from burdockmill.forwarding.planner import Planner
    from burdockmill.forwarding.request_run import RequestRun
    from burdockmill.metrics import Metrics
    from burdockmill.relay.actions import RelayOutcome, SendRelay
    from burdockmill.relay.handover_run import HandoverRun
    from burdockmill.world import World

ANSWER, ATTEMPT, HEDGE, PROBE, RETRY = "answer", "attempt", "hedge", "probe", "retry"
RELAY = "relay"
UPSTREAM, LIMIT = "upstream", "limit"
PART_BY_KIND = {
    AttemptKind.HEDGE: HEDGE,
    AttemptKind.PROBE: PROBE,
    AttemptKind.RETRY: RETRY,
}


class RequestLog:
    """Write a log line for each decision, and count answers by their outcome."""

    def __init__(
        self,
        world: World,
        planner: Planner,
        decisions: DecisionLog,
        metrics: Metrics,
        flush_soon: Callable[[], None],
    ) -> None:
        self._world = world
        self._planner = planner
        self._decisions = decisions
        self._metrics = metrics
        self._flush_soon = flush_soon

    def sent(self, run: RequestRun, action: SendAttempt, now_ms: float) -> None:
        """Log a repeat attempt; the first of a part is only listed with the answer."""
        if action.kind is AttemptKind.FIRST:
            return
        part = run.parts[action.part]
        upstream = action.upstream.upstream
        inputs = {
            "service": part.service,
            "upstream": upstream,
            "since_received_ms": _since_received_ms(run, now_ms),
            "budget_left": round(
                self._planner.budget.remaining(part.service, now_ms), 1
            ),
            "latency_ms": _rounded(self._planner.observations.of(upstream).latency_ms),
            "others": _attempts(part.attempts[:-1], run),
        }
        choice = f"sent to {upstream}"
        self._write(PART_BY_KIND[action.kind], run, choice, "", inputs, now_ms)

    def ended(
        self,
        run: RequestRun,
        action: SendAttempt,
        outcome: AttemptOutcome,
        now_ms: float,
    ) -> None:
        """Log an attempt that ended without an answer."""
        if outcome.end is AttemptEnd.ANSWERED or run.completed:
            return
        if outcome.end is AttemptEnd.NOT_SENT and run.is_complete(action.part):
            return
        inputs = {
            "service": run.parts[action.part].service,
            "kind": action.kind.value,
            "since_received_ms": _since_received_ms(run, now_ms),
            "digest": run.suspicion.digest if outcome.is_cut_off else None,
        }
        choice = f"{outcome.end.value} at {action.upstream.upstream}"
        self._write(ATTEMPT, run, choice, outcome.detail, inputs, now_ms)

    def handed_over(self, run: HandoverRun, action: SendRelay, now_ms: float) -> None:
        """Log that a request is handed over to another host."""
        inputs = {
            "since_received_ms": _since_received_ms(run.direct, now_ms),
            "round_trip_ms": round(action.round_trip_ms, 1),
            "attempts_limit": action.attempts_limit,
            "isolated": self._world.reach.is_isolated,
            "own_attempts": sum(len(part.attempts) for part in run.direct.parts),
        }
        choice = f"handed over to {action.host}"
        reason = "it reaches the upstreams"
        if action.is_gathered:
            reason = "it gathers searches"
        self._write(RELAY, run.direct, choice, reason, inputs, now_ms)

    def relay_ended(
        self,
        run: HandoverRun,
        action: SendRelay,
        outcome: RelayOutcome,
        now_ms: float,
    ) -> None:
        """Log that a host brought no result for a request that was handed over."""
        if outcome.result is not None:
            return
        inputs = {"since_received_ms": _since_received_ms(run.direct, now_ms)}
        choice = f"{outcome.end.value} at {action.host}"
        self._write(RELAY, run.direct, choice, outcome.detail, inputs, now_ms)

    def noticed(
        self,
        run: RequestRun,
        action: SendAttempt,
        outcome: AttemptOutcome,
        now_ms: float,
    ) -> None:
        """Log that an upstream asked for no new work, or for a pause."""
        inputs = {
            "service": run.parts[action.part].service,
            "leaving": outcome.is_leaving,
            "pause_ms": _rounded(outcome.pause_ms),
        }
        reason = "it is leaving" if outcome.is_leaving else "it asked for a pause"
        choice = f"no new attempts to {action.upstream.upstream}"
        self._write(UPSTREAM, run, choice, reason, inputs, now_ms)

    def limited(
        self,
        run: RequestRun,
        action: SendAttempt,
        outcome: AttemptOutcome,
        now_ms: float,
    ) -> None:
        """Log that an upstream named a limit, changed it or ended it."""
        upstream = action.upstream.upstream
        limit_per_s = outcome.limit_per_s
        inputs = {
            "service": run.parts[action.part].service,
            "limit_per_s": None if limit_per_s == math.inf else limit_per_s,
            "answer_sent_ms_ago": _rounded(now_ms - (outcome.sent_ms or now_ms)),
        }
        if limit_per_s == math.inf:
            choice, reason = f"no limit of {upstream}", "its answer names none"
        else:
            choice = f"{upstream} takes {limit_per_s:g} requests a second"
            reason = "its answer names the limit"
        self._write(LIMIT, run, choice, reason, inputs, now_ms)

    def ignored(
        self,
        run: RequestRun,
        action: SendAttempt,
        outcome: AttemptOutcome,
        now_ms: float,
    ) -> None:
        """Log that an upstream's answer has a malformed header."""
        choice = f"ignored a header of {action.upstream.upstream}"
        self._write(UPSTREAM, run, choice, outcome.ignored, {}, now_ms)

    def concluded(self, handover: HandoverRun, action: Conclude, now_ms: float) -> None:
        """Log the answer to a request, with its attempts and the hosts it went to."""
        run = handover.direct
        result = action.result
        outcome, choice = _outcome_of(run, result)
        took_ms = now_ms - run.request.received_ms
        kind = _kind_of(run)
        self._metrics.observe(kind, outcome, took_ms)
        catalog = self._world.catalog
        confirmed_ms = self._world.fleet.confirmed_ms
        inputs = {
            "route": run.route.name,
            "configuration": catalog.version,
            "store_era": catalog.era,
            "catalog_revision": catalog.revision,
            "catalog_age_ms": round(now_ms - confirmed_ms),
            "took_ms": round(took_ms, 1),
            "goal_ms": run.route.latency_goal_ms,
            "deadline_in_ms": round(run.request.deadline_ms - now_ms, 1),
            "attempts": [
                attempt
                for part in run.parts
                for attempt in _attempts(part.attempts, run)
            ],
            **action.inputs,
            **_relays_of(handover),
            **self._suspicion_of(run, result, now_ms),
        }
        self._write(ANSWER, run, choice, action.note, inputs, now_ms)

    def client_disconnected(self, run: RequestRun, now_ms: float) -> None:
        """Log that a client disconnected before its answer."""
        took_ms = now_ms - run.request.received_ms
        self._metrics.observe(_kind_of(run), "client_left", took_ms)
        inputs = {"took_ms": round(took_ms, 1), "route": run.route.name}
        reason = "the client disconnected"
        self._write(ANSWER, run, "stopped all attempts", reason, inputs, now_ms)

    def _suspicion_of(
        self, run: RequestRun, result: object, now_ms: float
    ) -> dict[str, object]:
        """Return the digest of a request that crashed upstreams, and the crashes."""
        if not run.suspicion.has_crashes and not isinstance(
            result, CrashingRequestError
        ):
            return {}
        digest = run.suspicion.digest
        return {
            "digest": digest,
            "suspicion": self._planner.guard.explain(digest, now_ms),
        }

    def _write(
        self,
        part: str,
        run: RequestRun,
        choice: str,
        reason: str,
        inputs: Mapping[str, object],
        now_ms: float,
    ) -> None:
        request_id = run.request.request_id
        decision = LogDecision(part, request_id, choice, reason, inputs=inputs)
        self._decisions.add(decision, now_ms)
        self._flush_soon()


def _relays_of(run: HandoverRun) -> dict[str, object]:
    """Return where a request was handed over from, or to, and how that ended."""
    if run.direct.request.entry:
        return {"entry": run.direct.request.entry}
    if not run.relays:
        return {}
    return {
        "relays": [
            [
                row.host,
                _since_received_ms(run.direct, row.sent_ms),
                _rounded(row.took_ms),
                row.outcome.end.value if row.outcome else "open",
                f"ran: {row.ran.value}",
            ]
            for row in run.relays
        ]
    }


def _kind_of(run: RequestRun) -> RequestKind:
    return RequestKind.FORWARD if run.route.shards is None else RequestKind.SEARCH


def _outcome_of(run: RequestRun, result: object) -> tuple[str, str]:
    match result:
        case BurdockmillError():
            ran = f"ran: {result.ran.value}"
            return result.kind, f"{result.status} {result.kind} ({ran})"
        case MergedAnswer(missing=0):
            return "complete", f"all {len(run.parts)} shards"
        case MergedAnswer():
            covered = len(run.parts) - result.missing
            return "partial", f"{covered} of {len(run.parts)} shards"
    return "answered", "the upstream's answer"


def _attempts(rows: list, run: RequestRun) -> list[list[object]]:
    """Return upstream, kind, send time, duration, end and connect time of attempts."""
    return [
        [
            row.upstream.upstream,
            row.kind.value,
            _since_received_ms(run, row.sent_ms),
            _rounded(row.took_ms),
            row.outcome.end.value if row.outcome else "open",
            _rounded(row.outcome.connecting_ms) if row.outcome else None,
        ]
        for row in rows
    ]


def _since_received_ms(run: RequestRun, at_ms: float) -> float:
    return round(at_ms - run.request.received_ms, 1)


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 1)
