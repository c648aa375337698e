"""Define how hosts tell each other which requests crash upstreams."""

from __future__ import annotations

from typing import NamedTuple

from burdockmill.names import HostId, UpstreamId


class CrashReport(NamedTuple):
    """Tell that one incarnation of an upstream ended under an attempt of `host`.

    `depth` counts the crashes of which each was known when the next attempt was sent,
    up to this one. The age in milliseconds is given, as clocks of hosts differ.
    """

    upstream: UpstreamId
    started_ms: int
    host: HostId
    depth: int
    ended_age_ms: float


class SuspectReport(NamedTuple):
    """State what the sender knows of a request under which upstreams ended.

    `key` is its digest, followed by a shard's service if only that is meant. Each
    answer to the request starts another `round` without crashes; the highest round is
    valid. `age_ms` is the time since the last change. `canary_age_ms` is the time since
    an attempt was sent that others wait for, negative if none is in flight. `canaries`
    is how many attempts were made after the third crash, before it was held back.
    """

    key: str
    round: int
    is_held: bool
    trials: int
    age_ms: float
    crashes: tuple[CrashReport, ...]
    canary_age_ms: float = -1.0
    canaries: int = 0


class SuspectNews(NamedTuple):
    """Carry reports; `checksum` is of what the sender holds back.

    With `is_reply` the sender was asked for them, and the receiver returns what the
    sender lacks. `known_for_ms` is how far back the sender's knowledge goes, negative
    if that is not stated.
    """

    reports: tuple[SuspectReport, ...]
    checksum: int
    is_reply: bool = False
    known_for_ms: float = -1.0


class SuspectPoll(NamedTuple):
    """Ask a host for what it holds back if that differs from the sender's.

    It also replies if its knowledge goes further back than `known_for_ms`, if not
    negative.
    """

    checksum: int
    known_for_ms: float = -1.0


class TurnClaim(NamedTuple):
    """Ask the owner of a request for the turn to send the next attempt at it.

    `report` is what the sender knows; `claim` numbers its claims.
    """

    report: SuspectReport
    claim: int


class TurnReply(NamedTuple):
    """Tell a host whether it has the turn, and what the owner knows of the request."""

    report: SuspectReport
    claim: int
    is_granted: bool


class TurnReturn(NamedTuple):
    """Tell the owner that the attempt is over, and what is known since."""

    report: SuspectReport


class TurnWanted(NamedTuple):
    """Report, on one host, that an attempt at a request waits for its turn.

    The core's event, not a message; it does not leave the host.
    """

    key: str
    owner: HostId


class TurnOver(NamedTuple):
    """Report, on one host, that the attempt is over for which it had the turn.

    The core's event, not a message; it does not leave the host.
    """

    key: str
    owner: HostId


class SuspectsChanged(NamedTuple):
    """Report, on one host, that it learned of crashes or of an answer that others need.

    The core's event, not a message; it does not leave the host.
    """

    keys: tuple[str, ...]
