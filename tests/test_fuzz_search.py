"""Fuzz searches and fetches of a small fleet against a scan of all records."""

from __future__ import annotations

import itertools

import msgspec
import pytest
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from burdockmill.errors import OverloadedError, Ran, RecordAbsentError
from burdockmill.messages.actions import FetchAnswer, SearchAnswer
from burdockmill.messages.events import PeerReceived, RulesAccepted
from burdockmill.messages.peer import (
    PartOutcome,
    PartStatus,
    WorkAnswer,
    WorkRequest,
)
from burdockmill.rules.model import RequestKind
from burdockmill.slots import SLOT_COUNT
from burdockmill.standins.virtual_fleet import VirtualFleet
from tests.builders_search import (
    DOMAIN_BY_HOST,
    UPSTREAMS,
    boot,
    make_fleet_rules,
    make_request,
    make_shards,
    register_members,
    start_event,
)
from tests.fake_upstreams import FakeLink, FakeUpstreams, FaultMode
from tests.oracle import GROUPS, Oracle

HOSTS = tuple(DOMAIN_BY_HOST)
SNAPSHOTS = (1, 2, 3)
RECOVERY_MS = 3_000.0
stretches = st.sampled_from([0, 0, 3_000])
cut_points = st.lists(st.integers(1, SLOT_COUNT - 1), min_size=1, max_size=4)


class SearchMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 1000), cuts=cut_points, stretch=stretches)
    def start(self, seed, cuts, stretch):
        self.oracle = Oracle(seed)
        self.upstreams = FakeUpstreams(self.oracle, UPSTREAMS, (1, 2))
        self.link = FakeLink()
        self.fleet = VirtualFleet(seed, self.upstreams, self.link)
        self.fleet.on_message = self.record_message
        self.request_by_id = {}
        self.host_by_id = {}
        self.lost_requests = set()
        self.requests = []
        self.messages = []
        self.checked = 0
        self.revision = 1
        self.rules = self.make_rules(cuts, stretch)
        boot(self.fleet, self.rules)
        for host in HOSTS:
            self.fleet.post(host, start_event(host))
        self.fleet.run_until(50.0)

    def make_rules(self, cuts, stretch):
        shards = {
            name: make_shards(name, cuts, f"{self.revision}-", 3, stretch)
            for name in "cl"
        }
        return make_fleet_rules(shards, self.revision, hedge_fraction=0.05)

    def record_message(self, sender, to, message):
        if isinstance(message, WorkRequest) and message.kind == RequestKind.SEARCH:
            self.requests.append((sender, to, message))
        if isinstance(message, WorkAnswer):
            self.messages.append((sender, to, message))

    def advance(self, by_ms):
        self.fleet.run_until(self.fleet.clock.now_ms() + by_ms)

    def submit(self, host, **changes):
        request_id = f"q{len(self.request_by_id)}"
        request = make_request(self.fleet, request_id, **changes)
        self.request_by_id[request_id] = request
        self.host_by_id[request_id] = host
        self.fleet.post(host, request)
        return request_id

    @rule(
        host=st.sampled_from(HOSTS),
        service=st.sampled_from("cl"),
        group=st.sampled_from(GROUPS),
        limit=st.integers(1, 40),
        count=st.integers(1, 4),
    )
    def search(self, host, service, group, limit, count):
        body = msgspec.Raw(b'{"group":"%s"}' % group.encode())
        for _ in range(count):
            self.submit(host, service=service, body=body, limit=limit)

    @rule(host=st.sampled_from(HOSTS), number=st.integers(0, 150))
    def fetch(self, host, number):
        self.submit(host, kind=RequestKind.FETCH, key=f"r{number}")

    @rule(by_ms=st.sampled_from([1.0, 3.0, 10.0, 40.0, 200.0]))
    def wait(self, by_ms):
        self.advance(by_ms)

    @rule(
        name=st.sampled_from(UPSTREAMS),
        mode=st.sampled_from(FaultMode),
        delay_ms=st.sampled_from([1.0, 5.0, 60.0, 300.0]),
    )
    def misbehave(self, name, mode, delay_ms):
        upstream = self.upstreams.upstream_by_id[name]
        upstream.mode, upstream.delay_ms = mode, delay_ms

    @rule(
        name=st.sampled_from(UPSTREAMS),
        snapshots=st.sets(st.sampled_from(SNAPSHOTS), min_size=1),
        advertised=st.none() | st.sets(st.sampled_from(SNAPSHOTS), min_size=1),
        healthy=st.booleans(),
        draining=st.booleans(),
    )
    def change_index(self, name, snapshots, advertised, healthy, draining):
        upstream = self.upstreams.upstream_by_id[name]
        upstream.snapshots, upstream.advertised = snapshots, advertised
        upstream.healthy, upstream.draining = healthy, draining

    @rule(snapshots=st.sampled_from([(1, 2), (2, 3), (3,), (1,)]))
    def roll_over(self, snapshots):
        for upstream in self.upstreams.upstream_by_id.values():
            upstream.snapshots, upstream.advertised = set(snapshots), None

    @rule(cuts=cut_points, stretch=stretches, hosts=st.sets(st.sampled_from(HOSTS)))
    def repartition(self, cuts, stretch, hosts):
        self.revision += 1
        self.rules = self.make_rules(cuts, stretch)
        for host in sorted(hosts):
            self.fleet.post(host, RulesAccepted(self.rules, "tests"))

    @rule(
        lost=st.sampled_from([0.0, 0.0, 0.3]),
        doubled=st.sampled_from([0.0, 0.5]),
        slow_ms=st.sampled_from([1.0, 20.0]),
    )
    def change_link(self, lost, doubled, slow_ms):
        self.link.lost, self.link.duplicate_rate, self.link.max_delay_ms = (
            lost,
            doubled,
            slow_ms,
        )

    @rule(host=st.sampled_from(HOSTS), by_ms=st.sampled_from([20.0, 500.0]))
    def pause(self, host, by_ms):
        self.fleet.paused.add(host)
        self.advance(by_ms)
        self.fleet.resume(host)

    @rule(host=st.sampled_from(HOSTS), by_ms=st.sampled_from([0.0, 100.0]))
    def restart(self, host, by_ms):
        self.lost_requests |= {one for one, at in self.host_by_id.items() if at == host}
        self.fleet.remove_host(host)
        self.advance(by_ms)
        self.fleet.add_host(host, DOMAIN_BY_HOST[host])
        register_members(self.fleet, host)
        self.fleet.post(host, start_event(host))
        self.fleet.post(host, RulesAccepted(self.rules, "tests"))

    @precondition(lambda self: self.messages)
    @rule(pick=st.integers(0, 10**6), to=st.sampled_from(HOSTS))
    def replay(self, pick, to):
        sender, own, message = self.messages[pick % len(self.messages)]
        self.fleet.post(own, PeerReceived(sender, message))
        self.fleet.post(to, PeerReceived(own, message))

    @precondition(lambda self: self.requests)
    @rule(back=st.integers(1, 6), snapshot=st.sampled_from(SNAPSHOTS))
    def answer_from_other_snapshot(self, back, snapshot):
        sender, to, request = self.requests[-min(back, len(self.requests))]
        if snapshot != request.snapshot:
            parts = [(part, part) for part in request.parts]
            self.post_forged(sender, to, request, snapshot, parts)

    @precondition(lambda self: self.requests)
    @rule(back=st.integers(1, 6))
    def answer_with_swapped_parts(self, back):
        sender, to, request = self.requests[-min(back, len(self.requests))]
        parts = list(itertools.pairwise(request.parts))
        if parts:
            self.post_forged(sender, to, request, request.snapshot, parts[:1])

    def post_forged(self, entry, owner, request, snapshot, parts):
        group = msgspec.json.decode(request.body)["group"]
        outcomes, hits = [], []
        for claimed, real in parts:
            found = self.oracle.hits(snapshot, (real.slots,), group)
            hits.extend(found)
            outcomes.append(
                PartOutcome(
                    claimed.attempt,
                    real.upstream,
                    real.shard,
                    PartStatus.ANSWERED,
                    Ran.YES,
                    covered=(claimed.slots,),
                    total=len(found),
                )
            )
        forged = WorkAnswer(request.request_id, snapshot, outcomes, hits)
        self.fleet.post(entry, PeerReceived(owner, forged))

    @rule()
    def recover(self):
        for upstream in self.upstreams.upstream_by_id.values():
            upstream.__init__((2, 3))
        self.link.__init__()
        for host in HOSTS:
            self.fleet.post(host, RulesAccepted(self.rules, "tests"))
        self.advance(RECOVERY_MS)
        request_id = self.submit("e0")
        self.advance(500.0)
        (answer,) = [
            given.answer.result
            for given in self.fleet.answers
            if given.answer.request_id == request_id
        ]
        self.check_recovered(answer)

    def check_recovered(self, answer):
        assert answer.coverage["complete"], answer.coverage

    @invariant()
    def answers_agree_with_the_oracle(self):
        for given in self.fleet.answers[self.checked :]:
            request = self.request_by_id[given.answer.request_id]
            assert given.host == self.host_by_id[request.request_id]
            result = given.answer.result
            if isinstance(result, OverloadedError):
                assert result.ran == Ran.NO
            elif request.kind == RequestKind.SEARCH:
                assert isinstance(result, SearchAnswer)
                assert self.oracle.problems(request, result) == []
            elif isinstance(result, FetchAnswer):
                assert bytes(result.record) == b'"%s"' % request.key.encode()
                assert self.oracle.has(request.key)
            elif isinstance(result, RecordAbsentError):
                assert not self.oracle.has(request.key)
        self.checked = len(self.fleet.answers)

    def teardown(self):
        self.advance(1_000.0)
        self.answers_agree_with_the_oracle()
        given = [one.answer.request_id for one in self.fleet.answers]
        assert len(given) == len(set(given))
        assert self.request_by_id.keys() - self.lost_requests <= set(given)


def test_answers_agree_with_a_scan():
    run_state_machine_as_test(
        SearchMachine,
        settings=settings(
            max_examples=120,
            stateful_step_count=30,
            phases=(Phase.explicit, Phase.generate),
        ),
    )


def test_restarted_host_relearns_the_holdings_of_other_domains():
    # The second shard is on u1, u2 and u3. A restart of e0 loses the holdings of u1 and
    # u2, which hosts of other domains report, and u3 remains marked as drained.
    machine = SearchMachine()
    machine.start(cuts=[269], stretch=3_000, seed=454)
    machine.recover()
    machine.change_index(
        name="u3",
        snapshots={1, 2, 3},
        advertised=None,
        healthy=True,
        draining=True,
    )
    machine.restart(host="e0", by_ms=0.0)
    try:
        machine.recover()
    finally:
        machine.teardown()


@pytest.mark.parametrize(("seed", "recoveries"), [(0, 16), (0, 18), (2, 12)])
def test_restarted_host_relearns_holdings_beside_a_drained_upstream(seed, recoveries):
    # When only the restarted host probed, what it asked of other domains depended on
    # the moment of its restart.
    machine = SearchMachine()
    machine.start(cuts=[1], stretch=0, seed=seed)
    for _ in range(recoveries):
        machine.recover()
    machine.change_index(
        name="u0", snapshots={1}, advertised=None, healthy=False, draining=True
    )
    machine.search(host="e0", service="c", group="red", limit=1, count=1)
    machine.wait(10.0)
    machine.recover()
    machine.restart(host="e0", by_ms=0.0)
    try:
        machine.recover()
    finally:
        machine.teardown()
