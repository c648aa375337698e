"""Check what failures to reach upstreams show, and which links are tested."""

import random

import pytest

from burdockmill.forwarding.messages import AttemptEnd, AttemptOutcome
from burdockmill.forwarding.observations import Observations
from burdockmill.forwarding.reach_monitor import (
    MIN_SILENT_MS,
    UNKNOWN_SILENT_MS,
    OpenAttempt,
    ReachMonitor,
)
from burdockmill.policies.isolation import MIN_UNHEARD_MS, is_isolated
from burdockmill.policies.reach_targets import evidence_targets, reach_targets
from burdockmill.tables.upstream_reach import (
    REFUSING_MS,
    FailedReach,
    ReachFailure,
    UpstreamReach,
)
from tests.builders_forwarding import DOMAINS, make_registration, replicas_of

SERVICES = ("shard-0", "shard-1", "shard-2")
USABLE = [one for name in SERVICES for one in replicas_of(name)]
LATER_MS = MIN_UNHEARD_MS + 1.0


def failed(service, domain, since_ms=0.0):
    return FailedReach(domain, service, ReachFailure.UNCONNECTED, since_ms)


def everywhere(services=SERVICES, domains=DOMAINS):
    return [failed(service, domain) for service in services for domain in domains]


class Monitored:
    """Monitor a host's attempts, and record what was reported."""

    def __init__(self):
        self.reach = UpstreamReach("waw-a")
        self.observations = Observations()
        self.logged = []
        self.failures = self.changes = 0
        self.monitor = ReachMonitor(
            self.reach,
            self.observations,
            lambda: USABLE,
            lambda decision, now_ms: self.logged.append(decision.choice),
            self.on_failure,
            self.on_change,
        )

    def on_failure(self):
        self.failures += 1

    def on_change(self):
        self.changes += 1

    def ended(self, upstream, end, now_ms, since_ms=0.0, was_needed=True, **outcome):
        self.monitor.ended(
            OpenAttempt(upstream, since_ms),
            AttemptOutcome(end, **outcome),
            now_ms,
            was_needed,
        )

    def isolate(self, now_ms):
        for one in USABLE:
            self.ended(one, AttemptEnd.NOT_SENT, now_ms)


def test_failures_everywhere_with_nothing_heard_for_a_while_are_an_isolation():
    assert is_isolated("waw-a", everywhere(), USABLE, LATER_MS)


def test_failures_at_one_moment_are_no_isolation():
    assert not is_isolated("waw-a", everywhere(), USABLE, MIN_UNHEARD_MS - 1.0)
    # Upstreams that still run reply within this time.
    assert not is_isolated("waw-a", everywhere(), USABLE, 60.0)


@pytest.mark.parametrize("domains", [DOMAINS[:1], DOMAINS[:2]])
def test_upstreams_of_some_failure_domains_that_fail_are_no_isolation(domains):
    assert not is_isolated("waw-a", everywhere(domains=domains), USABLE, LATER_MS)


def test_upstreams_of_one_service_that_fail_are_no_isolation():
    assert not is_isolated("waw-a", everywhere(SERVICES[:1]), USABLE, LATER_MS)


def test_upstreams_of_other_failure_domains_that_fail_are_no_isolation():
    assert not is_isolated(
        "waw-a", everywhere(domains=["krk-a", "gda-a"]), USABLE, LATER_MS
    )


def test_a_host_with_one_upstream_is_isolated_when_that_fails():
    usable = [make_registration()]
    assert is_isolated("waw-a", [failed("shard-0", "waw-a")], usable, LATER_MS)
    assert not is_isolated("waw-a", [], [], LATER_MS)


def test_a_host_learns_of_its_isolation_from_its_attempts_and_logs_it():
    host = Monitored()
    host.isolate(LATER_MS)
    assert host.reach.is_isolated
    assert (host.logged, host.changes) == (["isolated"], 1)
    assert host.failures == len(USABLE)


def test_any_reply_ends_an_isolation_and_what_failed_meanwhile_is_forgotten():
    host = Monitored()
    host.isolate(LATER_MS)
    host.ended(USABLE[0], AttemptEnd.UPSTREAM_ERROR, 300.0)
    assert not host.reach.is_isolated
    assert not host.reach.has_failures
    assert host.logged == ["isolated", "connected"]


def test_replies_in_between_keep_failures_from_adding_up():
    host = Monitored()
    for number, one in enumerate(USABLE[1:]):
        now_ms = 200.0 * (number + 1)
        host.ended(one, AttemptEnd.NOT_SENT, now_ms, since_ms=now_ms - 150.0)
        host.ended(USABLE[0], AttemptEnd.ANSWERED, now_ms + 1.0)
    assert not host.reach.is_isolated


def test_an_attempt_that_began_before_the_last_reply_is_no_evidence():
    host = Monitored()
    host.ended(USABLE[0], AttemptEnd.ANSWERED, 50.0)
    host.isolate(LATER_MS + 50.0)
    assert not host.reach.is_isolated


def test_withdrawn_attempts_are_no_evidence():
    host = Monitored()
    for one in USABLE:
        host.ended(one, AttemptEnd.NOT_SENT, LATER_MS, was_needed=False)
    assert not host.reach.is_isolated


def test_a_reply_of_another_upstream_at_the_address_shows_the_link_alone():
    host = Monitored()
    host.isolate(LATER_MS)
    host.ended(USABLE[0], AttemptEnd.WRONG_INSTANCE, 300.0)
    assert not host.reach.is_isolated
    assert host.reach.heard_of_ms(USABLE[0].upstream) < 0.0


@pytest.mark.parametrize(
    ("latency_ms", "limit_ms"), [(None, UNKNOWN_SILENT_MS), (5.0, MIN_SILENT_MS)]
)
def test_an_attempt_is_silent_after_a_time_that_fits_its_upstream(latency_ms, limit_ms):
    host = Monitored()
    for one in USABLE:
        host.observations.of(one.upstream).latency_ms = latency_ms
    attempts = [OpenAttempt(one, 0.0) for one in USABLE]
    host.monitor.check(attempts, limit_ms - 1.0)
    assert not host.failures
    host.monitor.check(attempts, limit_ms)
    assert host.failures == len(USABLE)


def test_a_service_is_out_of_reach_when_all_its_upstreams_accept_no_connection():
    host = Monitored()
    first, second, third = replicas_of("shard-0")
    for one in (first, second):
        host.ended(one, AttemptEnd.NOT_SENT, 10.0)
    assert not host.reach.is_service_failing([first, second, third])
    host.ended(third, AttemptEnd.BROKEN, 10.0, is_cut_off=True)
    assert not host.reach.is_service_failing([first, second, third])
    host.ended(third, AttemptEnd.NOT_SENT, 10.0)
    assert host.reach.is_service_failing([first, second, third])
    assert host.reach.failing_services(USABLE) == {"shard-0"}
    assert host.reach.failing_since_ms(["shard-0"]) == 0.0
    host.reach.forget(second.upstream)
    assert not host.reach.is_service_failing([first, second, third])


def test_an_upstream_that_refuses_connections_is_noted_beside_its_answers():
    host = Monitored()
    first, *_ = replicas_of("shard-0")
    host.ended(first, AttemptEnd.NOT_SENT, 10.0, is_refused=True)
    host.ended(first, AttemptEnd.ANSWERED, 20.0)
    assert not host.reach.is_failing(first.upstream)
    assert host.reach.refusing_services(USABLE, 30.0) == {"shard-0": 10.0}
    host.ended(first, AttemptEnd.NOT_SENT, 500.0, since_ms=490.0, is_refused=True)
    assert host.reach.refusing_services(USABLE, 1_400.0) == {"shard-0": 10.0}
    assert not host.reach.refusing_services(USABLE, 501.0 + REFUSING_MS)


def test_connections_that_are_late_are_not_refused():
    host = Monitored()
    first, *_ = replicas_of("shard-0")
    host.ended(first, AttemptEnd.NOT_SENT, 10.0)
    assert not host.reach.is_refusing(first.upstream, 10.0)


def targets_of(host, failing=()):
    return reach_targets(host.reach, USABLE, failing, "waw-a", random.Random(1))


def test_no_link_is_tested_while_upstreams_are_heard():
    host = Monitored()
    host.ended(USABLE[0], AttemptEnd.ANSWERED, 10.0)
    assert targets_of(host) == []


def test_failures_are_followed_by_tests_in_the_other_failure_domains():
    host = Monitored()
    for service in SERVICES[:2]:
        host.ended(replicas_of(service)[0], AttemptEnd.NOT_SENT, 10.0)
    assert sorted(one.domain for one in targets_of(host)) == ["gda-a", "krk-a"]


def test_an_isolated_host_tests_one_link_at_a_time():
    host = Monitored()
    host.isolate(LATER_MS)
    assert len(targets_of(host)) == 1


def test_the_links_to_a_service_out_of_reach_are_tested():
    [target] = targets_of(Monitored(), failing=["shard-1"])
    assert target.service == "shard-1"


def test_evidence_comes_from_each_service_asked_for_or_from_each_domain():
    rng = random.Random(1)
    asked = evidence_targets(USABLE, ["shard-2", "shard-0"], "waw-a", rng)
    assert [one.service for one in asked] == ["shard-2", "shard-0"]
    any_of = evidence_targets(USABLE, [], "waw-a", rng)
    assert any_of[0].domain == "waw-a"
    assert {one.domain for one in any_of} == set(DOMAINS)


def test_other_hosts_must_have_heard_from_upstreams_since_the_links_were_cut():
    # Fails where a host that last heard from upstreams before they all ended is taken
    # for one that reaches them, and gets requests in vain.
    monitored = Monitored()
    sent_ms, cut_ms = 100.0, 140.0
    for upstream in USABLE:
        attempt = OpenAttempt(upstream, sent_ms)
        broken = AttemptOutcome(AttemptEnd.BROKEN, is_cut_off=True)
        monitored.monitor.ended(attempt, broken, cut_ms, was_needed=True)
    monitored.monitor.check([], sent_ms + MIN_UNHEARD_MS)
    assert monitored.reach.is_isolated
    assert monitored.reach.failing_since_ms(()) == cut_ms
