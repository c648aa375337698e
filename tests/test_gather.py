"""Guard the searches that strong hosts gather, with the clock passed in."""

import random

import pytest

from burdockmill.clock import VirtualClock
from burdockmill.errors import OverloadedError, Ran, UpstreamFailedError
from burdockmill.forwarding.actions import SendAttempt
from burdockmill.forwarding.connection_limits import ConnectionLimits
from burdockmill.forwarding.merge_policy import GreatestRecords
from burdockmill.forwarding.messages import MergedAnswer
from burdockmill.forwarding.request_run import RequestRun
from burdockmill.messages.catalog import CatalogDelta
from burdockmill.messages.fleet import MemberStatus, MemberUpdate
from burdockmill.policies.connection_share import gatherer_connection_share
from burdockmill.policies.gather_hosts import gather_hosts
from burdockmill.policies.repeat_share import allowance_share
from burdockmill.relay.actions import RelayEnd, RelayOutcome, SendRelay, WithdrawRelay
from burdockmill.relay.gather_choice import (
    AVOID_FIRST_MS,
    CONFIRM_WAIT_MS,
    RAMP_MS,
    GatherChoice,
)
from burdockmill.relay.gathered_run import GatheredRun
from burdockmill.relay.relay_planner import RelayPlanner
from burdockmill.systems._fleet_rows import apply_member_update, write_member
from burdockmill.tables.gather_view import GatherView
from burdockmill.tables.peer_reach import PeerReach
from burdockmill.tables.rows import MemberRow
from burdockmill.tables.upstream_reach import UpstreamReach
from burdockmill.world import World
from tests.builders_forwarding import (
    DOMAINS,
    REGIONS,
    make_planner,
    make_registration,
    make_request,
    make_route,
    make_single_route,
    make_tables,
    replicas_of,
    services_of,
)

MERGED = RelayOutcome(RelayEnd.ANSWERED, MergedAnswer(b"", ("s",), 0))
LOST = RelayOutcome(RelayEnd.LOST)
DECLINED = RelayOutcome(RelayEnd.DECLINED)
STRONG, WEAK = 2.15, 0.36
STARTED_MS = 10_000.0


def make_world(strong=("s1", "s2"), weak=20, domain="waw-a"):
    world = World("w0", domain, random.Random(1))
    for number in range(weak):
        add_member(world, f"w{number}", WEAK, domain)
    for host in strong:
        add_member(world, host, STRONG, domain)
    return world


def add_member(world, host, cores, domain="waw-a", **changes):
    row = MemberRow(host, domain, "", host, processor_cores=cores, **changes)
    write_member(world, row, 0.0)


class Gathering:
    """Step through searches of one weak host among strong ones."""

    def __init__(self, world=None, regions=REGIONS, upstream_domains=DOMAINS):
        self.world = world or make_world()
        self.upstream_domains = upstream_domains
        self.planner = make_planner(started_ms=-20_000.0)
        self.in_flight = {}
        self.choice = GatherChoice(
            self.world,
            GatherView(self.world),
            regions,
            self.in_flight,
            self.planner.eligibility,
            lambda service: replicas_of(service, self.upstream_domains),
        )
        for number in range(50):
            self.choice.choose(f"r-{number}", make_route(), STARTED_MS - RAMP_MS)

    def start(self, request_id="r-1", route=None, now_ms=STARTED_MS, **changes):
        run = self.make_run(request_id, route, now_ms, **changes)
        return run, run.start(now_ms)

    def make_run(self, request_id="r-1", route=None, now_ms=STARTED_MS, **changes):
        route = route or make_route()
        request = make_request(request_id, now_ms, now_ms + 1_200.0, **changes)
        direct = RequestRun(
            request, route, services_of(route), self.planner, GreatestRecords()
        )
        relay_planner = RelayPlanner(
            UpstreamReach("waw-a"),
            PeerReach(),
            replicas_of,
            lambda services: None,
            self.planner.budget,
            self.planner.eligibility,
            lambda host: "waw-a",
        )
        return GatheredRun(direct, relay_planner, self.choice)

    def hosts(self, count, now_ms=STARTED_MS, route=None):
        route = route or make_route()
        ids = (f"r-{number}" for number in range(count))
        return [self.choice.choose(one, route, now_ms) for one in ids]


def alone():
    return Gathering(make_world(strong=("s1",)))


def of(kind, actions):
    return [action for action in actions if isinstance(action, kind)]


def test_a_search_is_handed_to_a_strong_host_and_its_answer_returned():
    run, actions = Gathering().start()
    [sent] = actions
    assert isinstance(sent, SendRelay)
    assert sent.host in ("s1", "s2")
    assert sent.is_gathered
    run.confirmed(0, STARTED_MS + 2.0)
    assert run.tick(STARTED_MS + CONFIRM_WAIT_MS) == []
    [concluded] = run.relay_ended(0, MERGED, STARTED_MS + 60.0)
    assert concluded.result is MERGED.result
    assert run.completed


@pytest.mark.parametrize("route", [make_single_route(), None])
def test_single_requests_and_what_was_handed_over_stay(route):
    entry = "" if route else "w1"
    _, actions = Gathering().start(route=route, entry=entry)
    assert of(SendAttempt, actions)
    assert not of(SendRelay, actions)


@pytest.mark.parametrize("cores", [{}, {"a": 1.0, "b": 1.0}, {"a": 1.0, "b": 1.9}])
def test_hosts_of_nearly_equal_or_unknown_strength_gather_for_themselves(cores):
    # Fails where deployments with equal hosts hand their searches over.
    rows = [
        MemberRow(host, "waw-a", "", host, processor_cores=one)
        for host, one in cores.items()
    ]
    assert gather_hosts(rows) == frozenset()


def test_a_search_that_is_not_confirmed_goes_to_the_other_strong_host():
    # Fails where a host that froze takes searches with it until it is declared dead.
    run, [first] = Gathering().start()
    withdrawn, second = run.tick(STARTED_MS + CONFIRM_WAIT_MS)
    assert (type(withdrawn), withdrawn.relay) == (WithdrawRelay, 0)
    assert {first.host, second.host} == {"s1", "s2"}
    assert (second.attempts_limit, second.is_counted) == (1, True)
    assert run.relay_ended(0, LOST, STARTED_MS + CONFIRM_WAIT_MS + 1.0) == []
    # The other one is silent too: now this host searches, which is charged once more.
    actions = run.tick(STARTED_MS + 2 * CONFIRM_WAIT_MS)
    assert [one.relay for one in of(WithdrawRelay, actions)] == [1]
    assert len(of(SendAttempt, actions)) == 10


def test_a_host_that_has_ended_is_not_withdrawn():
    # Fails where a search stays without an answer, as a hand-over that has ended is
    # withdrawn, which the host's loop takes for an error.
    run, _ = Gathering().start()
    late_ms = STARTED_MS + CONFIRM_WAIT_MS
    run.tick(late_ms)
    run.relay_ended(1, RelayOutcome(RelayEnd.NOT_SENT), late_ms + 1.0)
    actions = run.tick(late_ms + CONFIRM_WAIT_MS)
    assert not [one for one in actions if isinstance(one, WithdrawRelay)]
    assert len([one for one in actions if isinstance(one, SendAttempt)]) == 10


def test_a_search_that_is_not_confirmed_is_sent_from_here():
    run, _ = alone().start()
    assert run.next_due_ms == STARTED_MS + CONFIRM_WAIT_MS
    actions = run.tick(STARTED_MS + CONFIRM_WAIT_MS)
    assert len(of(WithdrawRelay, actions)) == 1
    assert len(of(SendAttempt, actions)) == 10


@pytest.mark.parametrize("is_confirmed", [True, False])
def test_a_search_runs_at_no_third_upstream_of_a_shard(is_confirmed):
    # Fails where a host that may have hedged, and then this one, let a shard's request
    # run at more upstreams than its route allows.
    run, [first] = alone().start()
    assert first.attempts_limit == 2
    sent, now_ms = [], STARTED_MS
    if is_confirmed:
        run.confirmed(0, STARTED_MS + 2.0)
    while (now_ms := now_ms + 10.0) < STARTED_MS + 1_100.0:
        sent += of(SendAttempt, run.tick(now_ms))
    assert len(sent) == (0 if is_confirmed else 10)


def test_a_confirmed_search_that_is_lost_is_not_searched_again():
    run, _ = Gathering().start()
    run.confirmed(0, STARTED_MS + 2.0)
    [concluded] = run.relay_ended(0, LOST, STARTED_MS + 90.0)
    assert isinstance(concluded.result, UpstreamFailedError)
    assert concluded.result.ran is Ran.UNKNOWN


def test_a_connection_that_ends_before_the_confirmation_moves_the_search():
    run, [first] = Gathering().start()
    [second] = run.relay_ended(0, LOST, STARTED_MS + 3.0)
    assert {first.host, second.host} == {"s1", "s2"}
    assert second.attempts_limit == 1


@pytest.mark.parametrize("outcome", [DECLINED, RelayOutcome(RelayEnd.NOT_SENT)])
def test_a_declined_search_is_gathered_here_and_charged_once(outcome):
    gathering = alone()
    run, [sent] = gathering.start()
    before = gathering.planner.budget.remaining("shard-0", STARTED_MS)
    actions = run.relay_ended(0, outcome, STARTED_MS + 2.0)
    assert len(of(SendAttempt, actions)) == 10
    assert gathering.planner.budget.remaining("shard-0", STARTED_MS + 2.0) >= before
    assert sent.host not in gathering.hosts(50, STARTED_MS + 10.0)
    after_ms = STARTED_MS + 2.0 + AVOID_FIRST_MS
    assert sent.host in gathering.hosts(50, after_ms)


def test_without_a_budget_a_search_waits_for_the_host_that_has_it():
    gathering = alone()
    gathering.planner.budget.limits = gathering.planner.budget.limits._replace(
        allowance=0.0
    )
    run, _ = gathering.start()
    assert run.tick(STARTED_MS + CONFIRM_WAIT_MS) == []
    [concluded] = run.relay_ended(0, LOST, STARTED_MS + 90.0)
    assert isinstance(concluded.result, UpstreamFailedError)
    assert concluded.result.ran is Ran.UNKNOWN


def test_a_refusal_of_the_strong_host_is_passed_on():
    run, _ = Gathering().start()
    error = OverloadedError("full", retry_after_ms=30)
    refused = RelayOutcome(RelayEnd.ANSWERED, error)
    [concluded] = run.relay_ended(0, refused, STARTED_MS + 5.0)
    assert concluded.result is error


def test_hosts_that_learn_of_a_strong_host_move_to_it_by_and_by():
    # Fails where 20 hosts send all of their searches to a host that has just started.
    gathering = Gathering(make_world(strong=("s1",)))
    add_member(gathering.world, "s2", STRONG)
    moved = [
        gathering.hosts(200, STARTED_MS + after_ms).count("s2")
        for after_ms in (0.0, RAMP_MS / 4, RAMP_MS)
    ]
    assert moved[0] == 0
    assert 0 < moved[1] < 60
    assert moved[2] > 60


def test_searches_go_to_the_less_busy_strong_host():
    gathering = Gathering()
    gathering.in_flight["s1"] = 4
    assert set(gathering.hosts(50)) == {"s2"}


@pytest.mark.parametrize("changes", [{"alive": False}, {"leaving": True}])
def test_without_strong_hosts_each_host_gathers_for_itself(changes):
    gathering = Gathering()
    for host in ("s1", "s2"):
        add_member(gathering.world, host, STRONG, **changes)
    assert not gathering.choice.has_host
    _, actions = gathering.start()
    assert len(of(SendAttempt, actions)) == 10


def test_a_bound_search_stays_in_its_regions_and_its_clients():
    gathering = Gathering()
    assert gathering.choice.choose("r", make_route(regions=("pomorze",)), STARTED_MS)


@pytest.mark.parametrize("is_alive", [True, False])
def test_strong_hosts_beside_the_upstreams_come_first(is_alive):
    # Fails where the parts of each search cross between failure domains, and where
    # nobody gathers once that domain's strong hosts are gone.
    world = make_world()
    add_member(world, "t1", STRONG, "waw-b", alive=is_alive)
    for number in range(5):
        add_member(world, f"v{number}", WEAK, "waw-b")
    regions = {**REGIONS, "waw-b": "mazowsze"}
    gathering = Gathering(world, regions, upstream_domains=("waw-b", "krk-a"))
    expected = {"t1"} if is_alive else {"s1", "s2"}
    assert set(gathering.hosts(50)) == expected


@pytest.mark.parametrize(("hosts", "gatherers"), [(134, 12), (89, 12), (9, 0), (3, 3)])
@pytest.mark.parametrize("allowance", [332.0, 218.0, 5.0, 0.0])
def test_the_shares_of_an_allowance_never_exceed_it(hosts, gatherers, allowance):
    shares = [
        allowance_share(allowance, hosts, gatherers, number < gatherers)
        for number in range(hosts)
    ]
    assert sum(shares) <= allowance + 1e-6
    assert min(shares) >= 0.0
    assert shares[0] >= shares[-1] - 1e-9


def test_strong_hosts_alone_keep_connections_to_searched_upstreams():
    # Fails where a strong host that has just started closes each connection after use,
    # and where the others hold connections that they do not use.
    world = make_world()
    world.catalog.apply(
        CatalogDelta(0, 1, 1, make_tables(connections=76), is_whole=True), 0.0
    )
    view, clock = GatherView(world), VirtualClock()
    limits = ConnectionLimits(world, view, clock, lambda: True)
    shard, single = make_registration(), make_registration(service="payroll")
    assert not limits.keeps_idle(shard)
    assert limits.host_limit(shard) == 1
    before = limits.host_limit(single)
    world.host = "s1"
    world.members_version += 1
    assert limits.keeps_idle(shard)
    assert limits.host_limit(shard) == gatherer_connection_share(76, 2)
    # Other services are as before.
    assert limits.host_limit(single) == before
    assert not limits.keeps_idle(single)


@pytest.mark.parametrize(("limit", "others"), [(76, 77), (118, 122), (4, 77)])
def test_strong_hosts_leave_connections_for_the_others(limit, others):
    taken = 12 * gatherer_connection_share(limit, 12)
    assert taken <= max(12, 0.7 * limit)


def test_an_update_that_an_earlier_build_shortened_is_completed():
    world = make_world(strong=("s1",))
    add_member(world, "s2", 0.0, incarnation=5)
    digest = world.fleet.members_by_domain["waw-a"].digest()
    update = MemberUpdate("s2", "waw-a", "", "s2", 5, MemberStatus.ALIVE, STRONG)
    apply_member_update(world, update, 1.0)
    assert world.member_by_host["s2"].processor_cores == STRONG
    assert "s2" in GatherView(world).hosts_of("waw-a")
    # Hosts of both builds have the same digest of the same member.
    assert world.fleet.members_by_domain["waw-a"].digest() == digest
