"""Name what the run of a request asks its host to do."""

from __future__ import annotations

from typing import NamedTuple

from burdockmill.errors import BurdockmillError
from burdockmill.forwarding.messages import (
    AttemptKind,
    MergedAnswer,
    Registration,
    UpstreamAnswer,
)


class SendAttempt(NamedTuple):
    """Send a request to an upstream; `deadline_ms` is a clock time."""

    attempt: int
    part: int
    upstream: Registration
    kind: AttemptKind
    deadline_ms: float


class WithdrawAttempt(NamedTuple):
    """Stop an attempt that has not been written, else leave it alone."""

    attempt: int


class Conclude(NamedTuple):
    """Answer the client; `note` says why now."""

    result: UpstreamAnswer | MergedAnswer | BurdockmillError
    note: str


RunAction = SendAttempt | WithdrawAttempt | Conclude
