"""Name the messages that spread the catalog: configuration and registrations."""

from __future__ import annotations

from typing import NamedTuple

from burdockmill.forwarding.messages import Registration
from burdockmill.forwarding.routes import RoutingTables
from burdockmill.names import Revision, UpstreamId


class Registered(NamedTuple):
    """Carry a registration and the revision that wrote it."""

    revision: Revision
    registration: Registration


class Departed(NamedTuple):
    """Say that a registration is gone; it may come back for `grace_ms` more."""

    revision: Revision
    upstream: UpstreamId
    grace_ms: float = 0.0


class TablesChange(NamedTuple):
    """Carry what differs from the routing tables of the revision `base`.

    `tables` holds everything but the routes that stay as they are; `removed` names
    the routes that go.
    """

    base: Revision
    tables: RoutingTables
    removed: tuple[str, ...]


class CatalogDelta(NamedTuple):
    """Carry what changed after `base` up to `revision`.

    `is_whole` marks a copy of everything; what it does not name is gone, but may
    come back for `grace_ms` more. `tables` or `tables_change` carries a configuration
    written at `tables_revision`.
    """

    base: Revision
    revision: Revision
    tables_revision: Revision = 0
    tables: RoutingTables | None = None
    registered: tuple[Registered, ...] = ()
    departed: tuple[Departed, ...] = ()
    is_whole: bool = False
    grace_ms: float = 0.0
    tables_change: TablesChange | None = None


class CatalogAsk(NamedTuple):
    """Ask for what follows a revision."""

    revision: Revision


class CatalogOffer(NamedTuple):
    """Answer with what follows the revision that was asked about."""

    delta: CatalogDelta
