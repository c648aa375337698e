"""Word the failures of requests: what was not run, and what perhaps was."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import (
    BurdockmillError,
    NoReplicaError,
    OverloadedError,
    Ran,
    UpstreamFailedError,
)
from burdockmill.policies.return_time import return_after_ms

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.forwarding.messages import UpstreamAnswer
    from burdockmill.forwarding.part_run import PartRun


def refusal(lost: Iterable[PartRun], left_ms: float) -> BurdockmillError:
    """Return the refusal of a request that no upstream has run.

    `left_ms` is the time the client has left, in milliseconds.
    """
    lost = list(lost)
    names = ", ".join(part.service for part in lost)
    retry_after_ms = return_after_ms(left_ms)
    if any(part.attempts for part in lost):
        return OverloadedError(
            f"No upstream of {names} takes more work.", retry_after_ms=retry_after_ms
        )
    return NoReplicaError(
        f"No upstream of {names} is known.", retry_after_ms=retry_after_ms
    )


def lost_answer(
    part: PartRun, left_ms: float
) -> tuple[UpstreamAnswer | BurdockmillError, str]:
    """Return the answer to a request whose only part is lost, and why it is so.

    `left_ms` is the time the client has left, in milliseconds.
    """
    failure = part.failure()
    if failure is not None:
        return failure, "an upstream failed"
    if part.possible_runs:
        error = UpstreamFailedError(
            f"The upstream's answer was lost: {part.lost}.", ran=Ran.UNKNOWN
        )
        return error, part.lost
    return refusal([part], left_ms), "no upstream took it"


def uncovered(lost: Iterable[PartRun]) -> BurdockmillError:
    """Return the failure of a search that too few shards can answer."""
    names = ", ".join(f"{part.service} ({part.lost})" for part in lost)
    return UpstreamFailedError(
        f"Too few shards can answer; lost: {names}.", ran=Ran.UNKNOWN
    )
