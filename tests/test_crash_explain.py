"""Check what clients and operators learn of a request that is held back."""

import json

import pytest

from burdockmill.forwarding.request_digest import RequestDigest
from burdockmill.policies.crash_blame import HELD_DEPTH
from tests.builders_forwarding import make_registration
from tests.builders_forwarding_node import Site, until

TARGET = "/fetch/crash"


@pytest.fixture
async def site():
    async with Site(hosts=2) as started:
        await started.ready()
        yield started


async def hold_back(site, node, target=TARGET):
    """Let a host see three crashes of one request; return its digest."""
    upstream = site.upstream_by_service["c"]

    async def cut(self, request, writer):
        writer.close()
        return True

    upstream.script = cut
    answer = await site.client(node).ask(target)
    assert answer.status == 502
    [row] = [row for row in node.engine.world.suspects if "/" not in row.key]
    digest = RequestDigest(row.key)
    for number in range(HELD_DEPTH):
        crashed = make_registration(f"crashed-{number}")
        guard = node.data_path.guard
        guard.crashed(digest, crashed, guard.depth(digest), node.clock.now_ms())
    upstream.script = None
    return digest


async def test_a_request_held_back_is_refused_by_all_hosts_and_explained(site):
    first, second = site.nodes
    digest = await hold_back(site, first)
    await until(lambda: second.data_path.guard.is_held(digest), "the news arrives")
    upstream = site.upstream_by_service["c"]
    arrived = len(upstream.requests)
    for node in site.nodes:
        answer = await site.client(node).ask(TARGET)
        assert answer.status == 503
        body = json.loads(answer.body)
        assert (body["kind"], body["ran"]) == ("crashing_request", "no")
        assert float(answer.headers["retry-after"]) >= 1.0
        # Another request to the same service is served.
        assert (await site.client(node).ask("/fetch/other")).status == 200
        [held] = node.status()["requests_held_back"]
        assert held["digest"] == digest
        assert {crash[1] for crash in held["crashes"]} == {first.settings.host}
        [last] = node.decisions.decisions_of(body["request_id"])
        assert last.inputs["digest"] == digest
        # That of the upstream which still answers may have been taken back.
        named = {crash[0] for crash in last.inputs["suspicion"]["crashes"]}
        assert named - {"u-c"} == {f"crashed-{n}" for n in range(HELD_DEPTH)}
    assert len(upstream.requests) == arrived + len(site.nodes)
    text, _ = second.metrics_text(())
    assert b'name="held_back",part="suspects"' in text


async def test_an_answer_of_another_caller_clears_nothing(site):
    node = site.nodes[0]
    digest = await hold_back(site, node)
    answer = await site.client(node).ask(TARGET, Authorization="Bearer other")
    assert answer.status == 200
    assert node.data_path.guard.is_held(digest)
