"""Compute and apply the difference between two sets of routing tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.catalog import TablesDelta

if TYPE_CHECKING:
    from burdockmill.forwarding.routes import RoutingTables


def compute_tables_delta(before: RoutingTables, after: RoutingTables) -> TablesDelta:
    """Return the difference from older tables to newer ones."""
    route_by_name = {route.name: route for route in before.routes}
    changed = tuple(
        route for route in after.routes if route_by_name.get(route.name) != route
    )
    names = {route.name for route in after.routes}
    removed = tuple(name for name in route_by_name if name not in names)
    return TablesDelta(before.version, after._replace(routes=changed), removed)


def apply_tables_delta(before: RoutingTables, change: TablesDelta) -> RoutingTables:
    """Return older tables with a difference applied."""
    changed = {route.name for route in change.tables.routes}
    replaced = changed.union(change.removed)
    unchanged = tuple(route for route in before.routes if route.name not in replaced)
    return change.tables._replace(routes=(*unchanged, *change.tables.routes))
