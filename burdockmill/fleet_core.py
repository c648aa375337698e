"""Assemble the systems that track members and the catalog."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.engine import Engine
from burdockmill.systems.catalog_system import CatalogSystem
from burdockmill.systems.far_probe_system import FarProbeSystem
from burdockmill.systems.member_system import MemberSystem
from burdockmill.systems.probe_system import ProbeSystem
from burdockmill.systems.refresh_system import RefreshSystem
from burdockmill.systems.spread_system import SpreadSystem
from burdockmill.systems.sync_system import SyncSystem
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
        FarProbeSystem(),
        RefreshSystem(ring),
        SpreadSystem(ring),
        SyncSystem(),
    )
    return Engine(World(host, domain, rng), systems)
