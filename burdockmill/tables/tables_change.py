"""Carry routing tables as what differs from older ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.catalog import TablesChange

if TYPE_CHECKING:
    from burdockmill.forwarding.routes import RoutingTables
    from burdockmill.names import Revision


def tables_change(
    base: Revision, before: RoutingTables, after: RoutingTables
) -> TablesChange:
    """Return what turns the tables of the revision `base` into newer ones."""
    route_by_name = {route.name: route for route in before.routes}
    changed = tuple(
        route for route in after.routes if route_by_name.get(route.name) != route
    )
    names = {route.name for route in after.routes}
    removed = tuple(name for name in route_by_name if name not in names)
    return TablesChange(base, after._replace(routes=changed), removed)


def changed_tables(before: RoutingTables, change: TablesChange) -> RoutingTables:
    """Return the newer tables."""
    changed = {route.name for route in change.tables.routes}
    dropped = changed.union(change.removed)
    kept = tuple(route for route in before.routes if route.name not in dropped)
    return change.tables._replace(routes=(*kept, *change.tables.routes))
