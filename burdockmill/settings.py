"""Parse a host's settings from JSON."""

from __future__ import annotations

from typing import Annotated, Any, Literal, NamedTuple, TypeAlias

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from burdockmill.names import Address, DomainId, HostId
from burdockmill.rules.addresses import is_address
from burdockmill.settings_fields import (
    CONNECT_ADDRESS_REMEDY,
    DOCUMENT_KEY,
    Field,
    KeyText,
    SettingProblem,
    are_addresses,
    integer_field,
    listen_field,
    name_field,
    read_object,
)

LogFormat: TypeAlias = Literal["text", "json"]
LogLevel: TypeAlias = Literal["DEBUG", "INFO", "WARNING", "ERROR"]


class Seed(NamedTuple):
    """Describe a host to contact first for members and configuration."""

    host: HostId
    domain: DomainId
    peer_address: Address


class Settings(NamedTuple):
    """Store a host's settings; times in milliseconds, sizes in bytes."""

    host: HostId
    domain: DomainId
    region: str
    caller_address: Address
    peer_address: Address
    operator_address: Address
    platform_addresses: tuple[Address, ...]
    seeds: tuple[Seed, ...]
    peer_key: str
    log_format: LogFormat = "text"
    log_level: LogLevel = "INFO"
    body_limit_bytes: int = 262_144
    depth_limit: int = 32
    hits_limit: int = 1000
    connections_limit: int = 2000
    request_limit: int = 4000
    stop_grace_ms: int = 10_000
    balancer_lag_ms: int = 1000
    connection_share: float = 0.5
    fault_switch: bool = False
    start_spread_ms: int = 8_000

    def __repr__(self) -> str:
        redacted = self._asdict() | {"peer_key": "(hidden)"}
        pairs = ", ".join(f"{key}={value!r}" for key, value in redacted.items())
        return f"Settings({pairs})"


FIELD_BY_KEY: dict[str, Field] = {
    "host": name_field(),
    "domain": name_field(),
    "region": name_field(),
    "caller_address": listen_field(),
    "peer_address": listen_field(),
    "operator_address": listen_field(),
    "platform_addresses": Field(
        tuple[str, ...],
        "give a list of IP:PORT in quotes, each port from 1 to 65535",
        required=True,
        is_valid=are_addresses,
    ),
    "seeds": Field(list[Any], "give a list of objects; it may be empty", required=True),
    "peer_key": Field(
        KeyText,
        "give 16 to 1024 printable ASCII characters without spaces, "
        "the same on every host",
        required=True,
    ),
    "log_format": Field(LogFormat, "give 'text' or 'json'"),
    "log_level": Field(LogLevel, "give DEBUG, INFO, WARNING or ERROR in quotes"),
    "body_limit_bytes": integer_field(1024, 16_777_216),
    "depth_limit": integer_field(1, 256),
    "hits_limit": integer_field(1, 100_000),
    "connections_limit": integer_field(1, 1_000_000),
    "request_limit": integer_field(1, 1_000_000),
    "stop_grace_ms": integer_field(0, 600_000),
    "balancer_lag_ms": integer_field(0, 600_000),
    "start_spread_ms": integer_field(0, 600_000),
    "connection_share": Field(
        Annotated[float, Meta(gt=0, le=1)], "give a number above 0 and at most 1"
    ),
    "fault_switch": Field(bool, "give true on a test fleet only, false otherwise"),
}
SEED_FIELD_BY_KEY: dict[str, Field] = {
    "host": name_field(),
    "domain": name_field(),
    "peer_address": Field(
        str, CONNECT_ADDRESS_REMEDY, required=True, is_valid=is_address
    ),
}


def parse_settings(data: bytes) -> Result[Settings, tuple[SettingProblem, ...]]:
    """Return the settings, or a problem for each wrong, missing or unknown key."""
    try:
        document = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        problem = SettingProblem(DOCUMENT_KEY, str(error), "write valid JSON in UTF-8")
        return Failure((problem,))
    problems: list[SettingProblem] = []
    values = read_object("", document, FIELD_BY_KEY, problems)
    seeds: list[Seed] = []
    for index, seed in enumerate(values.get("seeds", ())):
        path = f"seeds[{index}]"
        seed_values = read_object(path, seed, SEED_FIELD_BY_KEY, problems)
        if len(seed_values) == len(SEED_FIELD_BY_KEY):
            seeds.append(Seed(**seed_values))
    if problems:
        return Failure(tuple(problems))
    return Success(Settings(**values | {"seeds": tuple(seeds)}))
