"""Build virtual fleets of forwarding hosts against upstreams that name limits."""

import math
import random
from collections import defaultdict

from burdockmill.fleet_core import make_fleet_engine
from burdockmill.forwarding.actions import Conclude, SendAttempt
from burdockmill.forwarding.merge_policy import GreatestRecords
from burdockmill.forwarding.messages import AttemptEnd, AttemptOutcome
from burdockmill.forwarding.request_run import RequestRun
from burdockmill.forwarding.token_gate import TokenGate
from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.messages.actions import Announce, SendToPeer
from burdockmill.messages.events import HostStarted
from burdockmill.messages.limits import TokensChanged
from burdockmill.standins.virtual_fleet import VirtualFleet
from burdockmill.systems._ring import Ring
from burdockmill.tables.rows import MemberRow
from tests.builders_fleet import Links, Upstreams
from tests.builders_forwarding import (
    DOMAINS,
    REGIONS,
    make_planner,
    make_request,
    services_of,
)


class FleetOfEngines(VirtualFleet):
    """Run the engines of forwarding hosts; messages of `lost_types` are lost."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.lost_types = set()

    def add_host(self, host, domain):
        rng = random.Random(self.rng.getrandbits(64))
        self.engine_by_host[host] = make_fleet_engine(host, domain, rng, Ring())
        self._timer_by_host.pop(host, None)
        return self.engine_by_host[host]

    def _deliver(self, sender, to, message):
        if type(message) not in self.lost_types:
            super()._deliver(sender, to, message)


class LimitedFleet:
    """Send the requests of a route through the hosts of a virtual fleet."""

    def __init__(self, route, upstreams, per_domain=3, seed=1, **links):
        self.route = route
        self.upstream_by_id = {one.registration.upstream: one for one in upstreams}
        self.registrations_by_service = defaultdict(list)
        for one in upstreams:
            service = one.registration.service
            self.registrations_by_service[service].append(one.registration)
        self.domain_by_host = {
            f"{domain}-{number}": domain
            for domain in DOMAINS
            for number in range(per_domain)
        }
        self.links = self.make_links(**{"max_delay_ms": 15.0, **links})
        self.virtual = FleetOfEngines(seed, Upstreams(), self.links)
        self.rng = random.Random(seed)
        self.virtual.on_action = self._on_action
        self.planner_by_host = {}
        self.gate_by_host = {}
        self.incarnation = 0
        self.results = []
        self.longest_ms = 0.0
        self.messages = 0
        self.kinds = defaultdict(int)
        for host in self.domain_by_host:
            self.start(host)
        self._number = 0

    @property
    def now_ms(self):
        return self.virtual.clock.now_ms()

    def make_links(self, **links):
        return Links(**links)

    def start(self, host):
        """Start a host, or restart it with its state lost."""
        self.incarnation += 1
        engine = self.virtual.add_host(host, self.domain_by_host[host])
        gate = TokenGate(engine.world.limits, lambda event: self._post(host, event))
        self.gate_by_host[host] = gate
        self.planner_by_host[host] = make_planner(
            self.registrations_by_service.__getitem__,
            self.domain_by_host[host],
            host=host,
            started_ms=self.now_ms,
            gate=gate,
        )
        rows = [self._row(other) for other in self.domain_by_host if other != host]
        own = self._row(host)._replace(incarnation=self.incarnation)
        self.virtual.post(host, HostStarted(own, tuple(rows)))

    def load(self, rate_per_s, from_ms, to_ms, weight_by_host=None):
        """Schedule requests at random times on hosts drawn by weight."""
        hosts = list(self.domain_by_host)
        weights = [(weight_by_host or {}).get(host, 1.0) for host in hosts]
        at_ms = from_ms
        while at_ms < to_ms:
            [host] = self.rng.choices(hosts, weights)
            self._at(at_ms, self._arrive, host)
            at_ms += self.rng.expovariate(rate_per_s / 1_000.0)
        return self

    def run(self, until_ms):
        self.virtual.run_until(until_ms)
        return self

    def served(self, from_ms=0.0, to_ms=math.inf):
        """Return the fraction of requests received between two times with an answer."""
        results = [result for at_ms, result in self.results if from_ms <= at_ms < to_ms]
        return sum(not isinstance(one, Exception) for one in results) / len(results)

    def limits_of(self, host):
        return self.virtual.engine_by_host[host].world.limits

    def tokens_held(self):
        """Return how many valid tokens all hosts hold."""
        return sum(
            row.stock.count(self.now_ms)
            for host in self.virtual.engine_by_host
            for _, row in self.limits_of(host).rows()
        )

    def catalog_of(self, host):
        return self.virtual.engine_by_host[host].world.catalog

    def post_to_all(self, event, but=None):
        for host in self.domain_by_host:
            if host != but:
                self.virtual.post(host, event)

    def apply(self, step, host):
        """Apply one step of a schedule to a host, if it can be applied."""
        engines = self.virtual.engine_by_host
        if step == "kill" and host in engines:
            self.virtual.remove_host(host)
            self.virtual.paused.discard(host)
        elif step == "start" and host not in engines:
            self.start(host)
        elif step == "freeze" and host in engines:
            self.virtual.paused.add(host)
        elif step == "wake" and host in self.virtual.paused:
            self.virtual.resume(host)
        elif step == "cut":
            self.links.group_by_host[host] = 1
        elif step == "heal":
            self.links.group_by_host.pop(host, None)
        elif step == "move":
            self.load(40.0, self.now_ms, self.now_ms + 2_000.0, {host: 50.0})

    def _row(self, host):
        domain = self.domain_by_host[host]
        number = sorted(self.domain_by_host).index(host) + 1
        return MemberRow(host, domain, REGIONS[domain], f"10.0.0.1:{number}")

    def _at(self, at_ms, work, *arguments):
        self.virtual.call_at(at_ms, lambda: work(*arguments))

    def _arrive(self, host):
        if host not in self.virtual.engine_by_host or host in self.virtual.paused:
            return
        self._number += 1
        request = make_request(f"r-{self._number}", self.now_ms, 1_200.0)
        run = RequestRun(
            request,
            self.route,
            services_of(self.route),
            self.planner_by_host[host],
            GreatestRecords(),
        )
        self._handle(host, run, run.start(self.now_ms))

    def _handle(self, host, run, actions):
        for action in actions:
            if isinstance(action, SendAttempt):
                self._send(host, run, action)
            elif isinstance(action, Conclude):
                received_ms = run.request.received_ms
                self.results.append((received_ms, action.result))
                self.longest_ms = max(self.longest_ms, self.now_ms - received_ms)
        due_ms = run.next_due_ms
        if due_ms is not None:
            self._at(max(due_ms, self.now_ms), self._tick, host, run)

    def _send(self, host, run, action):
        key = (id(run), action.attempt)
        observation = self.planner_by_host[host].observations.of(
            action.upstream.upstream
        )
        observation.started(key, self.now_ms)
        gate = self.gate_by_host[host]
        if gate.take(action.upstream, self.now_ms):
            self._write(host, run, action, key)
            return

        def on_decided(may_send):
            if may_send:
                self._write(host, run, action, key)
            else:
                self._end(host, run, action, key, AttemptOutcome(AttemptEnd.LIMITED))

        gate.wait(action.upstream, run.route.rank, on_decided)

    def _post(self, host, event):
        # As on a host, an event is handled in a later step, not in the caller's.
        self._at(self.now_ms, self.virtual.post, host, event)

    def _on_action(self, host, action):
        match action:
            case SendToPeer():
                self.messages += 1
            case Announce(event=TokensChanged() as tokens):
                self.gate_by_host[host].on_change(Incarnation(*tokens), self.now_ms)

    def _write(self, host, run, action, key):
        upstream = self.upstream_by_id[action.upstream.upstream]
        self.kinds[action.kind] += 1
        domain = self.domain_by_host[host]
        back_ms, outcome = upstream.serve(host, domain, self.now_ms)
        self._at(back_ms, self._end, host, run, action, key, outcome)

    def _end(self, host, run, action, key, outcome):
        engine = self.virtual.engine_by_host.get(host)
        if engine is None:
            return
        planner = self.planner_by_host[host]
        planner.notices.record(action.upstream, outcome, self.now_ms)
        self.gate_by_host[host].record(action.upstream, outcome, self.now_ms)
        observation = planner.observations.of(action.upstream.upstream)
        took_ms = observation.ended(key, outcome.end, self.now_ms)
        if outcome.answer is not None and took_ms is not None:
            planner.record_latency(run.route, action.upstream, took_ms)
        self._handle(host, run, run.ended(action.attempt, outcome, self.now_ms))

    def _tick(self, host, run):
        if run.next_due_ms is not None and run.next_due_ms <= self.now_ms:
            self._handle(host, run, run.tick(self.now_ms))
