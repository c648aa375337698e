"""Replay loads on fleets whose upstreams name the rate that they take together."""

import pytest

from tests.builders_forwarding import make_single_route, replicas_of
from tests.builders_limited_fleet import (
    LimitedFleet,
    LimitedUpstream,
    allowed_in_window,
)

SERVICE = "payroll"
# Hosts have this time from the first answer that names a limit until it holds.
SETTLE_MS = 5_000.0


def make_upstreams():
    return [LimitedUpstream(one) for one in replicas_of(SERVICE)]


@pytest.mark.known_red
def test_a_limited_upstream_is_not_sent_more_than_its_limit():
    upstreams = make_upstreams()
    upstreams[0].name_limit(2_000.0, 16.0)
    fleet = LimitedFleet(make_single_route(), upstreams)
    fleet.load(120.0, 500.0, 16_000.0).run(18_000.0)
    most = upstreams[0].most_in_window(2_000.0 + SETTLE_MS)
    assert most <= allowed_in_window(16.0)
    assert fleet.served() > 0.99
