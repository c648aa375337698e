import random

from burdockmill.readiness import HOLDINGS_WAIT_MS, Readiness
from burdockmill.rules.parser import parse_rules
from burdockmill.tables.rows import UpstreamRow
from burdockmill.world import World

RULES_ACTIVE_MS = 500.0


def make_world(*rows):
    world = World("e0", "waw-a", random.Random(1))
    world.rules = parse_rules("", 1).unwrap()
    world.fleet.active_since_ms = RULES_ACTIVE_MS
    world.upstream_by_id = {row.upstream: row for row in rows}
    return world


def test_a_host_without_rules_is_never_ready():
    world = make_world()
    world.rules = None
    assert not Readiness(world).is_ready(1e9)


def test_a_host_waits_for_the_snapshots_of_upstreams():
    world = make_world(UpstreamRow("u0", (2,)), UpstreamRow("u1"))
    readiness = Readiness(world)
    assert not readiness.is_ready(RULES_ACTIVE_MS + 1.0)
    world.upstream_by_id["u1"] = UpstreamRow("u1", (2,))
    assert readiness.is_ready(RULES_ACTIVE_MS + 2.0)


def test_a_host_does_not_wait_for_an_unreachable_upstream():
    world = make_world(UpstreamRow("u0", reachable=False))
    assert Readiness(world).is_ready(RULES_ACTIVE_MS)


def test_a_host_without_snapshots_is_ready_after_the_wait_limit():
    readiness = Readiness(make_world(UpstreamRow("u0")))
    assert not readiness.is_ready(RULES_ACTIVE_MS + HOLDINGS_WAIT_MS - 1.0)
    assert readiness.is_ready(RULES_ACTIVE_MS + HOLDINGS_WAIT_MS)


def test_a_ready_host_stays_ready_when_upstreams_are_added():
    world = make_world(UpstreamRow("u0", (2,)))
    readiness = Readiness(world)
    assert readiness.is_ready(RULES_ACTIVE_MS)
    world.upstream_by_id["u1"] = UpstreamRow("u1")
    assert readiness.is_ready(RULES_ACTIVE_MS + 1.0)
