"""Decode the configuration and the registrations from the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from burdockmill.forwarding.messages import Registration
from burdockmill.forwarding.routes import (
    IngressLimits,
    Route,
    RoutingTables,
    ServiceBounds,
    ShardSet,
    WeightedService,
)
from burdockmill.platform.wire_names import REGISTRATIONS_PREFIX
from burdockmill.rules.addresses import is_address

if TYPE_CHECKING:
    from burdockmill.names import UpstreamId

IDEMPOTENT = "safe"
READY, DRAINING = "ready", "draining"


class _Split(msgspec.Struct, rename="kebab"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    prefix: str
    # Whether a request may be sent again: any type but "safe" runs at most once.
    type: str
    timeout_ms: float
    latency_goal_ms: float
    priority: int = 0
    max_attempts: int = 1
    service: str = ""
    split: list[_Split] = []
    gather: list[str] = []
    top_k: int = 0
    min_coverage: float = 1.0


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    max_conns: int
    health_path: str = ""


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 5_000.0
    idle_timeout_ms: float = 60_000.0


class _Configuration(msgspec.Struct, rename="kebab"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits


class _Entry(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    # The version of the upstream's software, not of this entry.
    version: str
    slots: int
    state: str
    # For how many more milliseconds the upstream is slow after its start.
    cold_left_ms: float
    seq_num: int
    # The wall-clock time of the upstream's start, in milliseconds.
    born: int = 0


_CONFIGURATION_DECODER = msgspec.json.Decoder(_Configuration)
_ENTRY_DECODER = msgspec.json.Decoder(_Entry)


def decode_configuration(value: bytes) -> RoutingTables:
    """Return the routing tables; raise msgspec.MsgspecError."""
    decoded = _CONFIGURATION_DECODER.decode(value)
    limits = decoded.limits
    return RoutingTables(
        decoded.version,
        tuple(_route(route) for route in decoded.routes),
        tuple(
            ServiceBounds(service.name, service.max_conns, service.health_path)
            for service in decoded.services
        ),
        IngressLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
    )


def decode_registration(key: str, value: bytes) -> Registration | None:
    """Return an upstream's registration, or None if it is malformed or unusable."""
    try:
        entry = _ENTRY_DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeError):
        return None
    if not is_address(entry.address) or entry.state not in (READY, DRAINING):
        return None
    return Registration(
        upstream_from_key(key),
        entry.service,
        entry.address,
        entry.zone,
        max(1, entry.slots),
        entry.state == DRAINING,
        entry.cold_left_ms,
        entry.born,
    )


def upstream_from_key(key: str) -> UpstreamId:
    """Return the id of the upstream that is registered under a store key."""
    return key.removeprefix(REGISTRATIONS_PREFIX)


def _route(decoded: _Route) -> Route:
    shards = None
    if decoded.gather:
        shards = ShardSet(tuple(decoded.gather), decoded.top_k, decoded.min_coverage)
    services = tuple(
        WeightedService(split.service, split.weight) for split in decoded.split
    )
    if decoded.service:
        services = (WeightedService(decoded.service, 1.0),)
    return Route(
        decoded.name,
        decoded.host.lower(),
        decoded.prefix,
        decoded.type == IDEMPOTENT,
        decoded.timeout_ms,
        decoded.latency_goal_ms,
        decoded.priority,
        max(1, decoded.max_attempts),
        services,
        shards,
    )
