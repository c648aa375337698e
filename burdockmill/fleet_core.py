"""Assemble the systems that track members, limits and the catalog."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.engine import Engine
from burdockmill.systems._limit_allocator import LimitAllocator
from burdockmill.systems.anti_entropy_system import AntiEntropySystem
from burdockmill.systems.canary_turn_system import CanaryTurnSystem
from burdockmill.systems.catalog_system import DEFAULT_AGE_LIMIT_MS, CatalogSystem
from burdockmill.systems.cross_domain_probe_system import CrossDomainProbeSystem
from burdockmill.systems.dissemination_system import DisseminationSystem
from burdockmill.systems.limit_allocation_system import LimitAllocationSystem
from burdockmill.systems.member_system import MemberSystem
from burdockmill.systems.probe_system import ProbeSystem
from burdockmill.systems.reach_system import ReachSystem
from burdockmill.systems.refresh_system import RefreshSystem
from burdockmill.systems.suspect_news_system import SuspectNewsSystem
from burdockmill.systems.token_request_system import TokenRequestSystem
from burdockmill.world import World

if TYPE_CHECKING:
    import random

    from burdockmill.names import DomainId, HostId
    from burdockmill.systems._ring import Ring


def make_fleet_engine(
    host: HostId,
    domain: DomainId,
    rng: random.Random,
    ring: Ring,
    catalog_age_limit_ms: float = DEFAULT_AGE_LIMIT_MS,
) -> Engine:
    """Return an engine for a host that owns no upstream."""
    allocator = LimitAllocator()
    systems = (
        CatalogSystem(catalog_age_limit_ms),
        MemberSystem(),
        ProbeSystem(ring),
        CrossDomainProbeSystem(),
        RefreshSystem(ring),
        DisseminationSystem(ring),
        AntiEntropySystem(),
        TokenRequestSystem(allocator),
        LimitAllocationSystem(allocator),
        SuspectNewsSystem(),
        CanaryTurnSystem(),
        ReachSystem(),
    )
    return Engine(World(host, domain, rng), systems)
