"""Build fleets for tests of actions: rules, fake upstreams and links."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

import msgspec

from burdockmill.errors import Ran
from burdockmill.messages.events import (
    HealthRead,
    RequestReceived,
    RulesAccepted,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamRefused,
)
from burdockmill.messages.peer import NO_BODY, Reason
from burdockmill.placement import rendezvous
from burdockmill.rules.model import (
    RequestKind,
    RuleSet,
    ServiceRule,
    ShardRule,
    UpstreamRule,
)
from burdockmill.slots import FULL_RANGE
from burdockmill.standins.virtual_fleet import LinkModel, UpstreamModel, VirtualFleet
from burdockmill.tables.rows import MemberRow

DOMAINS = ("waw-a", "krk-a")
HOSTS = {"w1": "waw-a", "w2": "waw-a", "k1": "krk-a"}
UPSTREAMS = {"u1": "waw-a", "u2": "krk-a"}
SERVICE = "bookings"
SETTLE_MS = 50.0
OWNER = rendezvous(["w1", "w2"], "u1")
ENTRY = "w1" if OWNER == "w2" else "w2"


FAILURES = {
    "reset_after_run": (True, Ran.UNKNOWN),
    "reset_before_run": (False, Ran.UNKNOWN),
    "no_connection": (False, Ran.NO),
}


class LoggedAction(NamedTuple):
    """Log one action that reached an upstream."""

    at_ms: float
    host: str
    request_id: str
    attempt: int
    upstream: str
    ran: bool


class LoggingUpstreams(UpstreamModel):
    """Fake all upstreams; run actions and log each one."""

    def __init__(self, took_ms=8.0, capacity=2):
        self.took_ms = took_ms
        self.capacity = capacity
        self.log = []
        self.behaviour = "answer"
        self._busy = Counter()

    @property
    def ran(self):
        return [entry for entry in self.log if entry.ran]

    def send(self, fleet, host, send):
        now_ms = fleet.clock.now_ms()
        if self.behaviour in FAILURES:
            self._fail(fleet, host, send, *FAILURES[self.behaviour])
            return
        runs = self._busy[send.upstream] < self.capacity and self.behaviour != "refuse"
        attempt_id = (now_ms, host, send.request_id, send.attempt, send.upstream)
        self.log.append(LoggedAction(*attempt_id, runs))
        if not runs:
            refused = UpstreamRefused(
                send.request_id,
                send.attempt,
                send.upstream,
                Reason.SHED,
                20,
                (7,),
                False,
            )
            fleet.call_at(now_ms + 1.0, lambda: fleet.post(host, refused))
            return
        self._busy[send.upstream] += 1
        answered = UpstreamAnswered(
            request_id=send.request_id,
            attempt=send.attempt,
            upstream=send.upstream,
            snapshot=send.snapshot,
            covered=(),
            total=0,
            hits=[],
            body=msgspec.Raw(msgspec.json.encode(f"{send.request_id} ran")),
            found=True,
            snapshots=(7,),
            draining=False,
        )
        failed = UpstreamFailed(
            send.request_id, send.attempt, send.upstream, Reason.DEADLINE, Ran.UNKNOWN
        )
        answers_in_time = (
            self.behaviour == "answer" and self.took_ms < send.remaining_ms
        )
        event, after_ms = (
            (answered, self.took_ms) if answers_in_time else (failed, send.remaining_ms)
        )
        fleet.call_at(
            now_ms + self.took_ms, lambda: self._busy.subtract([send.upstream])
        )
        fleet.call_at(now_ms + after_ms, lambda: fleet.post(host, event))

    def _fail(self, fleet, host, send, runs, ran):
        now_ms = fleet.clock.now_ms()
        attempt_id = (send.request_id, send.attempt, send.upstream)
        self.log.append(LoggedAction(now_ms, host, *attempt_id, runs))
        failed = UpstreamFailed(*attempt_id, Reason.BROKEN, ran)
        fleet.call_at(now_ms + 2.0, lambda: fleet.post(host, failed))

    def cancel(self, fleet, host, gone):
        raise AssertionError("a written action is never cancelled at its upstream")

    def read_health(self, fleet, host, read):
        fleet.post(host, HealthRead(read.upstream, "1", (7,), False))


class ScriptedLink(LinkModel):
    """Delay or drop messages by a function of their sender and receiver."""

    def __init__(self, delay_ms=0.5):
        self.delay_ms = delay_ms
        self.choose = None

    def delays_ms(self, rng, sender, receiver):
        if self.choose is None:
            return (self.delay_ms,)
        return self.choose(rng, sender, receiver)


def action_rules(revision=1, slots=2, replicas=tuple(UPSTREAMS)):
    upstreams = {
        name: UpstreamRule(name, "Tests", domain, "10.0.0.1:80", slots, 25)
        for name, domain in UPSTREAMS.items()
    }
    shard = ShardRule("all", "Tests", SERVICE, FULL_RANGE, replicas)
    return RuleSet(
        revision=revision,
        service_by_name={SERVICE: ServiceRule(SERVICE, "Tests")},
        upstream_by_id=upstreams,
        shards_by_service={SERVICE: (shard,)},
        caller_by_digest={},
        allow_by_caller_service={},
        leaving_by_upstream={},
    )


def start_host(fleet, host, replicas=tuple(UPSTREAMS)):
    """Add a host with all members recorded; a host that runs is restarted."""
    engine = fleet.add_host(host, HOSTS[host])
    for name, domain in HOSTS.items():
        engine.world.member_by_host[name] = MemberRow(name, domain, "pl", "10.0.0.2:1")
    engine.world.members_version += 1
    fleet.post(host, RulesAccepted(action_rules(replicas=replicas), "tests"))


def make_fleet(upstreams=None, link=None, seed=1, replicas=tuple(UPSTREAMS)):
    """Return a fleet whose hosts have recorded the snapshots of all upstreams."""
    fleet = VirtualFleet(seed, upstreams or LoggingUpstreams(), link or ScriptedLink())
    for host in HOSTS:
        start_host(fleet, host, replicas)
    fleet.run_until(SETTLE_MS)
    return fleet


def request_action(fleet, host, request_id, deadline_in_ms=500.0, **changes):
    """Send a request for an action to a host now."""
    asked = RequestReceived(
        request_id=request_id,
        kind=RequestKind.ACTION,
        service=SERVICE,
        caller="club",
        deadline_ms=fleet.now_ms(host) + deadline_in_ms,
        limit=1,
        key="slope-4",
        body=NO_BODY,
    )
    fleet.post(host, asked._replace(**changes))


def answers_of(fleet, request_id):
    """Return the answers to a request."""
    return [given for given in fleet.answers if given.answer.request_id == request_id]


def ran_of(fleet, request_id):
    """Return whether a request ran, according to its only answer."""
    (given,) = answers_of(fleet, request_id)
    return given.answer.result.ran


def issue_ticket(fleet, host, **changes):
    """Return a new ticket issued by a host."""
    name = f"ticket-{len(fleet.answers)}"
    request_action(fleet, host, name, wants_ticket=True, **changes)
    return answers_of(fleet, name)[0].answer.result.ticket


def wait(fleet, by_ms):
    """Advance the virtual time by `by_ms` milliseconds."""
    fleet.run_until(fleet.clock.now_ms() + by_ms)
