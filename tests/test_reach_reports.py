"""Check what a host tells others of the upstreams that it reaches."""

import random

import pytest

from burdockmill.messages.events import PeerReceived
from burdockmill.messages.reach import ReachQuery, ReachReport
from burdockmill.systems.reach_system import TEST_LIMIT_MS, ReachSystem
from burdockmill.world import World
from tests.builders_forwarding import make_delta, make_tables, replicas_of

NOW_MS = 1_000.0
FIRST, SECOND, THIRD = (one.upstream for one in replicas_of("shard-0"))


class Asked:
    """Ask one host what it reaches; its upstreams were all heard just now."""

    def __init__(self):
        self.world = World("h-1", "waw-a", random.Random(1))
        delta = make_delta(1, *replicas_of("shard-0"), tables=make_tables())
        self.world.catalog.apply(delta, 0.0)
        for upstream in (FIRST, SECOND, THIRD):
            self.world.reach.heard(upstream, NOW_MS - 10.0)
        self.system = ReachSystem()

    def report(self):
        query = ReachQuery(("shard-0",), 500.0, NOW_MS)
        self.world.put_event("reach", PeerReceived("h-2", query))
        actions = self.system.run(self.world, NOW_MS)
        actions += self.system.run(self.world, NOW_MS + TEST_LIMIT_MS)
        (sent,) = actions
        assert isinstance(sent.message, ReachReport)
        return sent.message


@pytest.fixture
def host():
    return Asked()


def test_a_service_that_was_heard_lately_is_reported_as_heard(host):
    report = host.report()
    assert (report.heard, report.refusing) == (("shard-0",), ())


def test_a_service_that_refuses_connections_is_not_reported_as_heard(host):
    for upstream in (FIRST, SECOND, THIRD):
        host.world.reach.refused(upstream, NOW_MS - 5.0)
    report = host.report()
    assert (report.heard, report.refusing) == ((), ("shard-0",))


def test_a_service_is_heard_if_one_of_its_upstreams_accepts_connections(host):
    for upstream in (FIRST, SECOND):
        host.world.reach.refused(upstream, NOW_MS - 5.0)
    report = host.report()
    assert (report.heard, report.refusing) == (("shard-0",), ("shard-0",))
