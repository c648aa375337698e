"""Refuse requests at their start, before anything is sent to an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import DeadlineExceededError, OverloadedError
from burdockmill.forwarding.actions import Conclude
from burdockmill.forwarding.failures import held_back, too_expensive
from burdockmill.policies.return_time import rank_return_ms

if TYPE_CHECKING:
    from burdockmill.forwarding.planner import Planner
    from burdockmill.forwarding.request_run import RequestRun


def refusal_at_start(
    run: RequestRun, planner: Planner, now_ms: float
) -> Conclude | None:
    """Return why nothing of a request is run, or None if it is."""
    if now_ms >= run.final_ms:
        error = DeadlineExceededError("No time was left when the request arrived.")
        return Conclude(error, "no time left when the request arrived")
    if not run.suspicion.admit(now_ms):
        return_ms = planner.guard.return_ms(run.suspicion.digest, now_ms)
        return Conclude(held_back(return_ms), "it crashes upstreams")
    # What was admitted once and is started again here is not judged again: parts of it
    # may have run. A request of another host is judged here only.
    if run.request.is_counted and not run.request.entry:
        return None
    remaining_ms = run.final_ms - now_ms
    if run.route.shards is None and planner.is_too_expensive(
        run.route, run.parts[0].request_class, remaining_ms, now_ms
    ):
        refusal = too_expensive(run.request.request_id, remaining_ms)
        return Conclude(refusal, "it takes longer than the time left")
    return _refusal_by_rank(run, planner, now_ms)


def _refusal_by_rank(
    run: RequestRun, planner: Planner, now_ms: float
) -> Conclude | None:
    rank, request_id = run.route.rank, run.request.request_id
    services = [part.service for part in run.parts]
    refusal = planner.room.refusal(
        services, run.answering.spare_parts, rank, request_id, now_ms
    )
    if refusal is None:
        return None
    return_ms = rank_return_ms(run.final_ms - now_ms, rank, request_id)
    error = OverloadedError(refusal.message, retry_after_ms=return_ms)
    return Conclude(error, refusal.reason, refusal.inputs)
