"""Activate newer revisions of the catalog, and disseminate them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import Action, LogDecision, SendToPeer
from burdockmill.messages.catalog import CatalogDelta, CatalogRequest, CatalogResponse
from burdockmill.messages.events import (
    CatalogChanged,
    CatalogConfirmed,
    CatalogRead,
    CatalogReceived,
    Event,
    HostStarted,
    PeerReceived,
    PeerRevisionReceived,
)
from burdockmill.messages.fleet import GossipUpdates
from burdockmill.messages.store_position import StorePosition
from burdockmill.systems._apply_updates import CONFIG, disseminate
from burdockmill.systems._probes import send_probe
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.names import DomainId, HostId
    from burdockmill.world import World

# A peer that is ahead gets a request only once dissemination in the own domain had
# time to deliver the revision.
REQUEST_DELAY_MS = 150.0
# A request that brought nothing is repeated, perhaps to another peer.
REQUEST_RETRY_MS = 500.0
# A host that reads the store confirms to this many hosts that its catalog is the
# newest; in larger domains the probes among hosts relay the confirmation.
CONFIRM_FANOUT = 16
STORE = "store"
REQUEST, LEAVE, AGE = "request", "leave", "age"
DEFAULT_AGE_LIMIT_MS = 3_000.0


class CatalogSystem(System):
    """Activate newer revisions of the catalog, never older ones.

    The catalog is the configuration and the registered upstreams, as read from the
    platform's store.
    """

    name = CONFIG
    handles = (
        HostStarted,
        CatalogRead,
        CatalogConfirmed,
        CatalogReceived,
        PeerRevisionReceived,
        CatalogRequest,
        CatalogResponse,
    )

    def __init__(self, age_limit_ms: float = DEFAULT_AGE_LIMIT_MS) -> None:
        self._age_limit_ms = age_limit_ms
        self._is_old = False
        self._position_by_host: dict[HostId, StorePosition] = {}

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Apply deltas, respond to peers, and request revisions that peers report."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            self._handle(world, event, now_ms, actions)
        for key in world.due(self.name).pop_due(now_ms):
            if key == REQUEST:
                self._request_catalog(world, now_ms, actions)
            elif key == AGE:
                self._check_age(world, now_ms, actions)
            else:
                self._remove_departed(world, now_ms, actions)
        self._note_newer_peers(world, now_ms)
        return actions

    def _handle(
        self, world: World, event: Event, now_ms: float, actions: list[Action]
    ) -> None:
        match event:
            case HostStarted():
                world.due(self.name).schedule(AGE, now_ms + self._age_limit_ms)
            case CatalogRead():
                compact = world.catalog.with_tables_delta(event.delta)
                self._apply(world, event.delta, STORE, now_ms, actions)
                disseminate(world, GossipUpdates(catalog=(compact,)))
            case CatalogConfirmed():
                self._confirm(world, event.at_ms, now_ms, actions)
            case CatalogReceived():
                for delta in event.deltas:
                    self._apply(world, delta, event.sender, now_ms, actions)
            case PeerRevisionReceived():
                position = StorePosition(event.store_era, event.revision)
                self._record_position(world, event.sender, position, now_ms)
            case PeerReceived(message=CatalogRequest() as request):
                response = CatalogResponse(world.catalog.since(request, now_ms))
                actions.append(SendToPeer(event.sender, response))
            case PeerReceived(message=CatalogResponse() as response):
                self._handle_response(world, event.sender, response, now_ms, actions)

    def _confirm(
        self, world: World, at_ms: float, now_ms: float, actions: list[Action]
    ) -> None:
        """Confirm the revision to the domain, so that no other host reads the store."""
        world.fleet.confirmed_ms = max(world.fleet.confirmed_ms, at_ms)
        # This host read the store after its peers did, so it lacks nothing of theirs.
        era = world.catalog.era
        self._position_by_host = {
            host: position
            for host, position in self._position_by_host.items()
            if position.era > era
        }
        rows = world.member_by_host
        others = [
            host
            for host in sorted(world.fleet.hosts_by_domain[world.domain])
            if host != world.host and rows[host].alive
        ]
        receivers = world.rng.sample(others, min(CONFIRM_FANOUT, len(others)))
        for host in receivers:
            send_probe(world, host, now_ms, actions)

    def _check_age(self, world: World, now_ms: float, actions: list[Action]) -> None:
        """Log when the catalog becomes too old, and when it is confirmed again."""
        behind_since_ms = world.fleet.behind_since_ms
        behind_ms = 0.0 if behind_since_ms is None else now_ms - behind_since_ms
        age_ms = max(behind_ms, now_ms - world.fleet.confirmed_ms)
        is_old = age_ms >= self._age_limit_ms
        wait_ms = self._age_limit_ms if is_old else self._age_limit_ms - age_ms
        world.due(self.name).schedule(AGE, now_ms + wait_ms)
        if is_old == self._is_old:
            return
        self._is_old = is_old
        newest = max(self._position_by_host.values(), default=world.catalog.position)
        inputs = {
            "store_era": world.catalog.era,
            "revision": world.catalog.revision,
            "configuration": world.catalog.version,
            "age_ms": round(age_ms),
            "behind_ms": round(behind_ms),
            "newest_of_peers": tuple(newest),
        }
        choice = "catalog confirmed again"
        reason = "a host that reads the store reported that it is current"
        if is_old:
            world.counter_by_name["catalog_grew_old"] += 1
            choice = f"catalog not confirmed for {age_ms:.0f} ms"
            reason = "no host reports that it is current"
        actions.append(LogDecision("catalog", "", choice, reason, inputs=inputs))

    def _note_newer_peers(self, world: World, now_ms: float) -> None:
        """Note since when a peer has reported a catalog that this host lacks."""
        current = world.catalog.position
        if not any(newer > current for newer in self._position_by_host.values()):
            world.fleet.behind_since_ms = None
        elif world.fleet.behind_since_ms is None:
            world.fleet.behind_since_ms = now_ms

    def _handle_response(
        self,
        world: World,
        sender: HostId,
        response: CatalogResponse,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        if response.delta.position <= world.catalog.position:
            return
        compact = world.catalog.with_tables_delta(response.delta)
        self._apply(world, response.delta, sender, now_ms, actions)
        if not response.delta.is_whole:
            disseminate(world, GossipUpdates(catalog=(compact,)))
        if world.is_starting(now_ms):
            # The first peer to respond may be behind the others.
            due = world.due(self.name)
            due.cancel(REQUEST)
            if self._position_by_host:
                due.schedule(REQUEST, now_ms)

    def _apply(
        self,
        world: World,
        delta: CatalogDelta,
        source: str,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        catalog = world.catalog
        previous = catalog.position
        change = catalog.apply(delta, now_ms)
        if delta.position < previous:
            world.counter_by_name["catalog_older_ignored"] += 1
        if catalog.position < delta.position:
            world.counter_by_name["catalog_gaps"] += 1
            self._record_position(world, source, delta.position, now_ms)
        if catalog.era != previous.era:
            self._log_new_era(world, source, previous, actions)
        self._remove_departed(world, now_ms, actions)
        if not change:
            return
        inputs = {
            "source": source,
            "store_era": delta.era,
            "base": delta.base,
            "revision": delta.revision,
            "configuration": catalog.version,
            "registered": change.upstreams,
            "departing": change.departing,
            "without_start": catalog.starts.missing,
        }
        choice = f"catalog revision {catalog.revision} active"
        reason = "configuration changed" if change.tables else "registrations changed"
        actions.append(LogDecision("catalog", "", choice, reason, inputs=inputs))
        self._log_evacuations(world, change.evacuations, source, actions)
        world.announce(CatalogChanged(change.tables, change.upstreams))

    def _remove_departed(
        self, world: World, now_ms: float, actions: list[Action]
    ) -> None:
        departed = world.catalog.remove_departed(now_ms)
        withdrawn = world.catalog.evacuations.withdraw(now_ms)
        self._log_evacuations(world, withdrawn, STORE, actions)
        due_ms = world.catalog.next_removal_ms()
        if due_ms is None:
            world.due(self.name).cancel(LEAVE)
        else:
            world.due(self.name).schedule(LEAVE, due_ms)
        if departed:
            choice = f"removed {', '.join(departed)}"
            actions.append(
                LogDecision(
                    "catalog", "", choice, "registration removed from the store"
                )
            )
            world.announce(CatalogChanged(False, tuple(departed)))

    def _log_evacuations(
        self,
        world: World,
        changed: tuple[DomainId, ...],
        source: str,
        actions: list[Action],
    ) -> None:
        for domain in changed:
            is_active = domain in world.catalog.evacuations.domains
            choice = f"upstreams of {domain} get {'nothing' if is_active else 'work'}"
            reason = "the operator evacuated the failure domain"
            if not is_active:
                reason = "the operator withdrew the evacuation"
            world.counter_by_name["evacuations_changed"] += 1
            inputs = {"source": source, "revision": world.catalog.revision}
            actions.append(LogDecision("catalog", "", choice, reason, inputs=inputs))

    def _log_new_era(
        self,
        world: World,
        source: str,
        previous: StorePosition,
        actions: list[Action],
    ) -> None:
        world.counter_by_name["catalog_eras_started"] += 1
        catalog = world.catalog
        inputs = {
            "source": source,
            "previous_era": previous.era,
            "previous_revision": previous.revision,
            "configuration": catalog.version,
        }
        choice = f"store era {catalog.era} active at revision {catalog.revision}"
        reason = "the store restarted without its latest changes"
        if not previous.era:
            reason = "first era that this host received"
        actions.append(LogDecision("catalog", "", choice, reason, inputs=inputs))

    def _record_position(
        self, world: World, sender: HostId, position: StorePosition, now_ms: float
    ) -> None:
        if position <= world.catalog.position or sender == STORE:
            self._position_by_host.pop(sender, None)
            return
        self._position_by_host[sender] = position
        due = world.due(self.name)
        if REQUEST not in due:
            is_first = not world.catalog.revision or world.is_starting(now_ms)
            due.schedule(REQUEST, now_ms + (0.0 if is_first else REQUEST_DELAY_MS))

    def _request_catalog(
        self, world: World, now_ms: float, actions: list[Action]
    ) -> None:
        current = world.catalog.position
        ahead = {
            host: position
            for host, position in self._position_by_host.items()
            if position > current
        }
        self._position_by_host = ahead
        if not ahead:
            return
        world.due(self.name).schedule(REQUEST, now_ms + REQUEST_RETRY_MS)
        newest = max(ahead.values())
        hosts = sorted(host for host in ahead if ahead[host] == newest)
        world.counter_by_name["catalog_asked"] += 1
        request = CatalogRequest(current, world.catalog.version)
        actions.append(SendToPeer(world.rng.choice(hosts), request))
