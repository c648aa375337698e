"""Check that a restarted host does not go on with what a peer behind the others has."""

import pytest

from burdockmill.messages.catalog import Departed
from burdockmill.messages.events import CatalogRead
from tests.builders_fleet import Fleet, fleet_rules, revision_of
from tests.builders_forwarding import (
    make_delta,
    make_registration,
    make_single_route,
    replicas_of,
)
from tests.builders_limited_fleet import LimitedFleet
from tests.builders_limited_upstreams import LimitedUpstream

# The round trips to the first peer and to the newest one.
NEWEST_WITHIN_MS = 100.0
RESTARTED, STALE = "waw-a-0", "waw-a-2"


@pytest.mark.parametrize("seed", range(1, 41))
def test_a_withdrawn_rule_is_not_in_use_again_after_a_restart(seed):
    fleet = Fleet(seed=seed)
    fleet.run(3_000.0)
    readers = [fleet.readers(domain)[0] for domain in ("waw-a", "krk-a", "gda-a")]
    fleet.publish(fleet_rules(), 1, readers)
    fleet.run(3_000.0)
    fleet.links.group_by_host = {STALE: 1}
    fleet.run(200.0)
    fleet.publish(fleet_rules(), 2, [host for host in fleet.live if host != STALE])
    fleet.run(6_000.0)
    assert fleet.revisions()[STALE] == 1
    fleet.links.group_by_host = {}
    fleet.virtual.remove_host(RESTARTED)
    fleet.run(20.0)
    fleet.start(RESTARTED)
    fleet.run(NEWEST_WITHIN_MS)
    assert revision_of(fleet.world(RESTARTED)) == 2


@pytest.mark.parametrize("seed", range(1, 41))
def test_an_upstream_that_left_is_not_in_use_again_after_a_restart(seed):
    upstreams = [LimitedUpstream(one) for one in replicas_of("payroll")]
    fleet = LimitedFleet(make_single_route(), upstreams, seed=seed)
    fleet.run(3_000.0)
    one = make_registration()
    fleet.post_to_all(CatalogRead(make_delta(5, one, is_whole=True)))
    fleet.run(3_000.0 + fleet.now_ms)
    fleet.links.group_by_host = {STALE: 1}
    departed = make_delta(6, base=5, departed=(Departed(6, one.upstream),))
    fleet.post_to_all(CatalogRead(departed), but=STALE)
    fleet.run(6_000.0 + fleet.now_ms)
    assert one.upstream in fleet.catalog_of(STALE).registration_by_upstream
    fleet.links.group_by_host = {}
    fleet.virtual.remove_host(RESTARTED)
    fleet.run(20.0 + fleet.now_ms)
    fleet.start(RESTARTED)
    fleet.run(NEWEST_WITHIN_MS + fleet.now_ms)
    catalog = fleet.catalog_of(RESTARTED)
    assert catalog.revision == 6
    assert one.upstream not in catalog.registration_by_upstream
