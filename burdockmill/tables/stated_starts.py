"""Tell registrations that state when their upstream started from all others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.catalog import CatalogDelta, Departed

if TYPE_CHECKING:
    from burdockmill.forwarding.messages import Registration
    from burdockmill.names import UpstreamId


class StatedStarts:
    """Turn registrations without a start into departures where others state theirs.

    Either all upstreams of a platform state their starts, or none does. Where they do,
    another writer left the start out: its entry is not a new incarnation, which would
    be free of what is known of the last one, such as that it drains. `missing` has the
    upstreams whose registrations the last delta had without a start.
    """

    def __init__(self) -> None:
        self.are_expected = False
        self.missing: tuple[UpstreamId, ...] = ()

    def screen(self, delta: CatalogDelta) -> CatalogDelta:
        """Return a delta in which no registration lacks an expected start."""
        if not self.are_expected:
            starts = (entry.registration.started_ms for entry in delta.registered)
            self.are_expected = any(starts)
        departed = tuple(
            Departed(entry.revision, entry.registration.upstream)
            for entry in delta.registered
            if self._is_missing(entry.registration)
        )
        self.missing = tuple(departure.upstream for departure in departed)
        if not departed:
            return delta
        registered = tuple(
            entry
            for entry in delta.registered
            if not self._is_missing(entry.registration)
        )
        return delta._replace(
            registered=registered, departed=(*delta.departed, *departed)
        )

    def _is_missing(self, registration: Registration) -> bool:
        return self.are_expected and not registration.started_ms
