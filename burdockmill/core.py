"""Assemble the systems of a host that answers queries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.engine import Engine
from burdockmill.policies.hedging_policy import QuantileHedging
from burdockmill.policies.observed_placement import ObservedPlacement
from burdockmill.systems._owner_sessions import OwnerSessions
from burdockmill.systems._ring import Ring
from burdockmill.systems.action_guard_system import ActionGuardSystem
from burdockmill.systems.action_system import ActionSystem
from burdockmill.systems.anti_entropy_system import AntiEntropySystem
from burdockmill.systems.config_system import ConfigSystem
from burdockmill.systems.cross_domain_probe_system import CrossDomainProbeSystem
from burdockmill.systems.dissemination_system import DisseminationSystem
from burdockmill.systems.fetch_system import FetchSystem
from burdockmill.systems.holdings_system import HoldingsSystem
from burdockmill.systems.member_system import MemberSystem
from burdockmill.systems.owner_system import OwnerSystem
from burdockmill.systems.probe_system import ProbeSystem
from burdockmill.systems.refresh_system import RefreshSystem
from burdockmill.systems.routing import Router
from burdockmill.systems.search_system import SearchSystem
from burdockmill.systems.ticket_entry_system import TicketEntrySystem
from burdockmill.systems.ticket_holder_system import TicketHolderSystem
from burdockmill.tables.ticket_locations import TicketLocations
from burdockmill.world import World

if TYPE_CHECKING:
    import random

    from burdockmill.names import DomainId, HostId
    from burdockmill.policies.hedging_policy import HedgingPolicy
    from burdockmill.policies.placement_policy import PlacementPolicy


def make_engine(
    host: HostId,
    domain: DomainId,
    rng: random.Random,
    placement: PlacementPolicy | None = None,
    hedging: HedgingPolicy | None = None,
) -> Engine:
    """Return an engine with these systems and a world of empty tables."""
    world = World(host, domain, rng)
    router = Router()
    ring = Ring()
    views = world.upstream_views
    sessions = OwnerSessions()
    ticket_holders = TicketLocations()
    placement = placement or ObservedPlacement(views)
    hedging = hedging or QuantileHedging(views)
    systems = (
        ConfigSystem(),
        MemberSystem(),
        ProbeSystem(ring),
        CrossDomainProbeSystem(),
        RefreshSystem(ring),
        DisseminationSystem(ring),
        AntiEntropySystem(),
        HoldingsSystem(router),
        SearchSystem(router, placement, hedging, views),
        FetchSystem(router, placement),
        ActionSystem(router, placement, sessions),
        TicketEntrySystem(sessions, ticket_holders),
        TicketHolderSystem(sessions, ticket_holders),
        ActionGuardSystem(router),
        OwnerSystem(router),
    )
    return Engine(world, systems)
