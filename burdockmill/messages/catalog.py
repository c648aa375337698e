"""Define the messages that replicate the catalog between hosts.

The catalog consists of the configuration and the registrations.
"""

from __future__ import annotations

from typing import NamedTuple

from burdockmill.forwarding.messages import Registration
from burdockmill.forwarding.routes import RoutingTables
from burdockmill.messages.store_position import StorePosition
from burdockmill.names import DomainId, Era, Revision, UpstreamId


class Registered(NamedTuple):
    """Carry a registration and the revision that wrote it."""

    revision: Revision
    registration: Registration


class Departed(NamedTuple):
    """Report a removed registration.

    Its upstream stays usable for another `grace_ms`, in which it may register again.
    """

    revision: Revision
    upstream: UpstreamId
    grace_ms: float = 0.0


class Evacuation(NamedTuple):
    """Carry whether the upstreams of a failure domain are to get nothing."""

    revision: Revision
    domain: DomainId
    is_active: bool


class TablesDelta(NamedTuple):
    """Carry the difference from the routing tables of the version `base`.

    `tables` omits unchanged routes; `removed` lists the names of removed routes.
    """

    base: Revision
    tables: RoutingTables
    removed: tuple[str, ...]


class CatalogDelta(NamedTuple):
    """Carry the changes after `base` up to `revision`, both in one era of the store.

    `is_whole` marks a complete copy; registrations that it does not list are removed,
    as by a `Departed` with its `grace_ms`. `tables` or `tables_delta` carries a
    configuration written at `tables_revision`; its version orders it in all eras.
    `evacuations` is None if the sender knows nothing of them; a complete copy that
    lists them withdraws the others.
    """

    base: Revision
    revision: Revision
    tables_revision: Revision = 0
    tables: RoutingTables | None = None
    registered: tuple[Registered, ...] = ()
    departed: tuple[Departed, ...] = ()
    is_whole: bool = False
    grace_ms: float = 0.0
    tables_delta: TablesDelta | None = None
    era: Era = 0
    evacuations: tuple[Evacuation, ...] | None = None

    @property
    def position(self) -> StorePosition:
        """Return the state of the store that this delta leads to."""
        return StorePosition(self.era, self.revision)


class CatalogRequest(NamedTuple):
    """Request the changes after a state of the store; `version` is of the tables."""

    position: StorePosition = StorePosition()
    version: Revision = 0


class CatalogResponse(NamedTuple):
    """Return the changes after the requested state, or a whole copy."""

    delta: CatalogDelta
