"""Build virtual fleets of forwarding hosts that lose their links to upstreams."""

import itertools
import math
import random
from collections import Counter, defaultdict
from typing import NamedTuple

from burdockmill.forwarding.actions import Conclude, SendAttempt, WithdrawAttempt
from burdockmill.forwarding.crash_guard import CrashGuard
from burdockmill.forwarding.failures import promises_not_run
from burdockmill.forwarding.merge_policy import GreatestRecords
from burdockmill.forwarding.messages import AttemptEnd, AttemptOutcome
from burdockmill.forwarding.reach_monitor import OpenAttempt, ReachMonitor
from burdockmill.forwarding.request_run import RequestRun
from burdockmill.messages.actions import Announce
from burdockmill.messages.events import CatalogRead
from burdockmill.messages.reach import (
    LinksTested,
    LinkTestWanted,
    ReachChanged,
    ReachWanted,
)
from burdockmill.policies.reach_targets import evidence_targets, reach_targets
from burdockmill.policies.relay_admission import reason_to_decline
from burdockmill.relay.actions import RelayEnd, RelayOutcome, SendRelay, WithdrawRelay
from burdockmill.relay.handover_run import HandoverRun
from burdockmill.relay.relay_planner import RelayPlanner
from tests.builders_fleet import Links
from tests.builders_forwarding import (
    REGIONS,
    answered,
    make_delta,
    make_request,
    make_tables,
    record,
    replicas_of,
    services_of,
)
from tests.builders_limited_fleet import LimitedFleet
from tests.builders_limited_upstreams import FAR_PATH_MS, NEAR_PATH_MS

WORK_MS = 20.0
GRACE_MS = 800.0
CONNECT_TIMEOUT_MS = 300.0
LINK_TEST_MS = 150.0
LINK_TEST_INTERVAL_MS = 220.0
WITHDRAWN_LIMIT_MS = 250.0
CHECK_INTERVAL_MS = 40.0
# Each host keeps so many connections to an upstream, and opens more when it can.
KEPT_CONNECTIONS = 2
# The ways in which a host's links to all upstreams can be cut.
CUTS = ("hang", "reset", "refuse", "answers_lost")


class DomainLinks(Links):
    """Deliver messages within a failure domain sooner than between two."""

    def __init__(self, domain_by_host, **links):
        super().__init__(**links)
        self._domain_by_host = domain_by_host

    def delays_ms(self, rng, sender, receiver):
        domain = self._domain_by_host
        path_ms = NEAR_PATH_MS if domain[sender] == domain[receiver] else FAR_PATH_MS
        delays_ms = super().delays_ms(rng, sender, receiver)
        return tuple(path_ms + delay_ms for delay_ms in delays_ms)


class PlainUpstream:
    """Answer each request after a time, unless it is down."""

    def __init__(self, registration):
        self.registration = registration
        self.down = False


class Hop(NamedTuple):
    """Record that a request was handed over."""

    at_ms: float
    request: str
    entry: str
    to: str
    entry_deadline_ms: float
    deadline_ms: float
    is_second: bool


class CutFleet(LimitedFleet):
    """Run hosts whose links to all upstreams can be cut, each in its own way."""

    def __init__(
        self,
        route,
        per_domain=3,
        seed=1,
        replicas=replicas_of,
        kept_connections=KEPT_CONNECTIONS,
        work_ms=WORK_MS,
        **links,
    ):
        self.work_ms = work_ms
        # What told a client that its request has not run, by the request's id.
        self.refusal_by_request = {}
        self.monitor_by_host = {}
        self.relay_planner_by_host = {}
        self.cut_by_host = {}
        self.stopping = set()
        self.kept_connections = kept_connections
        self.kept = defaultdict(lambda: kept_connections)
        self.open_runs = defaultdict(dict)
        self.attempts = {}
        self.runs = Counter()
        self.connected_runs = Counter()
        self.hops = []
        self.outcomes = []
        self.relayed_in_flight = Counter()
        self.link_tests = 0
        self.attempts_sent = 0
        self._testing = set()
        self._checking = set()
        self._numbers = itertools.count()
        registrations = [one for name in services_of(route) for one in replicas(name)]
        upstreams = [PlainUpstream(one) for one in registrations]
        super().__init__(
            route, upstreams, per_domain, seed, **{"max_delay_ms": 1.0, **links}
        )
        self.run(3_000.0)

    def make_links(self, **links):
        return DomainLinks(self.domain_by_host, **links)

    def start(self, host):
        super().start(host)
        world = self.virtual.engine_by_host[host].world
        registrations = [one.registration for one in self.upstream_by_id.values()]
        tables = make_tables(1, [self.route])
        delta = make_delta(1, *registrations, is_whole=True)
        self.virtual.post(
            host, CatalogRead(delta._replace(tables=tables, tables_revision=1))
        )
        self.monitor_by_host[host] = ReachMonitor(
            world.reach,
            self.planner_by_host[host].observations,
            lambda: registrations,
            lambda decision, now_ms: None,
            lambda: self._on_failure(host),
            lambda: self._on_change(host),
        )
        self.planner_by_host[host].guard = CrashGuard(
            world.suspects,
            host,
            lambda: [row.host for row in world.member_by_host.values() if row.alive],
            lambda event: self._post(host, event),
        )
        self.relay_planner_by_host[host] = RelayPlanner(
            world.reach,
            world.peer_reach,
            self.registrations_by_service.__getitem__,
            lambda services: self._post(host, ReachWanted(services)),
            self.planner_by_host[host].budget,
            self.planner_by_host[host].eligibility,
            self.domain_by_host.__getitem__,
        )

    def cut(self, at_ms, hosts, how):
        """Cut hosts off from all upstreams from a time on; None as `how` heals them."""
        self._at(at_ms, self._cut, list(hosts), how)
        return self

    def end_upstreams(self, at_ms, ends, back_ms=math.inf):
        """End the upstreams for which `ends` is true, until a time."""

        def set_down(is_down):
            for upstream in self.upstream_by_id.values():
                if ends(upstream.registration):
                    upstream.down = is_down
                    if is_down:
                        for host in self.domain_by_host:
                            self.kept[host, upstream.registration.upstream] = 0
                        self._break(lambda key, one=upstream: key[2] == one)

        self._at(at_ms, set_down, True)
        if back_ms < math.inf:
            self._at(back_ms, set_down, False)
        return self

    def kill(self, at_ms, host):
        """End a host with all that it runs."""
        self._at(at_ms, self._kill, host)
        return self

    def stop(self, at_ms, host):
        """Stop a host: it takes nothing over, and answers all once its time is up."""

        def answer_all():
            for run in list(self.open_runs[host].values()):
                run.direct.answering.end_by(self.now_ms)
                self._handle(host, run, run.tick(self.now_ms))

        self._at(at_ms, self.stopping.add, host)
        self._at(at_ms + GRACE_MS, answer_all)
        return self

    def untrue_refusals(self):
        """Return the refusals as not run of requests that ran, before or after them."""
        ran = {name for name, _ in self.runs}
        return {
            name: refusal
            for name, refusal in self.refusal_by_request.items()
            if name in ran
        }

    def ask(self, rate_per_s, from_ms, to_ms, hosts=None):
        """Send requests to random hosts, first tries only."""
        hosts = list(hosts or self.domain_by_host)
        at_ms = from_ms
        while at_ms < to_ms:
            self._at(at_ms, self._arrive, self.rng.choice(hosts))
            at_ms += self.rng.expovariate(rate_per_s / 1_000.0)
        return self

    def served_at(self, hosts, from_ms=0.0, to_ms=math.inf):
        """Return the fraction of first tries at some hosts that got an answer."""
        results = [
            result
            for at_ms, host, result, _ in self.outcomes
            if host in hosts and from_ms <= at_ms < to_ms
        ]
        served = sum(not isinstance(one, Exception) for one in results)
        return served / max(1, len(results))

    def latencies_at(self, hosts, from_ms=0.0, to_ms=math.inf):
        """Return how long the answers at some hosts took, sorted."""
        return sorted(
            took_ms
            for at_ms, host, result, took_ms in self.outcomes
            if host in hosts
            and from_ms <= at_ms < to_ms
            and not isinstance(result, Exception)
        )

    def isolated_hosts(self):
        engines = self.virtual.engine_by_host
        return {host for host, one in engines.items() if one.world.reach.is_isolated}

    def _cut(self, hosts, how):
        for host in hosts:
            self.cut_by_host[host] = how
            if how == "reset":
                for name in self.upstream_by_id:
                    self.kept[host, name] = 0
                self._break(lambda key, host=host: key[0] == host)

    def _break(self, is_broken):
        """End the attempts in flight whose connection ended."""
        for key in [key for key in self.attempts if is_broken(key)]:
            outcome = AttemptOutcome(AttemptEnd.BROKEN, is_cut_off=True)
            self._finish(key, outcome)

    def _kill(self, host):
        self.virtual.remove_host(host)
        for key in [key for key in self.attempts if key[0] == host]:
            del self.attempts[key]
        for run in list(self.open_runs.pop(host, {}).values()):
            run.completed = True
            if run.on_reply is not None:
                lost = RelayOutcome(RelayEnd.LOST, detail="killed")
                run.on_reply(lost)

    def _arrive(self, host):
        if host not in self.virtual.engine_by_host or host in self.virtual.paused:
            return
        number = next(self._numbers)
        target = f"/overlap/{number}"
        request = make_request(f"r-{number}", self.now_ms, 1_200.0, target=target)
        self._begin(host, request, self.route, None)

    def _begin(self, host, request, route, on_reply):
        direct = RequestRun(
            request,
            route,
            services_of(route),
            self.planner_by_host[host],
            GreatestRecords(),
        )
        run = HandoverRun(direct, self.relay_planner_by_host[host])
        run.on_reply = on_reply
        run.relay_endings = {}
        self.open_runs[host][id(run)] = run
        self._handle(host, run, run.start(self.now_ms))
        return run

    def _handle(self, host, run, actions):
        for action in actions:
            match action:
                case SendAttempt():
                    self._send(host, run, action)
                case WithdrawAttempt():
                    self._withdraw(host, run, action.attempt)
                case SendRelay():
                    self._send_relay(host, run, action)
                case WithdrawRelay():
                    run.relay_endings[action.relay](
                        RelayOutcome(RelayEnd.LOST, detail="cancelled")
                    )
                case Conclude():
                    self._conclude(host, run, action.result)
        due_ms = run.next_due_ms
        if due_ms is not None:
            self._at(max(due_ms, self.now_ms), self._tick, host, run)

    def _conclude(self, host, run, result):
        self.open_runs[host].pop(id(run), None)
        request = run.direct.request
        if run.on_reply is not None:
            run.on_reply(RelayOutcome(RelayEnd.ANSWERED, result))
        else:
            took_ms = self.now_ms - request.received_ms
            self.outcomes.append((request.received_ms, host, result, took_ms))
            if promises_not_run(result):
                self.refusal_by_request[request.request_id] = result
        for key in [key for key in self.attempts if key[3] is run]:
            self._withdraw(host, run, key[4])

    # Attempts at upstreams.

    def _send(self, host, run, action):
        upstream = self.upstream_by_id[action.upstream.upstream]
        key = (host, action.upstream.upstream, upstream, run, action.attempt)
        self.attempts_sent += 1
        observations = self.planner_by_host[host].observations
        observations.of(upstream.registration.upstream).started(key, self.now_ms)
        self.attempts[key] = {"since_ms": self.now_ms, "written": False}
        self._start_checks(host)
        cut = self.cut_by_host.get(host)
        path_ms = self._path_ms(host, upstream)
        slot = (host, action.upstream.upstream)
        if self.kept[slot]:
            self.kept[slot] -= 1
            self.attempts[key] |= {"written": True, "slot": slot}
            if cut in ("hang", "reset"):
                return
            self._at(self.now_ms + path_ms, self._run_at, key)
        elif cut in ("hang", "answers_lost"):
            refused = AttemptOutcome(AttemptEnd.NOT_SENT)
            self._at(self.now_ms + CONNECT_TIMEOUT_MS, self._finish, key, refused)
        elif cut is not None or upstream.down:
            refused = AttemptOutcome(AttemptEnd.NOT_SENT, is_refused=True)
            self._at(self.now_ms + path_ms, self._finish, key, refused)
        else:
            self._at(self.now_ms + 2 * path_ms, self._connected, key, path_ms)

    def _connected(self, key, path_ms):
        if key in self.attempts:
            self.attempts[key] |= {"written": True, "slot": key[:2]}
            self._at(self.now_ms + path_ms, self._run_at, key)

    def _run_at(self, key):
        host, _, upstream, run, _ = key
        if upstream.down:
            self._finish(key, AttemptOutcome(AttemptEnd.BROKEN, is_cut_off=True))
            return
        name = run.direct.request.request_id.partition("/")[0]
        self.runs[name, upstream.registration.service] += 1
        if self.cut_by_host.get(host) is None:
            self.connected_runs[name, upstream.registration.service] += 1
        if self.cut_by_host.get(host) == "answers_lost":
            return
        stamp = f"{upstream.registration.upstream}/{name}"
        back_ms = self.now_ms + self.work_ms + self._path_ms(host, upstream)
        self._at(back_ms, self._answer, key, answered(record(1), stamp))

    def _answer(self, key, outcome):
        if self.cut_by_host.get(key[0]) in ("hang", "reset", "answers_lost"):
            return
        self._finish(key, outcome)

    def _withdraw(self, host, run, attempt):
        for key in [key for key in self.attempts if key[3:] == (run, attempt)]:
            if self.attempts[key]["written"]:
                silent = AttemptOutcome(AttemptEnd.SILENT, detail="cancelled")
                at_ms = self.now_ms + WITHDRAWN_LIMIT_MS
                self._at(at_ms, self._finish, key, silent)
            else:
                self._finish(key, AttemptOutcome(AttemptEnd.NOT_SENT))

    def _finish(self, key, outcome):
        attempt = self.attempts.pop(key, None)
        host, _, upstream, run, number = key
        if attempt is None or host not in self.virtual.engine_by_host:
            return
        is_kept = outcome.end in (AttemptEnd.ANSWERED, AttemptEnd.UPSTREAM_ERROR)
        if is_kept and self.kept[attempt["slot"]] < self.kept_connections:
            self.kept[attempt["slot"]] += 1
        if attempt["written"]:
            outcome = outcome._replace(sent_ms=attempt["since_ms"])
        registration = upstream.registration
        was_needed = not run.direct.is_complete(0) and not run.completed
        self.monitor_by_host[host].ended(
            OpenAttempt(registration, attempt["since_ms"]),
            outcome,
            self.now_ms,
            was_needed,
        )
        planner = self.planner_by_host[host]
        observation = planner.observations.of(registration.upstream)
        took_ms = observation.ended(key, outcome.end, self.now_ms)
        if outcome.answer is not None and took_ms is not None:
            planner.record_latency(run.direct.route, registration, took_ms)
        self._handle(host, run, run.ended(number, outcome, self.now_ms))

    # What a host learns of its links.

    def _start_checks(self, host):
        if host not in self._checking:
            self._checking.add(host)
            self._at(self.now_ms + CHECK_INTERVAL_MS, self._check, host)

    def _check(self, host):
        self._checking.discard(host)
        if host not in self.virtual.engine_by_host:
            return
        open_attempts = [
            OpenAttempt(key[2].registration, one["since_ms"])
            for key, one in self.attempts.items()
            if key[0] == host and not key[3].completed
        ]
        if open_attempts:
            self.monitor_by_host[host].check(open_attempts, self.now_ms)
            self._start_checks(host)

    def _on_failure(self, host):
        if host not in self._testing:
            self._testing.add(host)
            self._at(self.now_ms, self._test_links, host)

    def _test_links(self, host):
        engine = self.virtual.engine_by_host.get(host)
        self._testing.discard(host)
        if engine is None or host in self.virtual.paused:
            return
        registrations = [one.registration for one in self.upstream_by_id.values()]
        reach = engine.world.reach
        targets = reach_targets(
            reach,
            registrations,
            reach.failing_services(registrations),
            self.domain_by_host[host],
            random.Random(self.rng.getrandbits(32)),
        )
        self._test(host, targets)
        if targets:
            self._testing.add(host)
            self._at(self.now_ms + LINK_TEST_INTERVAL_MS, self._test_links, host)

    def _test(self, host, targets):
        for target in targets:
            self.link_tests += 1
            is_cut = self.cut_by_host.get(host) is not None
            is_down = self.upstream_by_id[target.upstream].down
            took_ms = LINK_TEST_MS if is_cut else 3 * NEAR_PATH_MS
            self._at(
                self.now_ms + took_ms,
                self._tested,
                host,
                OpenAttempt(target, self.now_ms),
                not (is_cut or is_down),
            )

    def _test_once(self, host, services):
        registrations = [one.registration for one in self.upstream_by_id.values()]
        domain = self.domain_by_host[host]
        self._test(host, evidence_targets(registrations, services, domain, self.rng))
        self._at(self.now_ms + LINK_TEST_MS, self.virtual.post, host, LinksTested())

    def _tested(self, host, attempt, is_reached):
        if host in self.virtual.engine_by_host:
            monitor = self.monitor_by_host[host]
            if is_reached:
                monitor.heard(attempt.upstream, self.now_ms)
            else:
                monitor.unconnected(attempt, self.now_ms)

    def _on_change(self, host):
        if self.virtual.engine_by_host[host].world.reach.is_isolated:
            self._post(host, ReachWanted())
        else:
            self.planner_by_host[host].observations.end_outages()
        self._at(self.now_ms, self._reconsider, host)

    def _reconsider(self, host):
        for run in list(self.open_runs[host].values()):
            self._handle(host, run, run.reconsider(self.now_ms))

    def _on_action(self, host, action):
        super()._on_action(host, action)
        match action:
            case Announce(event=ReachChanged()):
                self._at(self.now_ms, self._reconsider, host)
            case Announce(event=LinkTestWanted(services=services)):
                self._at(self.now_ms, self._test_once, host, services)

    # Requests that are handed over.

    def _send_relay(self, host, run, action):
        planner = self.relay_planner_by_host[host]
        planner.in_flight_by_host[action.host] += 1
        request = run.direct.request
        number = action.relay

        def end(outcome):
            if run.relay_endings.pop(number, None) is None:
                return
            planner.in_flight_by_host[action.host] -= 1
            if host in self.virtual.engine_by_host:
                ended = run.relay_ended(number, outcome, self.now_ms)
                self._handle(host, run, ended)

        run.relay_endings[number] = end
        path_ms = self._peer_path_ms(host, action.host)
        remaining_ms = action.deadline_ms - self.now_ms - path_ms
        hop = Hop(
            self.now_ms,
            request.request_id,
            host,
            action.host,
            request.deadline_ms,
            self.now_ms + path_ms + remaining_ms,
            bool(request.entry),
        )
        self.hops.append(hop)
        self._at(
            self.now_ms + path_ms, self._receive_relay, host, run, action, path_ms, end
        )

    def _receive_relay(self, entry, run, action, path_ms, end):
        host = action.host
        engine = self.virtual.engine_by_host.get(host)
        if engine is None:
            refused = RelayOutcome(RelayEnd.NOT_SENT)
            self._at(self.now_ms + path_ms, end, refused)
            return
        if action.relay not in run.relay_endings:
            return
        run.relay_written(action.relay)
        if host in self.virtual.paused:
            self._at(
                self.now_ms + CHECK_INTERVAL_MS,
                self._receive_relay,
                entry,
                run,
                action,
                path_ms,
                end,
            )
            return
        request = run.direct.request
        in_flight = self.relayed_in_flight[host]
        reason = reason_to_decline(
            engine.world, host in self.stopping, 1, self.route.rank, in_flight
        )
        if reason:
            declined = RelayOutcome(RelayEnd.DECLINED, detail=reason)
            self._at(self.now_ms + path_ms, end, declined)
            return
        self.relayed_in_flight[host] += 1

        def reply(outcome):
            self.relayed_in_flight[host] -= 1
            self._at(self.now_ms + path_ms, end, outcome)

        relayed = request._replace(
            received_ms=self.now_ms,
            deadline_ms=action.deadline_ms - path_ms,
            spent_ms=self.now_ms - request.received_ms + 2 * path_ms,
            entry=entry,
            is_counted=action.is_counted,
        )
        route = self.route._replace(attempts_limit=action.attempts_limit)
        self._begin(host, relayed, route, reply)

    def _path_ms(self, host, upstream):
        is_near = (
            REGIONS[self.domain_by_host[host]] == REGIONS[upstream.registration.domain]
        )
        return NEAR_PATH_MS if is_near else FAR_PATH_MS

    def _peer_path_ms(self, host, other):
        is_near = self.domain_by_host[host] == self.domain_by_host[other]
        return NEAR_PATH_MS if is_near else FAR_PATH_MS
