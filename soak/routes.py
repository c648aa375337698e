"""Build the routes of a version of the configuration."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from tests.builders_platform import search_route, single_route


def routes_of(shards: Sequence[str], moved: str, idle: int) -> list[dict[str, Any]]:
    """Return the routes that are asked, and `idle` others."""
    return [
        search_route(list(shards)),
        single_route("c"),
        single_route("c", name="once", prefix="/once/", type="unsafe"),
        single_route(moved, name="moved", prefix="/moved/"),
        *(
            single_route("c", name=f"idle-{number}", prefix=f"/idle-{number}/")
            for number in range(idle)
        ),
    ]
