"""Replay loads on fleets whose upstreams name the rate that they take together."""

import math

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.messages.actions import SendToPeer
from burdockmill.messages.events import PeerReceived
from burdockmill.messages.limits import TokenGrant, TokenRequest
from burdockmill.systems._limit_allocator import LimitAllocator
from tests.builders_forwarding import (
    make_single_route,
    replicas_of,
)
from tests.builders_limited_fleet import LimitedFleet
from tests.builders_limited_upstreams import LimitedUpstream, allowed_in_window

SERVICE = "payroll"
NAMED_MS = 6_000.0
# Hosts have this time from the first answer that names a limit until it holds.
SETTLE_MS = 5_000.0
SETTLED_MS = NAMED_MS + SETTLE_MS


def make_upstreams(limit_per_s=None, limited=3):
    """Return one upstream a domain; the first `limited` of them name a limit."""
    upstreams = [LimitedUpstream(one) for one in replicas_of(SERVICE)]
    for upstream in upstreams[:limited]:
        if limit_per_s is not None:
            upstream.name_limit(NAMED_MS, limit_per_s)
    return upstreams


def allocator_of(fleet, upstream):
    """Return the host that allocates an upstream's limit, as the first host sees it."""
    world = fleet.virtual.engine_by_host["krk-a-0"].world
    incarnation = Incarnation.of(upstream.registration)
    row = world.limits.row(incarnation)
    return LimitAllocator().host_of(world, incarnation, row)


def test_a_limited_upstream_is_not_sent_more_than_its_limit():
    upstreams = make_upstreams(16.0, limited=1)
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(120.0, 500.0, 20_000.0).run(22_000.0)
    most = upstreams[0].most_in_window(SETTLED_MS)
    assert most <= allowed_in_window(16.0)
    assert fleet.served() > 0.99
    # The requests that prefer the limited upstream use what it takes.
    assert upstreams[0].rate_per_s(SETTLED_MS, 20_000.0) > 0.8 * 16.0


@pytest.mark.parametrize("limit_per_s", [16.0, 3.9])
def test_hosts_serve_what_the_limits_of_all_replicas_allow_together(limit_per_s):
    upstreams = make_upstreams(limit_per_s)
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(90.0, 500.0, 20_000.0).run(22_000.0)
    for upstream in upstreams:
        assert upstream.most_in_window(SETTLED_MS) <= allowed_in_window(limit_per_s)
        assert upstream.rate_per_s(SETTLED_MS, 20_000.0) > 0.8 * limit_per_s
    refused = [one for _, one in fleet.results if isinstance(one, Exception)]
    assert all(one.retry_after_ms > 0 for one in refused)
    assert fleet.longest_ms < 150.0


def test_a_demand_below_the_limits_is_served_in_time():
    upstreams = make_upstreams(16.0)
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(36.0, 500.0, 20_000.0).run(22_000.0)
    assert fleet.served() > 0.98
    for upstream in upstreams:
        assert upstream.most_in_window(SETTLED_MS) <= allowed_in_window(16.0)


def test_a_host_with_most_of_the_traffic_gets_most_of_the_limit():
    upstreams = make_upstreams(16.0)
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(44.0, 500.0, 20_000.0, {"waw-a-0": 30.0}).run(22_000.0)
    for upstream in upstreams:
        assert upstream.most_in_window(SETTLED_MS) <= allowed_in_window(16.0)
    assert fleet.served(SETTLED_MS) > 0.9


@pytest.mark.parametrize("limit_per_s", [16.0, 3.9])
def test_195_hosts_keep_a_limit_of_which_each_has_a_small_part(limit_per_s):
    upstreams = make_upstreams(limit_per_s)
    fleet = LimitedFleet(make_single_route(), upstreams, per_domain=65)
    fleet.load(60.0, 500.0, 17_000.0).run(18_000.0)
    for upstream in upstreams:
        assert upstream.most_in_window(SETTLED_MS) <= allowed_in_window(limit_per_s)
        assert upstream.rate_per_s(SETTLED_MS, 17_000.0) > 0.7 * limit_per_s


def test_hosts_that_have_not_heard_a_limit_themselves_are_told():
    """Each of 195 hosts sends an upstream a request in ten seconds."""
    upstreams = make_upstreams(3.9)
    fleet = LimitedFleet(make_single_route(), upstreams, per_domain=65)
    fleet.load(60.0, 500.0, 9_000.0).run(NAMED_MS + SETTLE_MS)
    for host in fleet.domain_by_host:
        assert len(list(fleet.limits_of(host).rows())) == 3


def test_a_limit_that_halves_is_kept_after_a_second():
    upstreams = make_upstreams(32.0, limited=1)
    upstreams[0].name_limit(13_000.0, 16.0)
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(150.0, 500.0, 20_000.0).run(22_000.0)
    assert upstreams[0].most_in_window(SETTLED_MS, 13_000.0) <= allowed_in_window(32.0)
    assert upstreams[0].most_in_window(14_000.0) <= allowed_in_window(16.0)


def test_a_limit_that_ends_is_forgotten_by_hosts_that_sent_nothing_meanwhile():
    upstreams = make_upstreams(3.9)
    for upstream in upstreams:
        upstream.name_limit(16_000.0, math.inf)
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(90.0, 500.0, 24_000.0).run(26_000.0)
    assert fleet.served(SETTLED_MS, 16_000.0) < 0.2
    assert fleet.served(18_000.0) > 0.99


def test_an_upstream_that_takes_nothing_gets_a_request_in_ten_seconds():
    upstreams = make_upstreams(0.0, limited=1)
    upstreams[0].name_limit(44_000.0, math.inf)
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(40.0, 500.0, 79_000.0).run(80_000.0)
    assert 1 <= upstreams[0].arrivals(SETTLED_MS, 44_000.0) <= 4
    assert upstreams[0].rate_per_s(69_000.0, 79_000.0) > 5.0


def test_tokens_expire_a_second_after_their_request():
    upstreams = make_upstreams(16.0)
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(60.0, 500.0, 12_000.0).run(12_000.0)
    assert fleet.tokens_held() > 0
    # Some seconds pass until no host expects more requests.
    fleet.run(17_000.0)
    assert fleet.tokens_held() == 0


def test_a_host_that_does_not_allocate_a_limit_grants_nothing():
    upstreams = make_upstreams(16.0)
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(60.0, 500.0, 9_000.0).run(12_000.0)
    allocator = allocator_of(fleet, upstreams[0])
    incarnation = Incarnation.of(upstreams[0].registration)
    granted = {}
    # A host that has just begun to allocate has no tokens yet, so each is asked twice.
    for at_ms in (12_000.0, 13_000.0):
        fleet.run(at_ms)
        for host in fleet.domain_by_host:
            engine = fleet.virtual.engine_by_host[host]
            report = engine.world.limits.row(incarnation).report(at_ms)
            request = TokenRequest(*incarnation, "waw-a", 5, 0.0, report)
            engine.post(PeerReceived("elsewhere", request))
            [granted[host]] = [
                action.message.granted
                for action in engine.tick(at_ms)
                if isinstance(action, SendToPeer) and action.host == "elsewhere"
            ]
    assert granted.pop(allocator) == 5
    assert set(granted.values()) == {0}


def test_a_host_whose_requests_are_not_answered_uses_little_of_the_limit():
    upstreams = make_upstreams(16.0, limited=1)
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(120.0, 500.0, 9_000.0).run(9_000.0)
    fleet.virtual.lost_types.add(TokenGrant)
    fleet.run(11_000.0)
    before = dict(upstreams[0].arrivals_by_host)
    fleet.load(120.0, 11_000.0, 41_000.0).run(42_000.0)
    # The host that allocates the limit grants itself tokens still.
    before[allocator_of(fleet, upstreams[0])] = math.inf
    sent = sum(
        max(0, count - before.get(host, 0))
        for host, count in upstreams[0].arrivals_by_host.items()
    )
    assert 1 <= sent <= 0.1 * 16.0 * 30.0 + 8


def test_a_grant_that_arrives_late_is_dropped():
    """A host that froze may not use what was granted before it did."""
    fleet = LimitedFleet(make_single_route(), make_upstreams(16.0))
    fleet.load(60.0, 500.0, 9_000.0).run(9_500.0)
    [(incarnation, row), *_] = fleet.limits_of("waw-a-1").rows()
    before = row.stock.count(fleet.now_ms)
    grant = TokenGrant(*incarnation, 5, 0.0, 3_000.0, row.report(fleet.now_ms))
    fleet.virtual.post("waw-a-1", PeerReceived("waw-a-2", grant))
    assert row.stock.count(fleet.now_ms) == before


@pytest.mark.parametrize("how", ["killed", "frozen", "restarted"])
def test_the_limit_holds_while_the_host_that_allocates_it_is(how):
    upstreams = make_upstreams(16.0)
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(90.0, 500.0, 26_000.0).run(13_000.0)
    allocator = allocator_of(fleet, upstreams[0])
    if how == "frozen":
        fleet.virtual.paused.add(allocator)
    else:
        fleet.virtual.remove_host(allocator)
    fleet.run(14_000.0)
    if how == "restarted":
        fleet.start(allocator)
    fleet.run(18_000.0)
    if how == "frozen":
        fleet.virtual.resume(allocator)
    fleet.run(28_000.0)
    for upstream in upstreams:
        assert upstream.most_in_window(SETTLED_MS) <= allowed_in_window(16.0)
        assert upstream.rate_per_s(20_000.0, 26_000.0) > 0.7 * 16.0


def test_a_host_without_replies_sends_few_attempts():
    upstreams = make_upstreams(16.0)
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(90.0, 500.0, 20_000.0).run(NAMED_MS + 3_000.0)
    fleet.links.group_by_host = {"gda-a-0": 1}
    before = {
        one.registration.upstream: dict(one.arrivals_by_host) for one in upstreams
    }
    fleet.run(22_000.0)
    sent = 0
    for upstream in upstreams:
        name = upstream.registration.upstream
        sent += upstream.arrivals_by_host["gda-a-0"] - before[name]["gda-a-0"]
        assert upstream.most_in_window(SETTLED_MS) <= allowed_in_window(16.0)
    # It may allocate one limit for some seconds, and then, alone in its view, the part
    # of one host in nine of each.
    assert 1 <= sent <= 3.0 * 16.0 + 3 * 16.0 / 9.0 * 13.0


@pytest.mark.parametrize("loss", [0.1, 0.4])
def test_the_limit_holds_while_messages_are_lost_and_doubled(loss):
    upstreams = make_upstreams(16.0)
    fleet = LimitedFleet(make_single_route(), upstreams, loss=loss, doubled=0.2)
    fleet.load(90.0, 500.0, 20_000.0).run(22_000.0)
    for upstream in upstreams:
        assert upstream.most_in_window(SETTLED_MS) <= allowed_in_window(16.0)
        assert upstream.rate_per_s(SETTLED_MS, 20_000.0) > (1.0 - loss) * 0.5 * 16.0


def test_a_limit_far_above_what_is_sent_changes_nothing():
    upstreams = make_upstreams(100_000.0)
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(90.0, 500.0, 20_000.0).run(22_000.0)
    assert fleet.served() > 0.99


def test_an_upstream_that_names_another_value_in_each_answer_gets_at_most_the_largest():
    upstreams = make_upstreams(limited=0)
    for number in range(2_000):
        at_ms = NAMED_MS + 7.0 * number
        upstreams[0].name_limit(at_ms, (16.0, 2.0, math.inf, 9.0)[number % 4])
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(60.0, 500.0, 18_000.0).run(19_000.0)
    assert fleet.served() > 0.99
    assert fleet.messages < 20_000


HOSTS = [f"{domain}-{number}" for domain in ("waw-a", "krk-a") for number in range(3)]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "start", "freeze", "wake", "cut", "heal", "move"]),
        st.sampled_from(HOSTS),
        st.floats(50.0, 2_500.0),
    ),
    max_size=10,
)


@settings(max_examples=12, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.integers(0, 2**16),
    st.sampled_from([2.0, 8.0, 24.0]),
    st.integers(1, 3),
    st.floats(0.0, 0.3),
    STEPS,
)
def test_any_schedule_of_hosts_and_links_keeps_the_limit(
    seed, limit_per_s, limited, loss, steps
):
    """Hosts come, go, freeze and are cut off while the traffic moves between them."""
    upstreams = make_upstreams(limit_per_s, limited)
    fleet = LimitedFleet(make_single_route(), upstreams, seed=seed, loss=loss)
    fleet.load(70.0, 500.0, SETTLED_MS).run(SETTLED_MS)
    fleet.load(70.0, SETTLED_MS, 24_000.0)
    for step, host, wait_ms in steps:
        fleet.apply(step, host)
        fleet.run(min(24_000.0, fleet.now_ms + wait_ms))
    fleet.run(25_000.0)
    for upstream in upstreams[:limited]:
        most = upstream.most_in_window(SETTLED_MS)
        assert most <= allowed_in_window(limit_per_s)
