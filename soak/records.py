"""Define what clients and upstreams of a run saw; times in steady milliseconds."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple


class Route(Enum):
    """The kinds of requests; the value begins their path."""

    SEARCH = "/overlap/"
    SINGLE = "/fetch/"
    ONCE = "/once/"
    MOVED = "/moved/"


class ClientAttempt(NamedTuple):
    """A request that a client sent on a connection, and what came back.

    `status` is 0 if no whole answer came. `ran` is what an error says of whether the
    request has run. `left` is set if the client closed the
    connection first, `is_proper` unless it broke the protocol on purpose.
    """

    id: str
    route: Route
    method: str
    target: str
    body: bytes
    host: int
    time_limit_ms: float
    sent_ms: float
    ended_ms: float
    status: int = 0
    answer: bytes = b""
    stamps: tuple[str, ...] = ()
    missing: int = 0
    is_first: bool = True
    left: bool = False
    is_proper: bool = True
    detail: str = ""
    ran: str = ""


class Arrival(NamedTuple):
    """A request that an upstream read; `ran` unless it was rejected."""

    at_ms: float
    upstream: str
    service: str
    id: str
    method: str
    target: str
    body: str
    left_ms: float
    ran: bool


class Impairment(NamedTuple):
    """A fault put in; `host` is None if it may affect all of them."""

    from_ms: float
    to_ms: float
    kind: str
    host: int | None = None


class Stop(NamedTuple):
    """A planned stop of a host: SIGTERM, and the end of its process."""

    host: int
    at_ms: float
    ended_ms: float


class Departure(NamedTuple):
    """An upstream that the store confirmed to be draining."""

    upstream: str
    confirmed_ms: float


class Limit(NamedTuple):
    """A limit that an upstream named for a time."""

    upstream: str
    per_s: int
    from_ms: float
    to_ms: float


class Evacuation(NamedTuple):
    """A time in which the upstreams of a failure domain were to get nothing."""

    domain: int
    confirmed_ms: float
    taken_back_ms: float


class Suspicion(NamedTuple):
    """A host that got no reply to any probe from another, `about`."""

    at_ms: float
    host: int
    about: int


class Configuration(NamedTuple):
    """A version that the store confirmed: its shards, and the moved route's service."""

    version: int
    shards: tuple[str, ...]
    moved_service: str
    confirmed_ms: float


class ProcessSample(NamedTuple):
    """What a host's process held at one moment."""

    at_ms: float
    host: int
    pid: int
    memory_kb: int
    descriptors: int


class RunRecord(NamedTuple):
    """All that was seen in a run."""

    from_ms: float
    to_ms: float
    faults_end_ms: float
    attempts: list[ClientAttempt]
    arrivals: list[Arrival]
    impairments: list[Impairment]
    stops: list[Stop]
    departures: list[Departure]
    configurations: list[Configuration]
    samples: list[ProcessSample]
    unexpected_ends: list[str]
    stray_bytes: list[str]
    limits: Sequence[Limit] = ()
    suspicions: Sequence[Suspicion] = ()
    evacuations: Sequence[Evacuation] = ()
