"""Describe the members that a host sees."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

if TYPE_CHECKING:
    from burdockmill.world import World


class MemberStatus(TypedDict):
    """Describe a member as a host sees it."""

    host: str
    domain: str
    leaving: bool
    alive: bool


def members_of(world: World) -> list[MemberStatus]:
    """Return the members that a host sees, sorted by domain and name."""
    rows = sorted(world.member_by_host.values(), key=lambda row: (row.domain, row.host))
    return [
        MemberStatus(
            host=row.host, domain=row.domain, leaving=row.leaving, alive=row.alive
        )
        for row in rows
    ]
