"""Admit less urgent requests while the upstreams of a service refuse for lack of room.

Load pattern: a burst asks more of a service than its upstreams have slots and queues
for, or callers repeat what was refused at once and often. Upstreams refuse without
regard to urgency, so the urgent kind loses as large a share as the others. All hosts
see the same upstreams refuse, so each decides from its own counts. What is refused here
makes room for the rest, and less of it is refused as upstreams refuse less.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

from xxhash import xxh3_64_intdigest

from burdockmill.policies.room_counts import RoomCounts

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from burdockmill.names import RequestId, ServiceId, UpstreamId

# The counts of a service slide over this time, in steps. Of these, the latest steps
# that have enough attempts decide, so that a busy host follows within half a second.
WINDOW_MS = 4_000.0
STEP_MS = 250.0
STEPS = int(WINDOW_MS / STEP_MS)
ENOUGH_ATTEMPTS = 60
# While room is short, the counts are added up so often at most, as a search of 36
# shards would add up those of each service for each of its attempts.
UPDATE_MS = 50.0
# Room is short from this share of refused attempts on, until it falls below the other.
BEGIN_SHARE = 0.08
END_SHARE = 0.03
# Room is not short before so many requests in the window, and such a share of them
# beside, found none at any upstream. With less, hosts throttled at 60 % of their
# upstreams' room, where each refuses attempts at times and another mostly takes them.
MIN_UNPLACED = 3
MIN_UNPLACED_SHARE = 0.05
# The share to refuse is this multiple of what upstreams refuse, so that few attempts
# are refused there once the policy has settled.
REFUSED_GAIN = 2.0
# What was refused here counts less than what upstreams refuse, so that the policy tries
# to admit more with each window.
HELD_WEIGHT = 0.7
# Each rank keeps this chance, so that no kind is starved; ranks from the last one on
# are throttled alike.
LEAST_CHANCES = (1.0, 0.15, 0.08)
LAST_RANK = len(LEAST_CHANCES) - 1
EVERY_CHANCE = (1.0,) * len(LEAST_CHANCES)
HASH_VALUES = 2**64
# Other decisions that hash the same ids, such as who gathers a search, use other seeds.
DRAW_SEED = 11


class Shortage(NamedTuple):
    """Describe how short the room of a service is.

    `refused_share` is the share of attempts that even its freest upstream refused,
    `held_share` that of the requests that this host refused because of it.
    """

    service: ServiceId
    refused_share: float
    held_share: float


class Judgement(NamedTuple):
    """Store the chance of a request, and the shortage that decided on it."""

    shortage: Shortage
    rank: int
    chance: float
    is_admitted: bool


class _Window:
    """Store the counts of one service, and the latest of them that tell enough."""

    __slots__ = (
        "asked",
        "chances",
        "is_short",
        "recent",
        "steps",
        "unplaced",
        "updated_ms",
    )

    def __init__(self) -> None:
        self.steps: deque[RoomCounts] = deque()
        self.recent = RoomCounts(0, LAST_RANK + 1)
        self.asked = 0
        self.unplaced = 0
        self.is_short = False
        self.chances = EVERY_CHANCE
        self.updated_ms = 0.0

    def step(self, now_ms: float) -> RoomCounts:
        """Return the step of a time; steps that left the window are discarded."""
        number = int(now_ms // STEP_MS)
        if not self.steps or self.steps[-1].number < number:
            self.steps.append(RoomCounts(number, LAST_RANK + 1))
            while self.steps[0].number <= number - STEPS:
                left = self.steps.popleft()
                self.unplaced -= left.unplaced
                self.asked -= sum(left.asked)
        return self.steps[-1]

    def update(self, now_ms: float) -> bool:
        """Decide if room is short; return whether that has changed."""
        if self.is_short:
            if now_ms - self.updated_ms < UPDATE_MS:
                return False
        elif self.unplaced < MIN_UNPLACED + MIN_UNPLACED_SHARE * self.asked:
            return False
        self.updated_ms = now_ms
        self.recent = RoomCounts(0, LAST_RANK + 1)
        for step in reversed(self.steps):
            self.recent.add(step)
            if self.recent.ended >= ENOUGH_ATTEMPTS:
                break
        share = self.recent.refused_share
        is_short = share >= (END_SHARE if self.is_short else BEGIN_SHARE)
        has_changed = is_short is not self.is_short
        self.is_short = is_short
        self.chances = _chances(self.recent) if is_short else EVERY_CHANCE
        return has_changed


class Urgency:
    """Count by service what was asked and refused, and admit requests by their rank.

    `on_change` is called when the room of a service becomes short, or is not any more.
    Without `has_ranks` nothing is counted and every request is admitted.
    """

    def __init__(self, on_change: Callable[[Shortage, bool, float], None]) -> None:
        self.counts: Counter[str] = Counter()
        self.has_ranks = False
        self._on_change = on_change
        self._window_by_service: dict[ServiceId, _Window] = {}

    def set_ranks(self, ranks: Collection[int]) -> None:
        """Take effect only if the routes of the configuration have different ranks."""
        self.has_ranks = len(set(ranks)) > 1
        if not self.has_ranks:
            self._window_by_service.clear()

    def retain_only(self, services: Collection[ServiceId]) -> None:
        """Remove the services that are not among `services`."""
        for service in self._window_by_service.keys() - set(services):
            del self._window_by_service[service]

    def ended(
        self, service: ServiceId, upstream: UpstreamId, is_refused: bool, now_ms: float
    ) -> None:
        """Record an attempt that ended; `is_refused` is for lack of room."""
        if self.has_ranks:
            window = self._window(service)
            window.step(now_ms).add_ended(upstream, 1, is_refused)
            self.counts["refused_for_room"] += is_refused
            self._update(service, window, now_ms)

    def unplaced(self, service: ServiceId, now_ms: float) -> None:
        """Record a request that no upstream of a service had room for."""
        if self.has_ranks:
            window = self._window(service)
            window.step(now_ms).unplaced += 1
            window.unplaced += 1
            self.counts["unplaced"] += 1
            self._update(service, window, now_ms)

    def judge(
        self,
        services: Sequence[ServiceId],
        spare: int,
        rank: int,
        request_id: RequestId,
        now_ms: float,
    ) -> Judgement | None:
        """Record a request and decide on it; return None if room is not short.

        A request for several services can do without `spare` of them, so that the
        worst of the others decides.
        """
        if not self.has_ranks:
            return None
        kind = min(max(0, rank), LAST_RANK)
        chances = []
        for service in services:
            window = self._window(service)
            window.step(now_ms).asked[kind] += 1
            window.asked += 1
            self._update(service, window, now_ms)
            chances.append((window.chances[kind], service))
        chances.sort()
        chance, decisive = chances[min(max(0, spare), len(chances) - 1)]
        if chance >= 1.0:
            return None
        drawn = xxh3_64_intdigest(request_id.encode(), DRAW_SEED) / HASH_VALUES
        is_admitted = drawn < chance
        if not is_admitted:
            self.counts[f"held_rank_{kind}"] += 1
            for _, service in chances[: spare + 1]:
                self._window(service).step(now_ms).held += 1
        shortage = _shortage(decisive, self._window(decisive))
        return Judgement(shortage, rank, chance, is_admitted)

    def is_short(self, service: ServiceId) -> bool:
        """Return whether the room of a service is short."""
        window = self._window_by_service.get(service)
        return window is not None and window.is_short

    def short_services(self) -> list[ServiceId]:
        """Return the services whose room is short."""
        return [name for name, one in self._window_by_service.items() if one.is_short]

    def _window(self, service: ServiceId) -> _Window:
        window = self._window_by_service.get(service)
        if window is None:
            window = self._window_by_service[service] = _Window()
        return window

    def _update(self, service: ServiceId, window: _Window, now_ms: float) -> None:
        if window.update(now_ms):
            name = "shortages_begun" if window.is_short else "shortages_ended"
            self.counts[name] += 1
            self._on_change(_shortage(service, window), window.is_short, now_ms)


def _shortage(service: ServiceId, window: _Window) -> Shortage:
    recent = window.recent
    return Shortage(service, recent.refused_share, recent.held_share)


def _chances(recent: RoomCounts) -> tuple[float, ...]:
    """Return the chance of each rank: the last gives up its share before others do."""
    held_share = recent.held_share
    excess = REFUSED_GAIN * (1.0 - held_share) * recent.refused_share
    excess += HELD_WEIGHT * held_share
    left = min(1.0, excess) * sum(recent.asked)
    chances = list(EVERY_CHANCE)
    for rank in range(LAST_RANK, 0, -1):
        asked = recent.asked[rank]
        chances[rank] = max(LEAST_CHANCES[rank], 1.0 - max(0.0, left) / max(1, asked))
        left -= (1.0 - LEAST_CHANCES[rank]) * asked
    return tuple(chances)
