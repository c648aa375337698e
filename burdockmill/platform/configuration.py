"""Decode the configuration and the registrations from the platform's store."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Annotated, TypeVar

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

    Decoded = TypeVar("Decoded")

IDEMPOTENT = "safe"
READY, DRAINING = "ready", "draining"
# An upstream's id is sent to it in a header.
UPSTREAM_ID = re.compile(r"[\x21-\x7e]{1,200}")
HIGHEST_NUMBER = 2**63 - 1
SLOTS_LIMIT = 1_000_000
HIGHEST_RATE_PER_S = 1e9
COLD_LIMIT_MS = 600_000.0
TEXT_LIMIT_CHARACTERS = 1_024
# A reason quotes at most this much, since some decoders quote their input.
REASON_LIMIT_CHARACTERS = 200

_Number = Annotated[int, msgspec.Meta(ge=-HIGHEST_NUMBER, le=HIGHEST_NUMBER)]
_Rate = Annotated[float, msgspec.Meta(ge=0.0, le=HIGHEST_RATE_PER_S)]
_Text = Annotated[str, msgspec.Meta(max_length=TEXT_LIMIT_CHARACTERS)]


class MalformedValueError(ValueError):
    """Signal that a value in the store cannot be read, or names nothing usable."""


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
    # Empty if any region may serve the route.
    allowed_regions: list[str] = []


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    max_conns: int
    health_path: str = ""
    cold_per_s: _Rate = 0.0


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
    service: _Text
    address: str
    zone: _Text
    # The version of the upstream's software, not of this entry.
    version: str
    slots: _Number
    state: str
    # For how many more milliseconds the upstream is slow after its start.
    cold_left_ms: float
    seq_num: int
    # The wall-clock time of the upstream's start, in milliseconds, 0 if not stated.
    born: _Number = 0


_CONFIGURATION_DECODER = msgspec.json.Decoder(_Configuration)
_ENTRY_DECODER = msgspec.json.Decoder(_Entry)


def decode_configuration(value: bytes) -> RoutingTables:
    """Return the routing tables; raise MalformedValueError."""
    decoded = _decode(_CONFIGURATION_DECODER, value)
    limits = decoded.limits
    return RoutingTables(
        decoded.version,
        tuple(_route(route) for route in decoded.routes),
        tuple(
            ServiceBounds(
                service.name,
                service.max_conns,
                service.health_path,
                service.cold_per_s,
            )
            for service in decoded.services
        ),
        IngressLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
    )


def decode_registration(key: str, value: bytes) -> Registration:
    """Return an upstream's registration; raise MalformedValueError."""
    entry = _decode(_ENTRY_DECODER, value)
    if not is_address(entry.address):
        raise MalformedValueError("the address is malformed")
    if entry.state not in (READY, DRAINING):
        raise MalformedValueError("the state is unknown")
    return Registration(
        upstream_from_key(key),
        entry.service,
        entry.address,
        entry.zone,
        min(max(1, entry.slots), SLOTS_LIMIT),
        entry.state == DRAINING,
        min(max(0.0, entry.cold_left_ms), COLD_LIMIT_MS),
        max(0, entry.born),
    )


def upstream_from_key(key: str) -> UpstreamId:
    """Return the upstream that is registered under a key; raise MalformedValueError."""
    upstream = key.removeprefix(REGISTRATIONS_PREFIX)
    if not UPSTREAM_ID.fullmatch(upstream):
        raise MalformedValueError("the key names no upstream")
    return upstream


def describe(error: Exception) -> str:
    """Return an error's type and text, cut short."""
    return f"{type(error).__name__}: {error}"[:REASON_LIMIT_CHARACTERS]


def _decode(decoder: msgspec.json.Decoder[Decoded], value: bytes) -> Decoded:
    try:
        return decoder.decode(value)
    except Exception as error:
        # Beside its own errors the decoder raises RecursionError, UnicodeError and
        # others, depending on the bytes.
        raise MalformedValueError(describe(error)) from error


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
        tuple(decoded.allowed_regions),
    )
