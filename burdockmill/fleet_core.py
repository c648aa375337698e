"""Assemble the systems that track members and the catalog."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.engine import Engine
from burdockmill.systems.anti_entropy_system import AntiEntropySystem
from burdockmill.systems.catalog_system import CatalogSystem
from burdockmill.systems.cross_domain_probe_system import CrossDomainProbeSystem
from burdockmill.systems.dissemination_system import DisseminationSystem
from burdockmill.systems.member_system import MemberSystem
from burdockmill.systems.probe_system import ProbeSystem
from burdockmill.systems.refresh_system import RefreshSystem
from burdockmill.world import World

if TYPE_CHECKING:
    import random

    from burdockmill.names import DomainId, HostId
    from burdockmill.systems._ring import Ring


def make_fleet_engine(
    host: HostId, domain: DomainId, rng: random.Random, ring: Ring
) -> Engine:
    """Return an engine that tracks members and the catalog but owns no upstream."""
    systems = (
        CatalogSystem(),
        MemberSystem(),
        ProbeSystem(ring),
        CrossDomainProbeSystem(),
        RefreshSystem(ring),
        DisseminationSystem(ring),
        AntiEntropySystem(),
    )
    return Engine(World(host, domain, rng), systems)
