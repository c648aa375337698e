"""Define the data that the forwarding of a request receives and returns."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from burdockmill.names import (
    Address,
    DomainId,
    HostId,
    RequestId,
    ServiceId,
    UpstreamId,
)

Headers = tuple[tuple[str, str], ...]

# The detail of an attempt that got no connection before it was given up.
NO_CONNECTION = "no connection in time"


class ForwardedRequest(NamedTuple):
    """Store a client's request; `target` is the path and query as received.

    `caller` are the credentials that the client sent, empty if there were none.
    `received_ms` and `deadline_ms` are times of this host's clock. `spent_ms` is the
    estimated time between the client's first packet and `received_ms`. `entry` is the
    host that handed the request over, empty if a client sent it here; `is_counted` is
    whether that host has counted it for the repeat budgets.
    """

    request_id: RequestId
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    received_ms: float
    deadline_ms: float
    spent_ms: float
    caller: str = ""
    entry: HostId = ""
    is_counted: bool = False

    def end_ms(self, timeout_ms: float) -> float:
        """Return the clock time at which the client or the route waits no longer."""
        return min(self.deadline_ms, self.received_ms + timeout_ms)


class Registration(NamedTuple):
    """Describe an upstream as it registered itself.

    `cold_ms` is how much longer it is slow after its start. `started_ms` is the wall
    clock time of its start; a different value means another incarnation.
    """

    upstream: UpstreamId
    service: ServiceId
    address: Address
    domain: DomainId
    slots: int
    draining: bool
    cold_ms: float
    started_ms: int


class RequestKind(StrEnum):
    """Enumerate the kinds of forwarded requests for metrics."""

    SEARCH = "search"
    FORWARD = "forward"


class AttemptKind(StrEnum):
    """Enumerate the reasons for sending an attempt."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"
    PROBE = "probe"


class AttemptEnd(StrEnum):
    """Enumerate the ways in which an attempt can end."""

    ANSWERED = "answered"
    UPSTREAM_ERROR = "upstream_error"
    NOT_RUN = "not_run"
    WRONG_INSTANCE = "wrong_instance"
    NOT_SENT = "not_sent"
    LIMITED = "limited"
    BROKEN = "broken"
    WRONG_ANSWER = "wrong_answer"
    SILENT = "silent"

    @property
    def certainly_not_run(self) -> bool:
        """Return whether no upstream has run, or will run, the attempt."""
        return self in _NOT_RUN

    @property
    def never_written(self) -> bool:
        """Return whether no byte of the attempt was sent."""
        return self in _NEVER_WRITTEN


_NEVER_WRITTEN = frozenset({AttemptEnd.NOT_SENT, AttemptEnd.LIMITED})
_NOT_RUN = _NEVER_WRITTEN | {AttemptEnd.NOT_RUN, AttemptEnd.WRONG_INSTANCE}


class UpstreamAnswer(NamedTuple):
    """Store an upstream's complete answer; `stamp` is its signature."""

    status: int
    headers: Headers
    body: bytes
    stamp: str


class StatedLoad(NamedTuple):
    """Store the load that an upstream states: its requests, and its slots.

    `pace` is how long work takes there now; 1 is as usual.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


class AttemptOutcome(NamedTuple):
    """Describe how an attempt ended; `detail` is for logs.

    `connecting_ms` is the time until the attempt had a connection, in milliseconds.
    `is_cut_off` is whether the connection ended before an answer was complete,
    `is_refused` whether the upstream refused a connection.
    `is_leaving` is whether the upstream said that it is leaving. `pause_ms` is for how
    long it wants no requests of this host, None if it did not say. `limit_per_s` is the
    rate that it takes from all hosts together: infinite if its answer names none, None
    without a valid answer. `ignored` describes a header that was malformed. `sent_ms`
    is the clock time at which the request was written, None if it never was. `load` is
    what the upstream stated of its load, None if it stated nothing valid.
    """

    end: AttemptEnd
    answer: UpstreamAnswer | None = None
    detail: str = ""
    connecting_ms: float = 0.0
    is_cut_off: bool = False
    is_refused: bool = False
    is_leaving: bool = False
    pause_ms: float | None = None
    limit_per_s: float | None = None
    ignored: str = ""
    sent_ms: float | None = None
    load: StatedLoad | None = None


class ConnectionState(StrEnum):
    """Enumerate whether a new attempt finds an idle, a busy or no open connection."""

    IDLE = "idle"
    CLOSED = "closed"
    BUSY = "busy"


class LinkState(StrEnum):
    """Enumerate what becomes of a new connection to an upstream."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


class Ownership(StrEnum):
    """Enumerate whose answer a response is, by the request id that it states."""

    OWN = "own"
    OTHER = "other"
    UNSTATED = "unstated"


class MergedAnswer(NamedTuple):
    """Store the merged records of a search, and the stamps of the merged parts.

    `missing` is the number of shards without an answer.
    """

    body: bytes
    stamps: tuple[str, ...]
    missing: int
