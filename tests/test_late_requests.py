"""Check what a stopping host does with requests that it cannot finish in its time."""

import asyncio
import json
import math

import pytest

from burdockmill.policies.late_admission import LateRequest, StopTimes, may_finish
from tests.builders_forwarding_node import Site, until

GRACE_MS = 1_500
LAG_MS = 300
STOP = StopTimes(begun_ms=10_000.0, answered_ms=15_600.0)


@pytest.fixture
async def site():
    async with Site(
        single="c", stop_grace_ms=GRACE_MS, balancer_lag_ms=LAG_MS
    ) as running:
        await running.ready()
        yield running


def arrives(after_ms, upstream_ms, is_idempotent, final_after_ms=math.inf):
    now_ms = STOP.begun_ms + after_ms
    return LateRequest(now_ms, now_ms + final_after_ms, is_idempotent, upstream_ms)


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize(
    ("upstream_ms", "last_taken_ms"),
    [(50.0, 5_500), (1_000.0, 4_500), (3_500.0, 2_000), (4_500.0, 1_000), (6e3, None)],
)
def test_requests_are_taken_as_long_as_their_upstream_can_answer_before_the_end(
    upstream_ms, last_taken_ms, is_idempotent
):
    taken = [
        after_ms
        for after_ms in range(0, 6_100, 100)
        if may_finish(arrives(after_ms, upstream_ms, is_idempotent), STOP)
    ]
    expected = [] if last_taken_ms is None else list(range(0, last_taken_ms + 1, 100))
    assert taken == expected


def test_a_request_whose_deadline_is_before_the_end_is_taken():
    assert may_finish(arrives(5_000, 10_000.0, False, final_after_ms=600.0), STOP)
    assert not may_finish(arrives(5_000, 10_000.0, False, final_after_ms=601.0), STOP)


def test_without_known_latencies_only_repeatable_requests_are_taken_early():
    assert may_finish(arrives(0, None, True), STOP)
    assert not may_finish(arrives(3_000, None, True), STOP)
    assert not may_finish(arrives(0, None, False), STOP)


async def stop_and_wait(node, part):
    """Start the stop of a host; return its task after a part of the grace time."""
    stopping = asyncio.ensure_future(node.stop())
    await asyncio.sleep(part * GRACE_MS / 1_000)
    return stopping


async def begin_post(client, target, length, deadline_ms=5_000):
    """Send the head of a request, and nothing of its body."""
    # The length is not that of what is sent so far.
    await client.send(
        target, "POST", deadline_ms=deadline_ms, **{"Content-Length": length}
    )


@pytest.mark.parametrize("target", ["/once/x", "/fetch/x"])
async def test_a_late_request_that_would_outlast_the_host_is_refused_and_never_run(
    site, target
):
    node, upstream = site.nodes[0], site.upstream_by_service["c"]
    upstream.delay_s = 3.0
    client = site.client()
    await begin_post(client, target, 4)
    await until(lambda: node.ingress.requests_in_flight == 1, "its head arrives")
    stopping = await stop_and_wait(node, 0.6)
    client.writer.write(b"body")
    answer = await client.read(limit_s=0.3)
    assert answer.status == 503
    assert json.loads(answer.body)["ran"] == "no"
    assert 0.0 < float(answer.headers["retry-after"]) <= 0.1
    assert answer.headers["connection"] == "close"
    await stopping
    assert upstream.requests == []


async def test_a_late_request_that_its_upstream_answers_quickly_is_served(site):
    node, upstream = site.nodes[0], site.upstream_by_service["c"]
    client = site.client()
    for _ in range(30):
        assert (await site.client().ask("/once/x", method="POST")).status == 200
    arrived = len(upstream.requests)
    await begin_post(client, "/once/x", 4)
    await until(lambda: node.ingress.requests_in_flight == 1, "its head arrives")
    stopping = await stop_and_wait(node, 0.6)
    client.writer.write(b"body")
    answer = await client.read()
    assert (answer.status, answer.body) == (200, b"c" * 16)
    await stopping
    assert len(upstream.requests) == arrived + 1
    # Its upstream knows how long there is somebody to answer to.
    assert upstream.requests[-1]["left_ms"] < 0.4 * GRACE_MS


@pytest.mark.parametrize("target", ["/once/x", "/fetch/x"])
async def test_a_request_that_outlasts_the_grace_time_gets_an_answer(site, target):
    node, upstream = site.nodes[0], site.upstream_by_service["c"]
    upstream.delay_s = 30.0
    client = site.client()
    await client.send(target, method="POST", deadline_ms=20_000)
    await until(lambda: upstream.requests, "it arrives")
    stopping = asyncio.ensure_future(node.stop())
    answer = await client.read(limit_s=GRACE_MS / 1_000)
    assert answer.status == 504
    assert json.loads(answer.body)["ran"] == "unknown"
    await stopping


async def test_a_search_that_outlasts_the_grace_time_is_answered_in_part(site):
    node = site.nodes[0]
    site.upstream_by_service["a"].delay_s = 30.0
    site.publish(
        8,
        [
            {
                "name": "r-slow",
                "host": "leave.example",
                "prefix": "/slow/",
                "type": "safe",
                "timeout-ms": 20_000,
                "latency-goal-ms": 19_000,
                "priority": 1,
                "gather": ["a", "b"],
                "max-attempts": 1,
                "top-k": 10,
                "min-coverage": 0.5,
            }
        ],
    )
    await until(lambda: node.engine.world.catalog.version == 8, "version 8")
    client = site.client()
    await client.send("/slow/x", deadline_ms=20_000)
    await until(lambda: site.upstream_by_service["b"].requests, "it arrives")
    stopping = asyncio.ensure_future(node.stop())
    answer = await client.read(limit_s=GRACE_MS / 1_000)
    assert (answer.status, answer.body) == (200, b"b" * 16)
    assert answer.headers["x-burdockmill-parts-missing"] == "1"
    await stopping


async def test_a_request_whose_body_never_ends_is_refused_before_the_host_ends(site):
    node, upstream = site.nodes[0], site.upstream_by_service["c"]
    client = site.client()
    await begin_post(client, "/once/x", 400, deadline_ms=20_000)
    client.writer.write(b"the first bytes")
    await until(lambda: node.ingress.requests_in_flight == 1, "its head arrives")
    stopping = asyncio.ensure_future(node.stop())
    answer = await client.read(limit_s=GRACE_MS / 1_000)
    assert answer.status == 503
    assert json.loads(answer.body)["ran"] == "no"
    await stopping
    assert upstream.requests == []


async def test_pipelined_requests_of_a_stopping_host_all_get_answers(site):
    node, upstream = site.nodes[0], site.upstream_by_service["c"]
    upstream.delay_s = 0.1
    client = site.client()
    for _ in range(3):
        await client.send("/fetch/x")
    await until(lambda: upstream.requests, "the first arrives")
    stopping = asyncio.ensure_future(node.stop())
    answers = [await client.read() for _ in range(3)]
    assert [one.status for one in answers] == [200, 200, 200]
    assert answers[-1].headers["connection"] == "close"
    assert await client.reader.read() == b""
    await stopping
