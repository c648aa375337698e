"""Put newer revisions of the catalog in force, and pass them on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import Action, LogDecision, SendToPeer
from burdockmill.messages.catalog import CatalogAsk, CatalogDelta, CatalogOffer
from burdockmill.messages.events import (
    CatalogChanged,
    CatalogConfirmed,
    CatalogRead,
    CatalogReceived,
    Event,
    PeerReceived,
    RevisionSeen,
)
from burdockmill.messages.fleet import News
from burdockmill.systems._intake import CONFIG, disseminate
from burdockmill.systems._probes import send_probe
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.names import HostId, Revision
    from burdockmill.world import World

# A peer that is ahead is asked once the domain's own spreading had time to arrive.
ASK_WAIT_MS = 150.0
# An ask that brought nothing is repeated, perhaps to another peer.
ASK_REPEAT_MS = 500.0
# A reader tells this many hosts that its catalog is the newest; in larger domains
# the probes among hosts pass it on.
CONFIRM_FANOUT = 16
STORE = "store"
ASK, LEAVE = "ask", "leave"


class CatalogSystem(System):
    """Put newer revisions of the catalog in force, never older ones."""

    name = CONFIG
    handles = (
        CatalogRead,
        CatalogConfirmed,
        CatalogReceived,
        RevisionSeen,
        CatalogAsk,
        CatalogOffer,
    )

    def __init__(self) -> None:
        self._revision_by_host: dict[HostId, Revision] = {}

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Take in deltas, answer peers, and ask for what others have."""
        actions: list[Action] = []
        for event in world.take_events(self.name):
            self._take(world, event, now_ms, actions)
        for key in world.due(self.name).take(now_ms):
            if key == ASK:
                self._ask(world, now_ms, actions)
            else:
                self._remove_left(world, now_ms, actions)
        return actions

    def _take(
        self, world: World, event: Event, now_ms: float, actions: list[Action]
    ) -> None:
        match event:
            case CatalogRead():
                slim = world.catalog.slim(event.delta)
                self._apply(world, event.delta, STORE, now_ms, actions)
                disseminate(world, News(catalog=(slim,)))
            case CatalogConfirmed():
                self._confirm(world, event.at_ms, now_ms, actions)
            case CatalogReceived():
                for delta in event.deltas:
                    self._apply(world, delta, event.sender, now_ms, actions)
            case RevisionSeen():
                self._see(world, event.sender, event.revision, now_ms)
            case PeerReceived(message=CatalogAsk() as ask):
                offer = CatalogOffer(world.catalog.since(ask.revision, now_ms))
                actions.append(SendToPeer(event.sender, offer))
            case PeerReceived(message=CatalogOffer() as offer):
                self._take_offer(world, event.sender, offer, now_ms, actions)

    def _confirm(
        self, world: World, at_ms: float, now_ms: float, actions: list[Action]
    ) -> None:
        """Tell the own domain, so that no other host has to read the store."""
        world.fleet.confirmed_ms = max(world.fleet.confirmed_ms, at_ms)
        rows = world.member_by_host
        others = [
            host
            for host in sorted(world.fleet.hosts_by_domain[world.domain])
            if host != world.host and rows[host].alive
        ]
        told = world.rng.sample(others, min(CONFIRM_FANOUT, len(others)))
        for host in told:
            send_probe(world, host, now_ms, actions)

    def _take_offer(
        self,
        world: World,
        sender: HostId,
        offer: CatalogOffer,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        if offer.delta.revision <= world.catalog.revision:
            return
        slim = world.catalog.slim(offer.delta)
        self._apply(world, offer.delta, sender, now_ms, actions)
        if not offer.delta.is_whole:
            disseminate(world, News(catalog=(slim,)))

    def _apply(
        self,
        world: World,
        delta: CatalogDelta,
        source: str,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        catalog = world.catalog
        before = catalog.revision
        change = catalog.apply(delta, now_ms)
        if delta.revision < before:
            world.counter_by_name["catalog_older_ignored"] += 1
        if catalog.revision < delta.revision:
            world.counter_by_name["catalog_gaps"] += 1
            self._see(world, source, delta.revision, now_ms)
        self._remove_left(world, now_ms, actions)
        if not change:
            return
        version = catalog.tables.version if catalog.tables else 0
        inputs = {
            "source": source,
            "base": delta.base,
            "revision": delta.revision,
            "configuration": version,
            "registered": change.upstreams,
            "departing": change.departing,
        }
        choice = f"catalog revision {catalog.revision} in force"
        reason = "configuration changed" if change.tables else "registrations changed"
        actions.append(LogDecision("catalog", "", choice, reason, inputs=inputs))
        world.announce(CatalogChanged(change.tables, change.upstreams))

    def _remove_left(self, world: World, now_ms: float, actions: list[Action]) -> None:
        left = world.catalog.remove_left(now_ms)
        due_ms = world.catalog.next_leave_ms()
        if due_ms is None:
            world.due(self.name).cancel(LEAVE)
        else:
            world.due(self.name).schedule(LEAVE, due_ms)
        if left:
            choice = f"removed {', '.join(left)}"
            actions.append(
                LogDecision("catalog", "", choice, "registration gone from the store")
            )
            world.announce(CatalogChanged(False, tuple(left)))

    def _see(
        self, world: World, sender: HostId, revision: Revision, now_ms: float
    ) -> None:
        if revision <= world.catalog.revision or sender == STORE:
            self._revision_by_host.pop(sender, None)
            return
        self._revision_by_host[sender] = revision
        due = world.due(self.name)
        if ASK not in due:
            wait_ms = ASK_WAIT_MS if world.catalog.revision else 0.0
            due.schedule(ASK, now_ms + wait_ms)

    def _ask(self, world: World, now_ms: float, actions: list[Action]) -> None:
        known = world.catalog.revision
        ahead = {
            host: revision
            for host, revision in self._revision_by_host.items()
            if revision > known
        }
        self._revision_by_host = ahead
        if not ahead:
            return
        world.due(self.name).schedule(ASK, now_ms + ASK_REPEAT_MS)
        newest = max(ahead.values())
        hosts = sorted(host for host in ahead if ahead[host] == newest)
        world.counter_by_name["catalog_asked"] += 1
        actions.append(SendToPeer(world.rng.choice(hosts), CatalogAsk(known)))
