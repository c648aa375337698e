"""Name what enters and leaves the forwarding of a request."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from burdockmill.names import Address, DomainId, RequestId, ServiceId, UpstreamId

Headers = tuple[tuple[str, str], ...]


class ForwardedRequest(NamedTuple):
    """Hold a client's request; `target` is the path and query as received.

    `received_ms` and `deadline_ms` are this host's clock. `spent_ms` estimates what
    passed between the client's first packet and `received_ms`.
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


class Registration(NamedTuple):
    """Describe an upstream as it announces itself.

    `cold_ms` is how much longer it is slow after its start, `started_ms` the wall
    clock of its start: another value is another incarnation.
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
    """Name the kinds of forwarded requests in metrics."""

    SEARCH = "search"
    FORWARD = "forward"


class AttemptKind(StrEnum):
    """State why an attempt was sent."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"
    PROBE = "probe"


class AttemptEnd(StrEnum):
    """State how an attempt ended."""

    ANSWERED = "answered"
    UPSTREAM_ERROR = "upstream_error"
    NOT_RUN = "not_run"
    WRONG_INSTANCE = "wrong_instance"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    WRONG_ANSWER = "wrong_answer"
    SILENT = "silent"

    @property
    def certainly_not_run(self) -> bool:
        """Tell whether no upstream has run, or will run, the attempt."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {AttemptEnd.NOT_RUN, AttemptEnd.WRONG_INSTANCE, AttemptEnd.NOT_SENT}
)


class UpstreamAnswer(NamedTuple):
    """Hold an upstream's whole answer; `stamp` is its signature."""

    status: int
    headers: Headers
    body: bytes
    stamp: str


class AttemptOutcome(NamedTuple):
    """State how an attempt ended; `detail` is for logs.

    `connecting_ms` passed before the attempt had a connection, in milliseconds.
    """

    end: AttemptEnd
    answer: UpstreamAnswer | None = None
    detail: str = ""
    connecting_ms: float = 0.0


class ConnectionState(StrEnum):
    """State what an attempt at an upstream has to wait for before it is written."""

    IDLE = "idle"
    CLOSED = "closed"
    BUSY = "busy"


class MergedAnswer(NamedTuple):
    """Hold the merged records of a search, and the stamps of the parts in it."""

    body: bytes
    stamps: tuple[str, ...]
    missing: int
