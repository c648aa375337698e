"""Count what was asked of a service, and what its upstreams had no room for."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockmill.names import UpstreamId

# An upstream with less than this fraction of the attempts at another tells nothing.
KNOWN_FRACTION = 0.1


class RoomCounts:
    """Count what happened in one step of the window, or in several.

    `asked` are requests by rank, `held` those that were refused here, and `unplaced`
    those that no upstream had room for. `ended_by_upstream` has the attempts that
    ended, and how many of them found no room.
    """

    __slots__ = ("asked", "ended", "ended_by_upstream", "held", "number", "unplaced")

    def __init__(self, number: int, ranks: int) -> None:
        self.number = number
        self.asked = [0] * ranks
        self.held = 0
        self.unplaced = 0
        self.ended = 0
        self.ended_by_upstream: dict[UpstreamId, list[int]] = {}

    def add_ended(self, upstream: UpstreamId, ended: int, refused: int) -> None:
        """Add attempts at an upstream."""
        counts = self.ended_by_upstream.setdefault(upstream, [0, 0])
        counts[0] += ended
        counts[1] += refused
        self.ended += ended

    def add(self, other: RoomCounts) -> None:
        """Add the counts of another step."""
        self.held += other.held
        self.unplaced += other.unplaced
        for rank, asked in enumerate(other.asked):
            self.asked[rank] += asked
        for upstream, (ended, refused) in other.ended_by_upstream.items():
            self.add_ended(upstream, ended, refused)

    @property
    def refused_share(self) -> float:
        """Return the share of attempts that the freest upstream refused.

        While one replica takes all that it gets, requests that another refused are
        served there.
        """
        by_upstream = self.ended_by_upstream.values()
        enough = KNOWN_FRACTION * max((ended for ended, _ in by_upstream), default=0)
        shares = (refused / ended for ended, refused in by_upstream if ended >= enough)
        # Requests that all upstreams paused for have no attempts.
        asked = sum(self.asked)
        unplaced_share = min(1.0, self.unplaced / asked) if asked else 0.0
        return max(unplaced_share, min(shares, default=0.0))

    @property
    def held_share(self) -> float:
        """Return the share of the requests that this host refused."""
        asked = sum(self.asked)
        return self.held / asked if asked else 0.0
