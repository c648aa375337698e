"""Build the routes of a version of the configuration."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from tests.builders_platform import search_route, single_route

# Its upstreams run the requests that may run once.
ONCE_SERVICE = "c"


def routes_of(shards: Sequence[str], moved: str, idle: int) -> list[dict[str, Any]]:
    """Return the routes that are asked, and `idle` others."""
    return [
        search_route(list(shards)),
        single_route(ONCE_SERVICE),
        single_route(ONCE_SERVICE, name="once", prefix="/once/", type="unsafe"),
        single_route(moved, name="moved", prefix="/moved/"),
        *(
            single_route(ONCE_SERVICE, name=f"idle-{number}", prefix=f"/idle-{number}/")
            for number in range(idle)
        ),
    ]
