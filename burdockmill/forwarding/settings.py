"""Define and check the settings of a host that forwards requests."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from msgspec import Meta

from burdockmill.names import Address, DomainId, HostId
from burdockmill.policies.repeat_budget import RepeatLimits
from burdockmill.rules.addresses import is_address
from burdockmill.settings import LogLevel
from burdockmill.settings_fields import (
    CONNECT_ADDRESS_REMEDY,
    Field,
    are_addresses,
    integer_field,
    listen_field,
    name_field,
)
from burdockmill.tables.rows import MemberRow


class ForwardingSettings(NamedTuple):
    """Store a host's settings; times in milliseconds.

    `change_limit_ms` is the time after which a change must be active on every host.
    `processor_cores`, `memory_mb`, `link_mbps` and `descriptors_limit` describe the
    machine; they are 0 where they are unknown. In any second, an upstream that is cold
    may get `cold_ratio` times the requests a second that its service names for that,
    plus `cold_allowance`. With `cost_estimates`, requests are sent by what they likely
    cost and by the load that upstreams state. Connections of clients may hold
    `client_memory_share` of `memory_mb`, or `client_memory_bytes` if that is unknown.
    """

    host: HostId
    domain: DomainId
    region: str
    ingress_address: Address
    ready_address: Address
    peer_address: Address
    operator_address: Address
    store_address: Address
    seeds: tuple[Address, ...]
    region_by_domain: dict[DomainId, str]
    repeat_ratio: float
    repeat_allowance: float
    repeat_window_ms: int
    change_limit_ms: int
    stop_grace_ms: int
    balancer_lag_ms: int = 2_300
    client_path_ms: float = 3.0
    connections_limit: int = 2_000
    lines_per_second: int = 300
    remembered_decisions: int = 5_000
    log_level: LogLevel = "INFO"
    peer_key: str = ""
    fault_switch: bool = False
    processor_cores: float = 0.0
    memory_mb: float = 0.0
    link_mbps: float = 0.0
    descriptors_limit: int = 0
    cold_ratio: float = 1.0
    cold_allowance: float = 0.0
    cost_estimates: bool = True
    client_memory_share: float = 0.25
    client_memory_bytes: int = 64 * 1024 * 1024
    client_stall_ms: int = 10_000
    client_least_bytes_per_s: float = 1_000.0

    @property
    def repeat_limits(self) -> RepeatLimits:
        """Return the operators' limit of repeat attempts."""
        return RepeatLimits(
            self.repeat_ratio, self.repeat_allowance, self.repeat_window_ms
        )

    def seed_rows(self) -> tuple[MemberRow, ...]:
        """Return placeholder rows for seeds, until their failure domain is received."""
        return tuple(
            MemberRow(address, "", "", address)
            for address in self.seeds
            if address != self.peer_address
        )


def _contact() -> Field:
    return Field(str, CONNECT_ADDRESS_REMEDY, required=True, is_valid=is_address)


def _number(lowest: float, remedy: str) -> Field:
    return Field(Annotated[float, Meta(ge=lowest)], remedy)


def _required(field: Field) -> Field:
    return field._replace(required=True)


FIELD_BY_KEY: dict[str, Field] = {
    "host": _contact()._replace(remedy="give IP:PORT of this host's address for peers"),
    "domain": name_field(),
    "region": name_field(),
    "ingress_address": listen_field(),
    "ready_address": listen_field(),
    "peer_address": listen_field(),
    "operator_address": listen_field(),
    "store_address": _contact(),
    "seeds": Field(
        tuple[str, ...],
        "give a list of IP:PORT, each port from 1 to 65535; it may be empty",
        required=True,
        is_valid=are_addresses,
    ),
    "region_by_domain": Field(
        dict[str, str], "give the region of each failure domain", required=True
    ),
    "repeat_ratio": _required(_number(0.0, "give a ratio of at least 0")),
    "repeat_allowance": _required(_number(0.0, "give a number of at least 0")),
    "repeat_window_ms": _required(integer_field(100, 600_000)),
    "change_limit_ms": _required(integer_field(100, 600_000)),
    "stop_grace_ms": _required(integer_field(0, 600_000)),
    "balancer_lag_ms": integer_field(0, 600_000),
    "client_path_ms": _number(0.0, "give milliseconds of at least 0"),
    "connections_limit": integer_field(1, 1_000_000),
    "lines_per_second": integer_field(1, 1_000_000),
    "remembered_decisions": integer_field(0, 1_000_000),
    "processor_cores": _number(0.0, "give cores of at least 0"),
    "memory_mb": _number(0.0, "give megabytes of at least 0"),
    "link_mbps": _number(0.0, "give megabits a second of at least 0"),
    "descriptors_limit": integer_field(0, 1_000_000_000),
    "cold_ratio": _number(0.0, "give a ratio of at least 0"),
    "cold_allowance": _number(0.0, "give a number of at least 0"),
    "cost_estimates": Field(bool, "give true or false"),
    "client_memory_share": Field(
        Annotated[float, Meta(gt=0.0, le=1.0)], "give a share above 0, at most 1"
    ),
    "client_memory_bytes": integer_field(1_000_000, 1_000_000_000_000),
    "client_stall_ms": integer_field(1, 600_000),
    "client_least_bytes_per_s": Field(
        Annotated[float, Meta(gt=0.0)], "give bytes a second above 0"
    ),
    "log_level": Field(LogLevel, "give DEBUG, INFO, WARNING or ERROR"),
}
