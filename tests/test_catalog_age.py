"""Check that a host reports at once when its catalog may be out of date."""

import random

import pytest

from burdockmill.fleet_core import make_fleet_engine
from burdockmill.messages.actions import LogDecision
from burdockmill.messages.events import (
    CatalogConfirmed,
    CatalogRead,
    HostStarted,
    PeerRevisionReceived,
)
from burdockmill.systems._ring import Ring
from burdockmill.tables.rows import MemberRow
from tests.builders_forwarding import make_delta, make_tables

LIMIT_MS = 3_000.0
TICK_MS = 100.0


@pytest.fixture
def engine():
    engine = make_fleet_engine("e0", "waw-a", random.Random(1), Ring(), LIMIT_MS)
    engine.post(HostStarted(MemberRow("e0", "waw-a", "", "127.0.0.1:1", 1), ()))
    whole = make_delta(5, is_whole=True, tables=make_tables(5), tables_revision=5)
    engine.post(CatalogRead(whole))
    engine.post(CatalogConfirmed(0.0))
    engine.tick(0.0)
    return engine


def choices_until(engine, from_ms, until_ms):
    """Tick until a time; return what the host logs of its catalog's age."""
    actions = []
    now_ms = from_ms
    while now_ms < until_ms:
        now_ms += TICK_MS
        actions += engine.tick(now_ms)
    return [
        action.choice
        for action in actions
        if isinstance(action, LogDecision) and "confirmed" in action.choice
    ]


def test_a_catalog_that_nobody_confirms_is_reported_once_until_it_is_again(engine):
    assert choices_until(engine, 0.0, 2_900.0) == []
    old = ["catalog not confirmed for 3000 ms"]
    assert choices_until(engine, 2_900.0, 3_000.0) == old
    assert choices_until(engine, 3_000.0, 6_500.0) == []
    engine.post(CatalogConfirmed(6_500.0))
    assert choices_until(engine, 6_500.0, 9_000.0) == ["catalog confirmed again"]


def test_a_host_states_since_when_it_lacks_what_a_peer_has(engine):
    fleet = engine.world.fleet
    assert fleet.behind_since_ms is None
    engine.post(PeerRevisionReceived("e1", 6))
    engine.tick(100.0)
    engine.tick(2_000.0)
    assert fleet.behind_since_ms == 100.0
    engine.post(CatalogRead(make_delta(6, base=5)))
    engine.tick(2_100.0)
    assert fleet.behind_since_ms is None
