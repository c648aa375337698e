"""Check the stop of a host that took requests over, or that handed them over."""

import asyncio
import json

import pytest

from tests.builders_forwarding_node import Site, until
from tests.test_relay import isolate

GRACE_MS = 1_500


@pytest.fixture
async def site():
    async with Site(hosts=2, stop_grace_ms=GRACE_MS, balancer_lag_ms=300) as running:
        await running.ready()
        hosts = [node.engine.world for node in running.nodes]
        await until(lambda: all(len(one.member_by_host) == 2 for one in hosts), "met")
        isolate(running.nodes[0])
        running.upstream_by_service["c"].delay_s = 30.0
        yield running


@pytest.mark.parametrize("stopping", ["entry", "other"])
@pytest.mark.parametrize("target", ["/once/x", "/fetch/x"])
async def test_a_handed_over_request_that_outlasts_the_grace_time_gets_an_answer(
    site, target, stopping
):
    upstream = site.upstream_by_service["c"]
    client = site.client()
    await client.send(target, method="POST", deadline_ms=20_000)
    await until(lambda: upstream.requests, "it arrives")
    node = site.nodes[0 if stopping == "entry" else 1]
    stop = asyncio.ensure_future(node.stop())
    answer = await client.read(limit_s=GRACE_MS / 1_000)
    await stop
    assert answer.status in {502, 504}
    assert json.loads(answer.body)["ran"] == "unknown"
    assert len(upstream.requests) == 1


async def test_a_stopping_entry_hands_no_request_over_that_it_cannot_finish(site):
    node, upstream = site.nodes[0], site.upstream_by_service["c"]
    client = site.client()
    await client.send("/once/x", "POST", deadline_ms=20_000, **{"Content-Length": 4})
    await until(lambda: node.ingress.requests_in_flight == 1, "its head arrives")
    stop = asyncio.ensure_future(node.stop())
    await asyncio.sleep(0.6 * GRACE_MS / 1_000)
    client.writer.write(b"body")
    answer = await client.read(limit_s=0.3)
    await stop
    assert answer.status == 503
    assert upstream.requests == []
    assert site.nodes[1].relay_server.counts["accepted"] == 0
