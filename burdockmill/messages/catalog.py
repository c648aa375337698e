"""Define the messages that replicate the catalog between hosts.

The catalog consists of the configuration and the registrations.
"""

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
    """Report a removed registration.

    Its upstream stays usable for another `grace_ms`, in which it may register again.
    """

    revision: Revision
    upstream: UpstreamId
    grace_ms: float = 0.0


class TablesDelta(NamedTuple):
    """Carry the difference from the routing tables of the revision `base`.

    `tables` omits unchanged routes; `removed` lists the names of removed routes.
    """

    base: Revision
    tables: RoutingTables
    removed: tuple[str, ...]


class CatalogDelta(NamedTuple):
    """Carry the changes after `base` up to `revision`.

    `is_whole` marks a complete copy; registrations that it does not list are removed,
    as by a `Departed` with its `grace_ms`. `tables` or `tables_delta` carries a
    configuration written at `tables_revision`.
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


class CatalogRequest(NamedTuple):
    """Request the changes of the catalog after a revision."""

    revision: Revision


class CatalogResponse(NamedTuple):
    """Return the changes after the requested revision."""

    delta: CatalogDelta
