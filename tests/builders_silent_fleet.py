"""Build virtual fleets whose upstreams fall silent instead of ending connections."""

from burdockmill.forwarding.actions import Conclude, WithdrawAttempt
from burdockmill.forwarding.messages import AttemptEnd, AttemptOutcome, LinkState
from burdockmill.forwarding.reach_monitor import OpenAttempt, ReachMonitor
from burdockmill.forwarding.silence_monitor import SilenceMonitor
from burdockmill.forwarding.upstream_notices import Incarnation
from tests.builders_crash_fleet import WORK_MS, CrashFleet
from tests.builders_forwarding import REGIONS, answered, record, replicas_of
from tests.builders_limited_upstreams import FAR_PATH_MS, NEAR_PATH_MS

CHECK_INTERVAL_MS = 40.0
CONNECT_TIMEOUT_MS = 300.0
WITHDRAWN_LIMIT_MS = 250.0
REGISTRATION_MS = 30.0
LINK_TEST_INTERVAL_MS = 220.0


class SilentFleet(CrashFleet):
    """Let upstreams lose power under the targets in `crashing`: nothing replies.

    A host keeps connections to the upstreams that answered it, and writes to them
    without noticing that nothing is there. Hosts in `cut` reach no upstream. Upstreams
    of another service are there to show that a host reaches any.
    """

    def __init__(self, route, per_domain=3, seed=1, work_ms=WORK_MS, **options):
        self.work_ms = work_ms
        self.monitor_by_host = {}
        self.silence_by_host = {}
        self.open_by_key = {}
        self.kept = set()
        self.cut = set()
        self.bystanders = replicas_of("bystander")
        self.link_tests = 0
        self._checking = set()
        super().__init__(route, per_domain, seed, **options)

    def start(self, host):
        super().start(host)
        world = self.virtual.engine_by_host[host].world
        self.monitor_by_host[host] = monitor = ReachMonitor(
            world.reach,
            self.planner_by_host[host].observations,
            lambda: [*self.bystanders, *(one.registration for one in self.upstreams())],
            lambda decision, now_ms: None,
            lambda: None,
            lambda: self._at(self.now_ms + LINK_TEST_INTERVAL_MS, self._test_any, host),
        )
        self.silence_by_host[host] = SilenceMonitor(
            monitor,
            self.guard_by_host[host],
            lambda upstream: self._test(host, upstream),
            lambda *fallen: self._fell_silent(host, *fallen),
        )

    def crash(self, upstream):
        if not upstream.down:
            upstream.down = True
            self._at(self.now_ms + self.back_after_ms, self._bring_back, upstream)

    back_after_ms = 3_000.0

    def freeze(self, at_ms, upstreams, for_ms):
        """Let upstreams stand still for a time, and then go on."""

        def set_frozen(is_frozen):
            for upstream in upstreams:
                upstream.down = is_frozen
                if not is_frozen:
                    self._go_on(upstream)

        self._at(at_ms, set_frozen, True)
        self._at(at_ms + for_ms, set_frozen, False)
        return self

    def partition(self, at_ms, hosts, for_ms):
        """Cut the links of hosts to all upstreams; nothing is reset."""
        self._at(at_ms, self.cut.update, set(hosts))
        self._at(at_ms + for_ms, self.cut.difference_update, set(hosts))
        return self

    def upstreams(self):
        return sorted(set(self.upstream_by_id.values()), key=lambda one: one.name)

    def _go_on(self, upstream):
        for key, one in list(self.open_by_key.items()):
            if one["action"].upstream == upstream.registration and one["has_arrived"]:
                self._at(self.now_ms + self.work_ms, self._answer, key)

    def _handle(self, host, run, actions):
        super()._handle(host, run, actions)
        for action in actions:
            if isinstance(action, WithdrawAttempt):
                self._withdraw((id(run), action.attempt))
            elif isinstance(action, Conclude):
                for key in [key for key in self.open_by_key if key[0] == id(run)]:
                    self._withdraw(key)

    def _withdraw(self, key):
        if key in self.open_by_key:
            wait_ms = WITHDRAWN_LIMIT_MS if self.open_by_key[key]["written"] else 0.0
            silent = AttemptOutcome(AttemptEnd.SILENT, detail="cancelled")
            self._at(self.now_ms + wait_ms, self._finish, key, silent)

    def _path_ms(self, host, upstream):
        domain = upstream.registration.domain
        is_near = REGIONS[self.domain_by_host[host]] == REGIONS[domain]
        return NEAR_PATH_MS if is_near else FAR_PATH_MS

    def _reaches(self, host, upstream, registration):
        is_there = upstream.registration == registration and not upstream.down
        return is_there and host not in self.cut

    def _write(self, host, run, action, key):
        upstream = self.upstream_by_id[action.upstream.upstream]
        path_ms = self._path_ms(host, upstream)
        slot = (host, Incarnation.of(action.upstream))
        is_kept = slot in self.kept and not action.needs_new_connection
        self.open_by_key[key] = {
            "host": host,
            "run": run,
            "action": action,
            "since_ms": self.now_ms,
            "written": is_kept,
            "has_arrived": False,
        }
        self._start_checks(host)
        if is_kept:
            self._at(self.now_ms + path_ms, self._arrive_at, key)
        elif self._reaches(host, upstream, action.upstream):
            self._at(self.now_ms + 2 * path_ms, self._connected, key)
        else:
            unsent = AttemptOutcome(AttemptEnd.NOT_SENT)
            self._at(self.now_ms + CONNECT_TIMEOUT_MS, self._finish, key, unsent)

    def _connected(self, key):
        one = self.open_by_key.get(key)
        if one is not None:
            one["written"] = True
            upstream = self.upstream_by_id[one["action"].upstream.upstream]
            path_ms = self._path_ms(one["host"], upstream)
            self._at(self.now_ms + path_ms, self._arrive_at, key)

    def _arrive_at(self, key):
        one = self.open_by_key.get(key)
        if one is None:
            return
        action, target = one["action"], one["run"].request.target
        upstream = self.upstream_by_id[action.upstream.upstream]
        if not self._reaches(one["host"], upstream, action.upstream):
            one["has_arrived"] = upstream.registration == action.upstream
            return
        one["has_arrived"] = True
        services = self.crashing_services
        is_crash = services is None or action.upstream.service in services
        if target in self.crashing and is_crash:
            self.arrivals.append((self.now_ms, target, one["host"]))
            self._at(self.now_ms + WORK_MS, self._lose_power, upstream)
        else:
            self._at(self.now_ms + self.work_ms, self._answer, key)

    def _lose_power(self, upstream):
        if not upstream.down:
            self.crashes_ms.append(self.now_ms)
            self.crash(upstream)

    def _answer(self, key):
        one = self.open_by_key.get(key)
        if one is None:
            return
        host, action = one["host"], one["action"]
        upstream = self.upstream_by_id[action.upstream.upstream]
        if self._reaches(host, upstream, action.upstream):
            stamp = f"{action.upstream.upstream}/{one['run'].request.request_id}"
            path_ms = self._path_ms(host, upstream)
            outcome = answered(record(1), stamp)
            self._at(self.now_ms + path_ms, self._finish, key, outcome)

    def _finish(self, key, outcome):
        one = self.open_by_key.pop(key, None)
        if one is None or one["host"] not in self.virtual.engine_by_host:
            return
        host, run, action = one["host"], one["run"], one["action"]
        if outcome.end is AttemptEnd.SILENT and not one["written"]:
            outcome = AttemptOutcome(AttemptEnd.NOT_SENT)
        if one["written"]:
            outcome = outcome._replace(sent_ms=one["since_ms"])
        attempt = OpenAttempt(action.upstream, one["since_ms"], one["written"])
        was_needed = not run.is_complete(action.part)
        monitor = self.monitor_by_host[host]
        monitor.ended(attempt, outcome, self.now_ms, was_needed)
        if outcome.answer is not None:
            self.kept.add((host, Incarnation.of(action.upstream)))
        if outcome.end is AttemptEnd.SILENT:
            self.silence_by_host[host].keep(
                run.parts[action.part], action.attempt, run.suspicion, self.now_ms
            )
        self._end(host, run, action, key, outcome)

    # What a host learns from silence.

    def _start_checks(self, host):
        if host not in self._checking:
            self._checking.add(host)
            self._at(self.now_ms + CHECK_INTERVAL_MS, self._check, host)

    def _check(self, host):
        self._checking.discard(host)
        if host not in self.virtual.engine_by_host:
            return
        attempts = [
            OpenAttempt(one["action"].upstream, one["since_ms"], one["written"])
            for one in self.open_by_key.values()
            if one["host"] == host and not one["run"].completed
        ]
        silence = self.silence_by_host[host]
        if attempts or silence.is_testing(self.now_ms):
            self.monitor_by_host[host].check(attempts, self.now_ms)
            silence.check(attempts, self.now_ms)
            self._start_checks(host)

    def _test_any(self, host):
        """Test the links of an isolated host until an upstream replies."""
        engine = self.virtual.engine_by_host.get(host)
        if engine is None or not engine.world.reach.is_isolated:
            return
        if host in self.cut:
            self._at(self.now_ms + LINK_TEST_INTERVAL_MS, self._test_any, host)
        else:
            self.monitor_by_host[host].heard(self.bystanders[0], self.now_ms)

    def _test(self, host, registration):
        self.link_tests += 1
        upstream = self.upstream_by_id[registration.upstream]
        began_ms = self.now_ms
        # A restarted upstream listens at the same address.
        if not upstream.down and host not in self.cut:
            took_ms, state = 2 * self._path_ms(host, upstream), LinkState.ACCEPTED
        else:
            took_ms, state = CONNECT_TIMEOUT_MS, LinkState.SILENT

        def end():
            if host not in self.virtual.engine_by_host:
                return
            monitor = self.monitor_by_host[host]
            if state is LinkState.ACCEPTED:
                monitor.heard(registration, self.now_ms)
            elif monitor.reach.heard_ms <= began_ms and host not in self.cut:
                monitor.heard(self.bystanders[0], self.now_ms)
            self.silence_by_host[host].tested(
                registration, began_ms, state, self.now_ms
            )

        self._at(self.now_ms + took_ms, end)

    def _bring_back(self, upstream):
        ended = Incarnation.of(upstream.registration)
        super()._bring_back(upstream)
        for host in self.virtual.engine_by_host:
            silence = self.silence_by_host[host]
            self._at(self.now_ms + REGISTRATION_MS, self._restarted, silence, ended)

    def _restarted(self, silence, ended):
        silence.restarted(*ended, self.now_ms)

    def _fell_silent(self, host, incarnation, since_ms, now_ms):
        keys = [key for key, one in self.open_by_key.items() if one["host"] == host]
        runs = {key[0]: self.open_by_key[key]["run"] for key in keys}
        for run in runs.values():
            if not run.completed:
                self._blame(host, run, incarnation, since_ms, now_ms)

    def _blame(self, host, run, incarnation, since_ms, now_ms):
        for part in run.parts:
            for row in part.unanswered_at(incarnation, since_ms):
                one = self.open_by_key.get((id(run), row.number))
                if row.outcome is not None or (one and one["written"]):
                    run.suspicion.fell_silent(row, part.service, now_ms)
        if run.suspicion.has_crashes and (run.completed or run.suspicion.is_urgent):
            self._share(host, run)

    def _share(self, host, run):
        if not self.monitor_by_host[host].reach.is_isolated:
            super()._share(host, run)
