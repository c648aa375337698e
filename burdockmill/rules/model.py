"""Define the data model of checked rules."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.slots import SlotRange

if TYPE_CHECKING:
    from burdockmill.names import (
        Address,
        CallerId,
        DomainId,
        Revision,
        ServiceId,
        ShardId,
        UpstreamId,
    )


class RequestKind(StrEnum):
    """Enumerate the kinds of request that a caller may send to a service."""

    SEARCH = "search"
    FETCH = "fetch"
    ACTION = "action"


class Completion(StrEnum):
    """Enumerate what decides when a search is answered.

    `coverage` waits for every slot until the deadline; `latency` answers at the soft
    deadline, or later once the coverage target is reached.
    """

    COVERAGE = "coverage"
    LATENCY = "latency"


class ServiceRule(NamedTuple):
    """Set how a service's searches are answered; times in milliseconds."""

    name: ServiceId
    comment: str
    completion: Completion = Completion.COVERAGE
    deadline_ms: int = 800
    soft_deadline_ms: int = 80
    coverage_target: float = 0.95
    hedge_fraction: float = 0.05


class UpstreamRule(NamedTuple):
    """Set an upstream's domain, address and limits; times in milliseconds.

    `slots` is how many requests it runs at a time, not a range of record keys.
    """

    name: UpstreamId
    comment: str
    domain: DomainId
    address: Address
    slots: int
    connections: int
    connect_ms: int = 1


class ShardRule(NamedTuple):
    """Assign a range of a service's slots to replicas."""

    name: ShardId
    comment: str
    service: ServiceId
    slots: SlotRange
    replicas: tuple[UpstreamId, ...]
    documents: int | None = None


class CallerRule(NamedTuple):
    """Define a caller and the SHA-256 digest of its key in hexadecimal."""

    name: CallerId
    comment: str
    key_digest: str


class AllowRule(NamedTuple):
    """Allow a caller kinds of request to a service; rate in requests per second."""

    caller: CallerId
    comment: str
    service: ServiceId
    kinds: frozenset[RequestKind]
    rate_per_second: float | None = None


class LeavingRule(NamedTuple):
    """Exclude an upstream from new work."""

    upstream: UpstreamId
    comment: str


class RuleSet(NamedTuple):
    """Store one accepted revision of the rules, indexed by key."""

    revision: Revision
    service_by_name: dict[ServiceId, ServiceRule]
    upstream_by_id: dict[UpstreamId, UpstreamRule]
    shards_by_service: dict[ServiceId, tuple[ShardRule, ...]]
    caller_by_digest: dict[str, CallerRule]
    allow_by_caller_service: dict[tuple[CallerId, ServiceId], AllowRule]
    leaving_by_upstream: dict[UpstreamId, LeavingRule]
