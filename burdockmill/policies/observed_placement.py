"""Choose the replica that responded fastest to this host's own attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.policies.placement_policy import PlacementPolicy

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from burdockmill.names import DomainId, UpstreamId
    from burdockmill.tables.upstream_view import UpstreamView, UpstreamViews
    from burdockmill.world import World

    ReplicaView = tuple[UpstreamId, UpstreamView]

# Replicas whose minimal latency is within this of the lowest one count as nearby.
NEARBY_MARGIN_MS = 5.0
# Attempts spill over to a distant replica when the nearby one costs this much more.
SPILL_RATIO = 1.5
JITTER = 0.2
# Ejections are ignored when at most this fraction of the replicas remains.
PANIC_FRACTION = 0.5
# Minimal latency assumed for another failure domain until one was observed.
DEFAULT_FLOOR_MS = 6.0
# A latency observed longer ago than this no longer counts against a replica.
STALE_MS = 10_000.0
LEAST_LATENCY_MS = 1.0


class Candidate(NamedTuple):
    """Store a replica's expected wait in milliseconds, and whether it is nearby."""

    upstream: UpstreamId
    expected_wait_ms: float
    is_nearby: bool


class ObservedPlacement(PlacementPolicy):
    """Choose the better of two random nearby replicas; spill over if both are slow."""

    def __init__(self, views: UpstreamViews) -> None:
        self._views = views

    def choose(
        self, world: World, replicas: Sequence[UpstreamId], now_ms: float
    ) -> tuple[UpstreamId, str]:
        """Return the replica with the lower expected wait, and the reason."""
        all_views = [(name, self._views.of(name)) for name in replicas]
        kept = [pair for pair in all_views if pair[1].ejected_until_ms <= now_ms]
        remark = ""
        if len(kept) < len(all_views):
            remark = ", ejected replicas skipped"
            if len(kept) <= len(all_views) * PANIC_FRACTION:
                kept, remark = all_views, ", ejections ignored: too many"
                world.counter_by_name["ejections_overruled"] += 1
        if len(kept) == 1:
            return kept[0][0], "only replica left" + remark
        return self._pick(world, kept, remark, now_ms)

    def _pick(
        self, world: World, kept: list[ReplicaView], remark: str, now_ms: float
    ) -> tuple[UpstreamId, str]:
        assert world.rules is not None
        rule_by_id = world.rules.upstream_by_id
        rules = [rule_by_id[name] for name, _ in kept]
        floors = [self._floor_ms(world, rule.domain) for rule in rules]
        nearby_limit_ms = min(floors) + NEARBY_MARGIN_MS
        candidates = [
            Candidate(
                pair[0], _cost(pair[1], rule.slots, now_ms), floor <= nearby_limit_ms
            )
            for pair, rule, floor in zip(kept, rules, floors, strict=True)
        ]
        nearby = [one for one in candidates if one.is_nearby]
        best = _better_of_two(world.rng, nearby)
        if len(nearby) == len(candidates):
            return best.upstream, "better of two" + remark
        distant = _better_of_two(
            world.rng, [one for one in candidates if not one.is_nearby]
        )
        if best.expected_wait_ms > distant.expected_wait_ms * SPILL_RATIO:
            return distant.upstream, "nearby replicas are slow" + remark
        return best.upstream, "near" + remark

    def _floor_ms(self, world: World, domain: DomainId) -> float:
        observed_ms = self._views.floor_ms(domain)
        if observed_ms == 0.0 and domain != world.domain:
            return DEFAULT_FLOOR_MS
        return observed_ms


def _better_of_two(rng: random.Random, candidates: list[Candidate]) -> Candidate:
    first = candidates[int(rng.random() * len(candidates))]
    if len(candidates) == 1:
        return first
    others = [one for one in candidates if one is not first]
    second = others[int(rng.random() * len(others))]
    jitter = 1.0 + JITTER * (rng.random() - 0.5)
    return (
        second if second.expected_wait_ms * jitter < first.expected_wait_ms else first
    )


def _cost(view: UpstreamView, slots: int, now_ms: float) -> float:
    is_stale = now_ms - view.last_sent_ms > STALE_MS
    latency_ms = LEAST_LATENCY_MS if is_stale else view.latency_ms
    return max(latency_ms, LEAST_LATENCY_MS) * (1.0 + view.outstanding / slots)
