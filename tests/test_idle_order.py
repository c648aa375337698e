"""Check which connections are closed for new ones, and how many a surface takes."""

import resource

import pytest

from burdockmill.descriptors import SHARE_BY_SURFACE, connections_limit
from burdockmill.policies.idle_order import (
    SORT_INTERVAL_S,
    Idle,
    IdleKind,
    IdleOrder,
)

NEW, KEPT, BODY = IdleKind


def test_connections_are_named_by_what_they_wait_for_and_for_how_long():
    idle_by_name = {
        "body": Idle(BODY, 1.0),
        "busy": None,
        "kept": Idle(KEPT, 5.0),
        "kept for longer": Idle(KEPT, 2.0),
        "new": Idle(NEW, 9.0),
    }
    order = IdleOrder(idle_by_name.get)
    named = [order.take(idle_by_name, 10.0) for _ in range(4)]
    assert named == ["new", "kept for longer", "kept", "body"]


def test_a_connection_that_was_used_meanwhile_is_not_named():
    idle_by_name = {"a": Idle(KEPT, 1.0), "b": Idle(KEPT, 2.0), "c": Idle(KEPT, 3.0)}
    order = IdleOrder(idle_by_name.get)
    assert order.take(idle_by_name, 4.0) == "a"
    idle_by_name |= {"a": None, "b": Idle(KEPT, 4.0)}
    assert order.take(idle_by_name, 5.0) == "c"
    idle_by_name["c"] = None
    assert order.take(idle_by_name, 5.0) == "b"


def test_busy_connections_are_not_sorted_for_each_new_one():
    asked = []
    order = IdleOrder(asked.append)
    for _ in range(50):
        assert order.take(range(100), 1.0) is None
    assert len(asked) == 100
    order.take(range(100), 1.0 + SORT_INTERVAL_S)
    assert len(asked) == 200


def test_surfaces_leave_descriptors_for_connections_to_others():
    own, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    surfaces = ("ingress", "peer", "ready", "operator")
    taken = [connections_limit(one, 2_000, 256) for one in surfaces]
    assert taken == [128, 64, 16, 16]
    assert connections_limit("caller", 10**9) == own * SHARE_BY_SURFACE["caller"]
    assert connections_limit("ready", 5, 4_096) == 5


@pytest.mark.parametrize("stated", [1, 2])
def test_each_surface_takes_a_connection_however_few_the_descriptors(stated):
    assert connections_limit("ready", 2_000, stated) == 1
