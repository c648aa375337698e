"""Hold the configuration in force and the registered upstreams, by revision."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.forwarding.routes import RouteIndex
from burdockmill.messages.catalog import CatalogDelta, Departed, Registered
from burdockmill.tables.tables_change import changed_tables, tables_change

if TYPE_CHECKING:
    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.routes import RoutingTables, ServiceBounds
    from burdockmill.names import Revision, ServiceId, UpstreamId

DEPARTED_KEPT = 4_096


class CatalogChange(NamedTuple):
    """Say what a delta changed here."""

    tables: bool = False
    upstreams: tuple[UpstreamId, ...] = ()
    departing: tuple[UpstreamId, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.tables or self.upstreams or self.departing)


class Catalog:
    """Hold what the highest revision seen says; it never goes back."""

    def __init__(self) -> None:
        self.revision: Revision = 0
        self.tables_revision: Revision = 0
        self.tables: RoutingTables | None = None
        self.routes = RouteIndex(())
        self.bounds_by_service: dict[ServiceId, ServiceBounds] = {}
        self.registration_by_upstream: dict[UpstreamId, Registration] = {}
        self.upstreams_by_service: dict[ServiceId, dict[UpstreamId, Registration]] = {}
        self.leaves_ms_by_upstream: dict[UpstreamId, float] = {}
        self._revision_by_upstream: dict[UpstreamId, Revision] = {}
        self._departed_by_upstream: dict[UpstreamId, Revision] = {}
        self._departures_known_since: Revision = 0

    def apply(self, delta: CatalogDelta, now_ms: float) -> CatalogChange:
        """Take what is newer; a delta past a gap advances no revision."""
        has_base = self._has_base(delta)
        tables = self._take_tables(delta)
        upstreams = [
            entry.registration.upstream
            for entry in delta.registered
            if self._register(entry)
        ]
        departing = [gone for gone in delta.departed if self._is_news(gone)]
        if delta.is_whole:
            departing.extend(self._unnamed(delta))
            self._departures_known_since = max(
                self._departures_known_since, delta.revision
            )
        for gone in departing:
            self._depart(gone, now_ms)
        if has_base and (delta.is_whole or delta.base <= self.revision):
            self.revision = max(self.revision, delta.revision)
        names = tuple(gone.upstream for gone in departing)
        return CatalogChange(tables, tuple(upstreams), names)

    def since(self, revision: Revision, now_ms: float) -> CatalogDelta:
        """Return what follows a revision, or everything when it is too old."""
        is_whole = revision < self._departures_known_since
        after = 0 if is_whole else revision
        registered = [
            Registered(at, self.registration_by_upstream[upstream])
            for upstream, at in self._revision_by_upstream.items()
            if at > after
        ]
        departed = [
            Departed(at, upstream, self._grace_ms(upstream, now_ms))
            for upstream, at in self._departed_by_upstream.items()
            if at > after
        ]
        has_tables = self.tables_revision > after
        return CatalogDelta(
            revision,
            self.revision,
            self.tables_revision if has_tables else 0,
            self.tables if has_tables else None,
            tuple(registered),
            tuple(departed),
            is_whole,
        )

    def slim(self, delta: CatalogDelta) -> CatalogDelta:
        """Return a delta whose routing tables are told by what differs from these."""
        if delta.tables is None or self.tables is None or delta.is_whole:
            return delta
        change = tables_change(self.tables_revision, self.tables, delta.tables)
        return delta._replace(tables=None, tables_change=change)

    def remove_left(self, now_ms: float) -> list[UpstreamId]:
        """Remove the upstreams whose time to come back has passed."""
        left = [
            upstream
            for upstream, at_ms in self.leaves_ms_by_upstream.items()
            if at_ms <= now_ms
        ]
        for upstream in left:
            self._remove(upstream)
        return left

    def next_leave_ms(self) -> float | None:
        """Return when the next departing upstream is removed."""
        return min(self.leaves_ms_by_upstream.values(), default=None)

    def ready_count(self) -> int:
        """Return how many registered upstreams take new work."""
        return sum(not one.draining for one in self.registration_by_upstream.values())

    def _take_tables(self, delta: CatalogDelta) -> bool:
        tables = self._tables_of(delta)
        if tables is None or delta.tables_revision <= self.tables_revision:
            return False
        if self.tables is not None and tables.version <= self.tables.version:
            return False
        self.tables = tables
        self.tables_revision = delta.tables_revision
        self.routes = RouteIndex(tables.routes)
        self.bounds_by_service = {one.name: one for one in tables.services}
        return True

    def _has_base(self, delta: CatalogDelta) -> bool:
        """Tell whether the tables that a delta tells can be known here after it.

        What differs from other tables than those held says nothing, even where these
        are newer, unless those held are as new as what it would make.
        """
        change = delta.tables_change
        if change is None or delta.tables_revision <= self.tables_revision:
            return True
        return change.base == self.tables_revision

    def _tables_of(self, delta: CatalogDelta) -> RoutingTables | None:
        change = delta.tables_change
        if change is None:
            return delta.tables
        if self.tables is None or change.base != self.tables_revision:
            return None
        return changed_tables(self.tables, change)

    def _register(self, entry: Registered) -> bool:
        upstream = entry.registration.upstream
        known = max(
            self._revision_by_upstream.get(upstream, 0),
            self._departed_by_upstream.get(upstream, 0),
        )
        if entry.revision <= known:
            return False
        self._departed_by_upstream.pop(upstream, None)
        self._remove(upstream)
        registration = entry.registration
        self._revision_by_upstream[upstream] = entry.revision
        self.registration_by_upstream[upstream] = registration
        of_service = self.upstreams_by_service.setdefault(registration.service, {})
        of_service[upstream] = registration
        return True

    def _is_news(self, gone: Departed) -> bool:
        if gone.revision <= self._departed_by_upstream.get(gone.upstream, 0):
            return False
        return gone.revision > self._revision_by_upstream.get(gone.upstream, 0)

    def _unnamed(self, delta: CatalogDelta) -> list[Departed]:
        named = {entry.registration.upstream for entry in delta.registered}
        named |= {gone.upstream for gone in delta.departed}
        return [
            Departed(delta.revision, upstream, delta.grace_ms)
            for upstream, at in self._revision_by_upstream.items()
            if upstream not in named and at <= delta.revision
        ]

    def _depart(self, gone: Departed, now_ms: float) -> None:
        self._departed_by_upstream[gone.upstream] = gone.revision
        self._revision_by_upstream.pop(gone.upstream, None)
        if gone.upstream in self.registration_by_upstream:
            self.leaves_ms_by_upstream[gone.upstream] = now_ms + gone.grace_ms
        if len(self._departed_by_upstream) > DEPARTED_KEPT:
            oldest = next(iter(self._departed_by_upstream))
            at = self._departed_by_upstream.pop(oldest)
            self._departures_known_since = max(self._departures_known_since, at)

    def _remove(self, upstream: UpstreamId) -> None:
        self.leaves_ms_by_upstream.pop(upstream, None)
        before = self.registration_by_upstream.pop(upstream, None)
        if before is None:
            return
        of_service = self.upstreams_by_service[before.service]
        del of_service[upstream]
        if not of_service:
            del self.upstreams_by_service[before.service]

    def _grace_ms(self, upstream: UpstreamId, now_ms: float) -> float:
        return max(0.0, self.leaves_ms_by_upstream.get(upstream, now_ms) - now_ms)
