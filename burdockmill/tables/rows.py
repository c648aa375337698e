"""Define the rows of members and upstreams."""

from __future__ import annotations

from typing import NamedTuple

from burdockmill.names import (
    Address,
    DomainId,
    HostId,
    SnapshotId,
    UpstreamId,
)


class MemberRow(NamedTuple):
    """Describe a host of the fleet as this host sees it.

    `processor_cores` is its processor time in cores, 0 if it is unknown.
    """

    host: HostId
    domain: DomainId
    region: str
    peer_address: Address
    leaving: bool = False
    alive: bool = True
    incarnation: int = 0
    suspect: bool = False
    processor_cores: float = 0.0


class UpstreamRow(NamedTuple):
    """Describe an upstream as its answers and the peers' updates report it.

    `reported_draining` is set if the upstream reported draining, `listed` if the host
    list marks it as leaving; `draining` is set if either is.
    """

    upstream: UpstreamId
    snapshots: tuple[SnapshotId, ...] = ()
    draining: bool = False
    reachable: bool = True
    incarnation: str = ""
    version: int = 0
    reported_draining: bool = False
    listed: bool = False
