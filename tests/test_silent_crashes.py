"""Replay requests under which upstreams fall silent, and innocent ones beside."""

import pytest
from hypothesis import given, settings, strategies as st

from tests.builders_crash_fleet import ALLOWED_RETRIES
from tests.builders_forwarding import DOMAINS, make_route, make_single_route
from tests.builders_silent_fleet import SilentFleet

CULPRIT, INNOCENT = "/overlap/crash", "/overlap/good"
ROUTES = {"single": make_single_route(), "search": make_route()}
LARGE = 65


def play(fleet, interval_ms=250.0, for_ms=14_000.0):
    """Let a request that ends upstreams silently come at one host after the other."""
    fleet.crashing.add(CULPRIT)
    began_ms = fleet.now_ms
    fleet.request_in_turn(CULPRIT, began_ms, began_ms + for_ms, interval_ms)
    return fleet.run(began_ms + for_ms + 2_000.0)


def load(fleet, rate_per_s, for_ms):
    """Send equal requests, and others of which each comes only a few times."""
    began_ms = fleet.now_ms
    fleet.load_equal(INNOCENT, rate_per_s, began_ms, began_ms + for_ms)
    targets = [f"{INNOCENT}-{number}" for number in range(40)]
    for target in targets:
        fleet.load_equal(target, 0.5, began_ms, began_ms + for_ms)
    return [INNOCENT, *targets]


def held_back(fleet, targets):
    return sum(fleet.held_back(one) for one in targets if fleet.results_of(one))


# Guards against review/3: a crash that ends no connection leaves no trace.
@pytest.mark.parametrize("per_domain", [3, LARGE])
@pytest.mark.parametrize("kind", ROUTES)
def test_a_request_that_silences_upstreams_is_held_back_by_all_hosts(kind, per_domain):
    fleet = SilentFleet(ROUTES[kind], per_domain)
    load(fleet, 30.0, 14_000.0)
    play(fleet)
    assert len(fleet.crashes_ms) >= 3
    assert len(fleet.late_arrivals()) <= ALLOWED_RETRIES
    assert fleet.hosts_that_hold_back() == set(fleet.domain_by_host)


@pytest.mark.parametrize("interval_ms", [100.0, 1_500.0, 4_300.0])
def test_it_is_held_back_however_often_it_comes(interval_ms):
    fleet = play(SilentFleet(make_single_route(), seed=2), interval_ms, 40_000.0)
    assert len(fleet.late_arrivals()) <= ALLOWED_RETRIES


@pytest.mark.parametrize("per_domain", [3, LARGE])
def test_popular_requests_beside_it_are_not_blamed_when_domains_go_dark(per_domain):
    fleet = SilentFleet(make_route(), per_domain)
    targets = load(fleet, 60.0, 14_000.0)
    for number, domain in enumerate(DOMAINS):
        fleet.crash_domain(fleet.now_ms + 500.0 + 4_000.0 * number, domain)
    play(fleet)
    assert held_back(fleet, targets) == 0
    assert len(fleet.late_arrivals()) <= ALLOWED_RETRIES


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize("seed", range(3))
def test_no_request_is_blamed_when_domains_go_dark_six_times(kind, seed):
    fleet = SilentFleet(ROUTES[kind], seed=seed)
    targets = load(fleet, 60.0, 26_000.0)
    for number in range(6):
        at_ms = fleet.now_ms + 1_000.0 + 4_000.0 * number
        fleet.crash_domain(at_ms, DOMAINS[number % len(DOMAINS)])
    fleet.run(fleet.now_ms + 28_000.0)
    assert held_back(fleet, targets) == 0
    assert fleet.served_of(INNOCENT) > 0.97


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize("for_ms", [400.0, 3_000.0])
def test_no_request_is_blamed_when_upstreams_freeze_and_go_on(kind, for_ms):
    fleet = SilentFleet(ROUTES[kind])
    targets = load(fleet, 60.0, 24_000.0)
    upstreams = fleet.upstreams()
    for number in range(12):
        frozen = fleet.rng.sample(upstreams, len(upstreams) // 3)
        fleet.freeze(fleet.now_ms + 1_000.0 + 1_700.0 * number, frozen, for_ms)
    fleet.run(fleet.now_ms + 28_000.0)
    assert held_back(fleet, targets) == 0


def test_no_request_is_blamed_when_all_replicas_freeze_at_once():
    fleet = SilentFleet(make_single_route())
    targets = load(fleet, 60.0, 20_000.0)
    for number in range(4):
        at_ms = fleet.now_ms + 1_000.0 + 4_500.0 * number
        fleet.freeze(at_ms, fleet.upstreams(), 2_500.0)
    fleet.run(fleet.now_ms + 24_000.0)
    assert held_back(fleet, targets) == 0


def test_a_frozen_upstream_that_goes_on_is_no_crash():
    fleet = SilentFleet(make_single_route())
    fleet.request_at(fleet.now_ms, "waw-a-0", INNOCENT)
    fleet.run(fleet.now_ms + 100.0)
    fleet.freeze(fleet.now_ms, fleet.upstreams(), 700.0)
    fleet.request_at(fleet.now_ms + 10.0, "waw-a-0", INNOCENT)
    fleet.run(fleet.now_ms + 650.0)
    suspects = fleet.virtual.engine_by_host["waw-a-0"].world.suspects
    assert suspects
    fleet.run(fleet.now_ms + 500.0)
    assert not any(row.crash_by_incarnation for row in suspects)


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize("hosts", [["krk-a-1"], ["waw-a-0", "waw-a-1", "waw-a-2"]])
def test_no_request_is_blamed_by_hosts_that_are_cut_off(kind, hosts):
    fleet = SilentFleet(ROUTES[kind])
    targets = load(fleet, 60.0, 20_000.0)
    for number in range(4):
        at_ms = fleet.now_ms + 1_000.0 + 4_500.0 * number
        fleet.partition(at_ms, hosts, 2_500.0)
    fleet.run(fleet.now_ms + 24_000.0)
    assert held_back(fleet, targets) == 0


def test_no_slow_request_is_blamed():
    fleet = SilentFleet(make_single_route(), work_ms=900.0)
    targets = load(fleet, 20.0, 15_000.0)
    for number, upstream in enumerate(fleet.upstreams()):
        fleet.freeze(fleet.now_ms + 2_000.0 + 3_000.0 * number, [upstream], 2_000.0)
    fleet.run(fleet.now_ms + 20_000.0)
    assert held_back(fleet, targets) == 0


@settings(max_examples=8)
@given(
    seed=st.integers(0, 10_000),
    is_search=st.booleans(),
    interval_ms=st.floats(100.0, 3_000.0),
    loss=st.floats(0.0, 0.3),
)
def test_no_schedule_lets_it_reach_upstreams_more_often(
    seed, is_search, interval_ms, loss
):
    route = ROUTES["search" if is_search else "single"]
    fleet = SilentFleet(route, seed=seed, loss=loss, max_delay_ms=100.0)
    play(fleet, interval_ms, for_ms=18_000.0)
    assert len(fleet.late_arrivals()) <= ALLOWED_RETRIES
