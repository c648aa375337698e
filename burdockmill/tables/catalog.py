"""Store the active configuration and the registered upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.forwarding.routes import RouteIndex
from burdockmill.messages.catalog import CatalogDelta, Departed, Registered
from burdockmill.messages.store_position import StorePosition
from burdockmill.tables.evacuations import Evacuations
from burdockmill.tables.stated_starts import StatedStarts
from burdockmill.tables.tables_delta import apply_tables_delta, compute_tables_delta

if TYPE_CHECKING:
    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.routes import RoutingTables, ServiceBounds
    from burdockmill.messages.catalog import CatalogRequest
    from burdockmill.names import DomainId, Era, Revision, ServiceId, UpstreamId

DEPARTURES_LIMIT = 4_096


class CatalogApplyResult(NamedTuple):
    """List what applying a delta changed in a catalog."""

    tables: bool = False
    upstreams: tuple[UpstreamId, ...] = ()
    departing: tuple[UpstreamId, ...] = ()
    evacuations: tuple[DomainId, ...] = ()

    def __bool__(self) -> bool:
        return any(self)


class Catalog:
    """Store the newest known catalog; older changes never replace newer ones.

    All revisions belong to one era of the store. The routing tables are ordered by
    their version, which holds in all eras.
    """

    def __init__(self) -> None:
        self.era: Era = 0
        self.revision: Revision = 0
        # The store has no newer tables than these up to this revision at least.
        self.tables_revision: Revision = 0
        self.tables: RoutingTables | None = None
        self.routes = RouteIndex(())
        self.bounds_by_service: dict[ServiceId, ServiceBounds] = {}
        self.registration_by_upstream: dict[UpstreamId, Registration] = {}
        self.upstreams_by_service: dict[ServiceId, dict[UpstreamId, Registration]] = {}
        self.removal_ms_by_upstream: dict[UpstreamId, float] = {}
        self.evacuations = Evacuations()
        self.starts = StatedStarts()
        # Revisions of the registrations and of the recorded departures.
        self._revision_by_upstream: dict[UpstreamId, Revision] = {}
        self._departed_by_upstream: dict[UpstreamId, Revision] = {}
        self._departures_complete_since: Revision = 0
        # Until then a whole copy lets its receiver keep what it does not list.
        self._renewed_by_ms = 0.0

    @property
    def position(self) -> StorePosition:
        """Return the state of the store that this catalog represents."""
        return StorePosition(self.era, self.revision)

    @property
    def version(self) -> Revision:
        """Return the version of the routing tables, 0 if there are none."""
        return self.tables.version if self.tables else 0

    def apply(self, delta: CatalogDelta, now_ms: float) -> CatalogApplyResult:
        """Apply what is newer than the stored state.

        A delta whose base is newer than this catalog leaves a gap: its content is
        applied, but `revision` does not advance. A delta of an older era is ignored,
        and one of a newer era unless it is a whole copy.
        """
        if delta.era != self.era:
            if delta.era < self.era or not delta.is_whole:
                return CatalogApplyResult()
            delta = self._start_era(delta, now_ms)
        delta = self.starts.screen(delta)
        has_base = self._has_base(delta)
        tables = self._apply_tables(delta)
        if has_base:
            self.tables_revision = max(self.tables_revision, delta.tables_revision)
        upstreams = [
            entry.registration.upstream
            for entry in delta.registered
            if self._register(entry)
        ]
        departing = [
            departure
            for departure in delta.departed
            if self._is_newer_departure(departure)
        ]
        if delta.is_whole:
            departing.extend(self._missing_upstreams(delta))
            self._departures_complete_since = max(
                self._departures_complete_since, delta.revision
            )
        for departure in departing:
            self._depart(departure, now_ms)
        if has_base and (delta.is_whole or delta.base <= self.revision):
            self.revision = max(self.revision, delta.revision)
        departing_upstreams = tuple(departure.upstream for departure in departing)
        evacuations = self.evacuations.apply(delta, now_ms)
        return CatalogApplyResult(
            tables, tuple(upstreams), departing_upstreams, evacuations
        )

    def since(self, request: CatalogRequest, now_ms: float) -> CatalogDelta:
        """Return the changes that a request asks for, or a whole copy.

        A whole copy is needed where departures after the requested revision were
        discarded, and for another era.
        """
        revision = request.position.revision
        is_whole = (
            request.position.era != self.era
            or revision < self._departures_complete_since
        )
        after = 0 if is_whole else revision
        registered = [
            Registered(written_at, self.registration_by_upstream[upstream])
            for upstream, written_at in self._revision_by_upstream.items()
            if written_at > after
        ]
        departed = [
            Departed(written_at, upstream, self._remaining_grace_ms(upstream, now_ms))
            for upstream, written_at in self._departed_by_upstream.items()
            if written_at > after
        ]
        # Receivers relay a delta, so it omits nothing that was written after its base.
        has_tables = self.tables_revision > after or self.version > request.version
        return CatalogDelta(
            after,
            self.revision,
            self.tables_revision if has_tables or is_whole else 0,
            self.tables if has_tables else None,
            tuple(registered),
            tuple(departed),
            is_whole,
            grace_ms=max(0.0, self._renewed_by_ms - now_ms) if is_whole else 0.0,
            era=self.era,
            evacuations=self.evacuations.since(after),
        )

    def with_tables_delta(self, delta: CatalogDelta) -> CatalogDelta:
        """Return the delta with its routing tables as a difference from these."""
        if delta.tables is None or self.tables is None or delta.is_whole:
            return delta
        if delta.tables.version <= self.tables.version:
            return delta
        change = compute_tables_delta(self.tables, delta.tables)
        return delta._replace(tables=None, tables_delta=change)

    def remove_departed(self, now_ms: float) -> list[UpstreamId]:
        """Remove and return the departed upstreams whose grace period has ended."""
        expired = [
            upstream
            for upstream, at_ms in self.removal_ms_by_upstream.items()
            if at_ms <= now_ms
        ]
        for upstream in expired:
            self._remove(upstream)
        return expired

    def next_removal_ms(self) -> float | None:
        """Return when the next grace period ends, or None."""
        ends_ms = [*self.removal_ms_by_upstream.values()]
        if (end_ms := self.evacuations.next_withdrawal_ms()) is not None:
            ends_ms.append(end_ms)
        return min(ends_ms, default=None)

    def ready_count(self) -> int:
        """Return the number of registered upstreams that are not draining."""
        return sum(not one.draining for one in self.registration_by_upstream.values())

    def _start_era(self, delta: CatalogDelta, now_ms: float) -> CatalogDelta:
        """Make all rows older than a whole copy of a newer era; return that copy.

        An upstream does not resume work once it drains, so the copy's state from
        before does not count for the same incarnation.
        """
        self.era = delta.era
        self.revision = self.tables_revision = 0
        self._revision_by_upstream = dict.fromkeys(self.registration_by_upstream, 0)
        self._departed_by_upstream.clear()
        self._departures_complete_since = 0
        self.evacuations.start_era()
        self._renewed_by_ms = now_ms + delta.grace_ms
        registered = tuple(
            entry._replace(registration=entry.registration._replace(draining=True))
            if self._is_known_to_drain(entry.registration)
            else entry
            for entry in delta.registered
        )
        return delta._replace(registered=registered)

    def _is_known_to_drain(self, registration: Registration) -> bool:
        known = self.registration_by_upstream.get(registration.upstream)
        return (
            known is not None
            and known.draining
            and known.started_ms == registration.started_ms
        )

    def _apply_tables(self, delta: CatalogDelta) -> bool:
        tables = self._resolve_tables(delta)
        if tables is None or tables.version <= self.version:
            return False
        self.tables = tables
        self.routes = RouteIndex(tables.routes)
        self.bounds_by_service = {bounds.name: bounds for bounds in tables.services}
        return True

    def _has_base(self, delta: CatalogDelta) -> bool:
        """Return whether the routing tables up to the delta's revision are available.

        A difference can be applied only to the tables of its base version, not to
        older or newer ones. It is not needed when the stored tables are at least as
        new as its result.
        """
        change = delta.tables_delta
        if change is None or change.tables.version <= self.version:
            return True
        return change.base == self.version

    def _resolve_tables(self, delta: CatalogDelta) -> RoutingTables | None:
        change = delta.tables_delta
        if change is None:
            return delta.tables
        if self.tables is None or change.base != self.version:
            return None
        return apply_tables_delta(self.tables, change)

    def _register(self, entry: Registered) -> bool:
        upstream = entry.registration.upstream
        newest = max(
            self._revision_by_upstream.get(upstream, 0),
            self._departed_by_upstream.get(upstream, 0),
        )
        if entry.revision <= newest:
            return False
        self._departed_by_upstream.pop(upstream, None)
        self._remove(upstream)
        registration = entry.registration
        self._revision_by_upstream[upstream] = entry.revision
        self.registration_by_upstream[upstream] = registration
        service_upstreams = self.upstreams_by_service.setdefault(
            registration.service, {}
        )
        service_upstreams[upstream] = registration
        return True

    def _is_newer_departure(self, departure: Departed) -> bool:
        if departure.revision <= self._departed_by_upstream.get(departure.upstream, 0):
            return False
        registered_at = self._revision_by_upstream.get(departure.upstream, 0)
        # At the same revision it is an entry that was registered unscreened before.
        return departure.revision >= registered_at

    def _missing_upstreams(self, delta: CatalogDelta) -> list[Departed]:
        listed = {entry.registration.upstream for entry in delta.registered}
        listed |= {departure.upstream for departure in delta.departed}
        return [
            Departed(delta.revision, upstream, delta.grace_ms)
            for upstream, written_at in self._revision_by_upstream.items()
            if upstream not in listed and written_at <= delta.revision
        ]

    def _depart(self, departure: Departed, now_ms: float) -> None:
        self._departed_by_upstream[departure.upstream] = departure.revision
        self._revision_by_upstream.pop(departure.upstream, None)
        if departure.upstream in self.registration_by_upstream:
            self.removal_ms_by_upstream[departure.upstream] = (
                now_ms + departure.grace_ms
            )
        if len(self._departed_by_upstream) > DEPARTURES_LIMIT:
            oldest = next(iter(self._departed_by_upstream))
            discarded = self._departed_by_upstream.pop(oldest)
            self._departures_complete_since = max(
                self._departures_complete_since, discarded
            )

    def _remove(self, upstream: UpstreamId) -> None:
        self.removal_ms_by_upstream.pop(upstream, None)
        registration = self.registration_by_upstream.pop(upstream, None)
        if registration is None:
            return
        service_upstreams = self.upstreams_by_service[registration.service]
        del service_upstreams[upstream]
        if not service_upstreams:
            del self.upstreams_by_service[registration.service]

    def _remaining_grace_ms(self, upstream: UpstreamId, now_ms: float) -> float:
        return max(0.0, self.removal_ms_by_upstream.get(upstream, now_ms) - now_ms)
