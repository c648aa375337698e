"""Replay hosts that share the upstreams of a service, with one choice of upstream."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.forwarding.attempt_costs import AttemptCosts
from burdockmill.forwarding.messages import (
    AttemptEnd,
    AttemptOutcome,
    ConnectionState,
    Registration,
    StatedLoad,
)
from burdockmill.forwarding.observations import Observations
from burdockmill.forwarding.token_gate import TokenGate
from burdockmill.forwarding.upstream_notices import UpstreamNotices
from burdockmill.policies.cost_estimate import RequestClass
from burdockmill.policies.replica_choice import ExpectedLatencyChoice
from burdockmill.tables.upstream_limits import UpstreamLimits

if TYPE_CHECKING:
    from collections.abc import Callable

SLOTS = 4
NEAR_MS = 0.5
FAR_MS = 12.0
REGIONS = {"a": "r-1", "b": "r-2", "c": "r-3"}
SPELL_MS = 600.0
SPELL_PACE = 2.5
WARM_UP_FRACTION = 0.25
CHOICES = ("new", "today", "random", "least_outstanding", "two_choices")


class Drawn(NamedTuple):
    """Describe one request: its route, its digest, and its work in milliseconds."""

    route: str
    digest: int
    work_ms: float


class Scenario(NamedTuple):
    """Describe a load; `draw` gets the generator and the replay's progress, 0 to 1.

    `speeds` are how long work takes at each upstream, and `spell_fraction` the share of
    time in which one works SPELL_PACE times as long. With `regions`, each upstream is
    in another one.
    """

    name: str
    draw: Callable[[random.Random, float], Drawn]
    mean_work_ms: float
    speeds: tuple[float, ...] = (1.0, 1.0, 1.0)
    spell_fraction: float = 0.0
    use: float = 0.6
    regions: bool = False


class Upstream:
    """Simulate an upstream with a few slots and one queue."""

    def __init__(self, registration: Registration, speed: float) -> None:
        self.registration = registration
        self.speed = speed
        self.pace = 1.0
        self.running = 0
        self.waiting: deque[tuple[float, Callable[[float], None]]] = deque()

    def load(self) -> StatedLoad:
        """Return the load that an answer states."""
        return StatedLoad(self.running, len(self.waiting), SLOTS, self.pace)


class Host:
    """Choose upstreams for one host's requests."""

    def __init__(self, choice: str, number: int, seed: int, domain: str) -> None:
        self.choice = choice
        self.domain = domain
        self.rng = random.Random(f"{seed} {number}")
        self.observations = Observations(AttemptCosts(choice.startswith("new")))
        self.expected = ExpectedLatencyChoice(
            f"host-{number}",
            domain,
            REGIONS,
            self.observations,
            {},
            UpstreamNotices(1_200.0),
            lambda _: ConnectionState.IDLE,
            TokenGate(UpstreamLimits(), lambda _: None),
        )

    def choose(
        self, replicas: list[Registration], request: RequestClass, now_ms: float
    ) -> Registration:
        """Return the upstream of a request."""
        if self.choice == "random":
            return self.rng.choice(replicas)
        if self.choice == "least_outstanding":
            return min(replicas, key=self._outstanding)
        if self.choice == "two_choices":
            return min(self.rng.sample(replicas, 2), key=self._outstanding)
        ranked = self.expected.rank(replicas, (), True, now_ms, None, request)
        return ranked[0].registration

    def _outstanding(self, replica: Registration) -> tuple[int, float]:
        observation = self.observations.of(replica.upstream)
        return len(observation.open_since_ms_by_attempt), self.rng.random()


class CostReplay:
    """Replay one scenario with one choice; times are in milliseconds."""

    def __init__(
        self, scenario: Scenario, choice: str, hosts: int, requests: int, seed: int = 1
    ) -> None:
        self.took_ms: list[float] = []
        self._scenario = scenario
        self._requests = requests
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        domains = sorted(REGIONS) if scenario.regions else ["a"] * len(scenario.speeds)
        self._upstreams = {
            f"u-{number}": Upstream(
                Registration(f"u-{number}", "s", "", domain, SLOTS, False, 0.0, 1),
                speed,
            )
            for number, (domain, speed) in enumerate(
                zip(domains, scenario.speeds, strict=True)
            )
        }
        self._replicas = [one.registration for one in self._upstreams.values()]
        self.hosts = [
            Host(choice, number, seed, domains[number % len(domains)])
            for number in range(hosts)
        ]
        self._states_load = choice != "new_without_stated_load"

    def run(self) -> CostReplay:
        """Send all requests, and return the replay."""
        scenario = self._scenario
        capacity = sum(SLOTS / one.speed for one in self._upstreams.values())
        slowdown = 1.0 + scenario.spell_fraction * (SPELL_PACE - 1.0)
        rate = scenario.use * capacity / (scenario.mean_work_ms * slowdown)
        at_ms = 0.0
        for number in range(self._requests):
            drawn = scenario.draw(self._rng, number / self._requests)
            host = self._rng.choice(self.hosts)
            is_measured = number >= WARM_UP_FRACTION * self._requests
            self._at(at_ms, self._arrival(host, drawn, is_measured))
            at_ms += self._rng.expovariate(rate)
        if scenario.spell_fraction:
            for step in range(int(at_ms / SPELL_MS) + 1):
                self._at(step * SPELL_MS, self._change_paces)
        while self._events:
            now_ms, _, action = heapq.heappop(self._events)
            action(now_ms)
        return self

    def _at(self, at_ms: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), action))

    def _change_paces(self, now_ms: float) -> None:
        for one in self._upstreams.values():
            is_slow = self._rng.random() < self._scenario.spell_fraction
            one.pace = SPELL_PACE if is_slow else 1.0

    def _arrival(
        self, host: Host, drawn: Drawn, is_measured: bool
    ) -> Callable[[float], None]:
        request = RequestClass("s", drawn.route, drawn.digest)

        def arrive(now_ms: float) -> None:
            chosen = host.choose(self._replicas, request, now_ms)
            key = next(self._order)
            upstream = self._upstreams[chosen.upstream]
            path_ms = NEAR_MS if chosen.domain == host.domain else FAR_MS
            observation = host.observations.of(chosen.upstream)
            costs = host.observations.costs
            observation.network_ms = host.expected.network_ms(chosen)
            observation.started(key, now_ms, costs.factor(request))

            def answer(ended_ms: float, load: StatedLoad | None) -> None:
                outcome = AttemptOutcome(AttemptEnd.ANSWERED, load=load)
                costs.ended(
                    observation,
                    key,
                    chosen,
                    request,
                    outcome,
                    ended_ms,
                    host.expected.is_near(chosen),
                )
                if is_measured:
                    self.took_ms.append(ended_ms - now_ms)

            def finish(end_ms: float) -> None:
                upstream.running -= 1
                if upstream.waiting:
                    work_ms, next_finish = upstream.waiting.popleft()
                    self._start(upstream, work_ms, next_finish, end_ms)
                load = upstream.load() if self._states_load else None
                self._at(end_ms + path_ms, lambda at_ms: answer(at_ms, load))

            def receive(at_ms: float) -> None:
                if upstream.running < SLOTS:
                    self._start(upstream, drawn.work_ms, finish, at_ms)
                else:
                    upstream.waiting.append((drawn.work_ms, finish))

            self._at(now_ms + path_ms, receive)

        return arrive

    def _start(
        self,
        upstream: Upstream,
        work_ms: float,
        finish: Callable[[float], None],
        now_ms: float,
    ) -> None:
        upstream.running += 1
        self._at(now_ms + work_ms * upstream.speed * upstream.pace, finish)


def _mixed(rng: random.Random, progress: float, swaps: bool = False) -> Drawn:
    """Draw a request of one of two routes; one in four digests is expensive."""
    route, work_ms = ("cheap", 7.5) if rng.random() < 0.6 else ("dear", 22.0)
    digest = rng.randrange(200)
    expensive = 1 if swaps and progress > 0.5 else 0
    factor = 3.0 if digest % 4 == expensive else 0.5
    return Drawn(route, digest, work_ms * factor * rng.uniform(0.8, 1.25))


def _changing(rng: random.Random, progress: float) -> Drawn:
    return _mixed(rng, progress, swaps=True)


def _equal(rng: random.Random, progress: float) -> Drawn:
    return Drawn("only", rng.randrange(200), 12.0 * rng.uniform(0.8, 1.25))


def _unforeseeable(rng: random.Random, progress: float) -> Drawn:
    """Draw a heavy tail that neither the route nor the repeated digest foretells."""
    return Drawn("only", rng.randrange(200), min(12.0 * rng.lognormvariate(0, 1), 400))


MIXED_MEAN_MS = (0.6 * 7.5 + 0.4 * 22.0) * (0.25 * 3.0 + 0.75 * 0.5) * 1.025
SCENARIOS = (
    Scenario("mixed", _mixed, MIXED_MEAN_MS),
    Scenario("mixed_regions", _mixed, MIXED_MEAN_MS, regions=True),
    Scenario("speeds", _equal, 12.3, (0.8, 1.0, 1.3)),
    Scenario("spells", _equal, 12.3, (0.8, 1.0, 1.3), 0.15),
    Scenario("changing", _changing, MIXED_MEAN_MS),
    Scenario("unforeseeable", _unforeseeable, 19.4),
)
