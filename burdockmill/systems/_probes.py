"""Send probes, and check what they report."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import SendToPeer
from burdockmill.messages.fleet import GossipUpdates, Probe, ProbeKind
from burdockmill.systems._fleet_rows import member_update

if TYPE_CHECKING:
    from burdockmill.messages.actions import Action
    from burdockmill.messages.fleet import MemberUpdate
    from burdockmill.names import HostId
    from burdockmill.tables.rows import MemberRow
    from burdockmill.world import World


def send_probe(
    world: World,
    host: HostId,
    now_ms: float,
    actions: list[Action],
    updates: GossipUpdates | None = None,
    kind: ProbeKind = ProbeKind.ONE_WAY,
) -> None:
    """Send a probe with the table digests of the own domain and, by turns, another."""
    own = world.member_by_host.get(world.host)
    if own is None or host == world.host:
        return
    fleet = world.fleet
    fleet.probes_sent += 1
    digests = [fleet.digest(world.domain)]
    others = sorted(fleet.members_by_domain.keys() - {world.domain})
    if others:
        digests.append(fleet.digest(others[fleet.probes_sent % len(others)]))
    probe = Probe(
        member_update(own),
        world.revision,
        fleet.listed.version,
        digests,
        updates or GossipUpdates(),
        kind,
        now_ms - fleet.confirmed_ms,
        world.catalog.era,
    )
    actions.append(SendToPeer(host, probe))


def contradicts(row: MemberRow, reported: MemberUpdate) -> bool:
    """Return whether a row differs from its host's report and is not older than it."""
    update = member_update(row)
    return update.incarnation >= reported.incarnation and update != reported
