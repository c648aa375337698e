"""Decode what the platform's operators and upstreams publish."""

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
    # What may be repeated; every kind but "safe" runs at most once.
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
    # The version of the upstream's software, not of the entry.
    version: str
    slots: int
    state: str
    # How much longer the upstream stays slow after its start.
    cold_left_ms: float
    seq_num: int
    # The wall clock of the upstream's start, in milliseconds.
    born: int = 0


_CONFIGURATION_DECODER = msgspec.json.Decoder(_Configuration)
_ENTRY_DECODER = msgspec.json.Decoder(_Entry)


def decode_configuration(value: bytes) -> RoutingTables:
    """Return the routing tables; raise msgspec.MsgspecError."""
    found = _CONFIGURATION_DECODER.decode(value)
    limits = found.limits
    return RoutingTables(
        found.version,
        tuple(_route(one) for one in found.routes),
        tuple(
            ServiceBounds(one.name, one.max_conns, one.health_path)
            for one in found.services
        ),
        IngressLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
    )


def decode_registration(key: str, value: bytes) -> Registration | None:
    """Return an upstream's registration, or None for one that names none to use."""
    try:
        entry = _ENTRY_DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeError):
        return None
    if not is_address(entry.address) or entry.state not in (READY, DRAINING):
        return None
    return Registration(
        upstream_of(key),
        entry.service,
        entry.address,
        entry.zone,
        max(1, entry.slots),
        entry.state == DRAINING,
        entry.cold_left_ms,
        entry.born,
    )


def upstream_of(key: str) -> UpstreamId:
    """Return the upstream whose registration lies under a key."""
    return key.removeprefix(REGISTRATIONS_PREFIX)


def _route(found: _Route) -> Route:
    shards = None
    if found.gather:
        shards = ShardSet(tuple(found.gather), found.top_k, found.min_coverage)
    services = tuple(WeightedService(one.service, one.weight) for one in found.split)
    if found.service:
        services = (WeightedService(found.service, 1.0),)
    return Route(
        found.name,
        found.host.lower(),
        found.prefix,
        found.type == IDEMPOTENT,
        found.timeout_ms,
        found.latency_goal_ms,
        found.priority,
        max(1, found.max_attempts),
        services,
        shards,
    )
