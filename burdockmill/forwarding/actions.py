"""Define the actions that a request run returns to the forwarder."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from burdockmill.errors import BurdockmillError
from burdockmill.forwarding.messages import (
    AttemptKind,
    MergedAnswer,
    Registration,
    UpstreamAnswer,
)


class SendAttempt(NamedTuple):
    """Send an attempt to an upstream; `deadline_ms` is a clock time.

    With `needs_new_connection` the upstream has to accept one first. Among attempts
    that wait for a connection, those of a lower `rank` get one first.
    """

    attempt: int
    part: int
    upstream: Registration
    kind: AttemptKind
    deadline_ms: float
    needs_new_connection: bool = False
    rank: int = 0


class WithdrawAttempt(NamedTuple):
    """Cancel an unneeded attempt; one already written gets some time to end first."""

    attempt: int


class Conclude(NamedTuple):
    """Answer the client; `note` is the reason for answering now.

    `inputs` are those of the decision, for its log line.
    """

    result: UpstreamAnswer | MergedAnswer | BurdockmillError
    note: str
    inputs: Mapping[str, object] = MappingProxyType({})


RunAction = SendAttempt | WithdrawAttempt | Conclude
