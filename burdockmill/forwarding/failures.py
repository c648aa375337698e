"""Build the errors of requests, by whether an upstream may have run them."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, NamedTuple, TypeGuard

from burdockmill.errors import (
    BurdockmillError,
    CrashingRequestError,
    IsolatedError,
    NoReplicaError,
    OverloadedError,
    Ran,
    UpstreamFailedError,
)
from burdockmill.names import RequestId
from burdockmill.policies.return_time import (
    ISOLATED_RETURN_MS,
    choose_retry_after_ms,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.forwarding.messages import MergedAnswer, UpstreamAnswer
    from burdockmill.forwarding.part_run import PartRun

    Result = UpstreamAnswer | MergedAnswer | BurdockmillError

# A client that gets one of these sends a request that may run once again.
NOT_RUN_STATUSES = frozenset({408, 429, 503})


class Outlook(NamedTuple):
    """Store what decides when a client may return; times in milliseconds.

    `remaining_ms` is the client's remaining time, and `pause_ms` how long the upstreams
    accept no requests.
    """

    request_id: RequestId
    remaining_ms: float
    pause_ms: float


def refusal(lost: Iterable[PartRun], outlook: Outlook) -> BurdockmillError:
    """Return the refusal of a request that no upstream has run."""
    lost = list(lost)
    names = ", ".join(part.service for part in lost)
    retry_after_ms = choose_retry_after_ms(
        outlook.remaining_ms, outlook.pause_ms, outlook.request_id
    )
    if outlook.pause_ms > 0.0 or any(part.attempts for part in lost):
        return OverloadedError(
            f"No upstream of {names} accepts more requests.",
            retry_after_ms=retry_after_ms,
        )
    return NoReplicaError(
        f"No upstream of {names} is available.", retry_after_ms=retry_after_ms
    )


def held_back(return_ms: float) -> BurdockmillError:
    """Return the refusal of a request that crashes the upstreams that run it."""
    return CrashingRequestError(
        "Each upstream that ran this request ended without an answer.",
        retry_after_ms=ceil(return_ms),
    )


def too_expensive(request_id: RequestId, remaining_ms: float) -> BurdockmillError:
    """Return the refusal of a request that is known to take longer than is left."""
    return OverloadedError(
        "The request usually takes longer than the time that is left.",
        retry_after_ms=choose_retry_after_ms(remaining_ms, request_id=request_id),
    )


def isolated(request_id: RequestId) -> BurdockmillError:
    """Return the refusal of a request while no host reaches an upstream."""
    return IsolatedError(
        "This host reaches no upstream, and knows no host that does.",
        retry_after_ms=choose_retry_after_ms(0.0, ISOLATED_RETURN_MS, request_id),
    )


def lost_elsewhere() -> BurdockmillError:
    """Return the error of a request whose host ended without a reply."""
    return UpstreamFailedError(
        "The host that took the request over did not reply.", ran=Ran.UNKNOWN
    )


def refused_elsewhere(refusal: BurdockmillError) -> BurdockmillError:
    """Return the error of a request that may have run before a host refused it."""
    return UpstreamFailedError(
        f"The first attempts got no answer; then: {refusal.message}", ran=Ran.UNKNOWN
    )


def promises_not_run(result: Result) -> TypeGuard[BurdockmillError]:
    """Return whether a client may take an error as word that nothing has run."""
    if not isinstance(result, BurdockmillError):
        return False
    return result.ran is Ran.NO or result.status in NOT_RUN_STATUSES


def unkept(refusal: BurdockmillError, has_lost: bool) -> tuple[BurdockmillError, str]:
    """Return what replaces a refusal of a request that may have run, and the reason.

    `has_lost` is whether a host that took the request over gave no answer.
    """
    if has_lost:
        return lost_elsewhere(), "lost at another host"
    return refused_elsewhere(refusal), "refused elsewhere"


def passed_on(
    failure: UpstreamAnswer, is_idempotent: bool
) -> UpstreamAnswer | BurdockmillError:
    """Return an upstream's failure, or an error if its status would not be true."""
    if is_idempotent or failure.status not in NOT_RUN_STATUSES:
        return failure
    return UpstreamFailedError(
        f"An upstream answered {failure.status} and may have run the request.",
        ran=Ran.UNKNOWN,
    )


def lost_answer(
    part: PartRun, outlook: Outlook, is_idempotent: bool
) -> tuple[UpstreamAnswer | BurdockmillError, str]:
    """Return the answer to a request whose only part is lost, and the reason."""
    failure = part.failure()
    if failure is not None:
        return passed_on(failure, is_idempotent), "an upstream failed"
    if part.possible_runs:
        error = UpstreamFailedError(
            f"The upstream's answer was lost: {part.lost}.", ran=Ran.UNKNOWN
        )
        return error, part.lost
    return refusal([part], outlook), "no upstream accepted it"


def uncovered(lost: Iterable[PartRun]) -> BurdockmillError:
    """Return the error of a search that too few shards can still answer."""
    names = ", ".join(f"{part.service} ({part.lost})" for part in lost)
    return UpstreamFailedError(
        f"Too few shards can still answer; lost shards: {names}.", ran=Ran.UNKNOWN
    )
