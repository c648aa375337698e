"""Check forwarding hosts as clients, upstreams and operators see them."""

import asyncio
import gc
import json
import urllib.request

import pytest

from burdockmill.code_digest import code_digest
from burdockmill.forwarding.request_run import RequestRun
from tests.builders_addresses import free_address
from tests.builders_forwarding_node import Site, until
from tests.builders_platform import search_route, single_route


@pytest.fixture
async def site():
    async with Site() as started:
        await started.ready()
        yield started


def stamps_of(answer):
    return answer.headers["x-burdockmill-part-stamps"].split(", ")


async def test_a_search_is_answered_from_every_shard(site):
    answer = await site.client().ask("/overlap/2f")
    assert answer.status == 200
    assert answer.body == b"b" * 16 + b"a" * 16
    assert answer.headers["x-burdockmill-parts-missing"] == "0"
    assert len(stamps_of(answer)) == 2


async def test_method_path_query_headers_and_body_reach_the_upstream(site):
    answer = await site.client().ask(
        "/fetch/%2F..%20x?q=%41&r=/a//b",
        body=b"a body on GET",
        Extra="kept",
        Connection="keep-alive, Private",
        Private="dropped",
        **{"Accept-Encoding": "identity"},
    )
    assert answer.body == b"c" * 16
    [request] = site.upstream_by_service["c"].requests
    assert request["target"] == "/fetch/%2F..%20x?q=%41&r=/a//b"
    assert request["body"] == b"a body on GET"
    assert request["headers"]["extra"] == "kept"
    assert "private" not in request["headers"]
    assert "user-agent" not in request["headers"]
    assert request["left_ms"] <= 1_000


async def test_connections_to_shards_are_open_before_the_first_search(site):
    upstreams = [site.upstream_by_service[name] for name in ("a", "b")]
    await until(lambda: all(one.connections for one in upstreams), "connections open")
    await site.client().ask("/overlap/2f")
    assert [one.connections for one in upstreams] == [1, 1]


async def test_a_chunked_body_arrives_whole(site):
    client = site.client()
    await client.send("/once/x", method="POST", **{"Transfer-Encoding": "chunked"})
    client.writer.write(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert (await client.read()).status == 200
    assert site.upstream_by_service["c"].requests[0]["body"] == b"abcde"


async def test_an_upstreams_error_response_is_returned_unchanged(site):
    async def script(self, request, writer):
        writer.write(self.answer(request, b"why", "500 Failed"))

    site.upstream_by_service["c"].script = script
    answer = await site.client().ask("/once/x", method="POST")
    assert (answer.status, answer.body) == (500, b"why")
    assert "x-burdockmill-server-stamp" in answer.headers


async def test_a_request_of_no_route_is_not_found_and_a_body_above_the_limit_refused(
    site,
):
    assert (await site.client().ask("/nowhere/x")).status == 404
    assert (await site.client().ask("/once/x", body=b"x" * 1_001)).status == 413
    assert site.upstream_by_service["c"].requests == []


async def test_a_request_to_a_full_service_is_refused_with_a_retry_time(site):
    async def script(self, request, writer):
        extra = "X-Burdockmill-Not-Executed: 1\r\n"
        writer.write(self.answer(request, b"", "503 Busy", extra))

    site.upstream_by_service["c"].script = script
    answer = await site.client().ask("/once/x", method="POST")
    assert answer.status == 503
    assert 0.0 < float(answer.headers["retry-after"]) < 0.34
    body = json.loads(answer.body)
    assert body["ran"] == "no"


async def test_a_refused_request_is_freed_without_garbage_collection(site):
    """Its error's traceback had the request, and the request's run had the error."""

    async def reject(self, request, writer):
        extra = "X-Burdockmill-Not-Executed: 1\r\n"
        writer.write(self.answer(request, b"", "503 Busy", extra))

    def runs():
        return [one for one in gc.get_objects() if isinstance(one, RequestRun)]

    site.upstream_by_service["c"].script = reject
    gc.collect()
    gc.disable()
    try:
        assert (await site.client().ask("/fetch/x")).status == 503
        await until(lambda: not runs(), "it is freed", 2.0)
    finally:
        gc.enable()


async def test_a_service_that_asked_for_a_pause_is_refused_until_it_ends(site):
    upstream = site.upstream_by_service["c"]

    async def script(self, request, writer):
        extra = "X-Burdockmill-Not-Executed: 1\r\nRetry-After: 0.6\r\n"
        writer.write(self.answer(request, b"", "503 Busy", extra))

    upstream.script = script
    client = site.client()
    assert (await client.ask("/once/x", method="POST")).status == 503
    upstream.script = None
    arrived = len(upstream.requests)
    answer = await client.ask("/fetch/x", deadline_ms=3_000)
    assert answer.status == 503
    assert 0.3 < float(answer.headers["retry-after"]) < 0.7
    assert len(upstream.requests) == arrived
    await asyncio.sleep(float(answer.headers["retry-after"]))
    assert (await client.ask("/fetch/x", deadline_ms=3_000)).status == 200


async def test_an_upstream_that_says_it_is_leaving_gets_no_work_after_a_while():
    async with Site(change_limit_ms=1_000) as site:
        await site.ready()
        upstream = site.upstream_by_service["c"]

        async def script(self, request, writer):
            writer.write(self.answer(request, extra="Server-Leaving: 1\r\n"))

        upstream.script = script
        client = site.client()
        assert (await client.ask("/fetch/x")).status == 200
        # No other upstream serves the route, so it is used for a little longer.
        assert (await client.ask("/fetch/x")).status == 200
        await asyncio.sleep(0.45)
        arrived = len(upstream.requests)
        answer = await client.ask("/fetch/x")
        assert answer.status == 503
        assert json.loads(answer.body)["ran"] == "no"
        assert len(upstream.requests) == arrived
        # The same address serves another incarnation.
        upstream.script = None
        site.register("c", born=1_784_828_200_000)
        catalog = site.nodes[0].engine.world.catalog
        await until(lambda: catalog.revision == site.store.revision, "it registers")
        assert (await client.ask("/fetch/x")).status == 200


async def test_the_disconnection_of_a_client_cancels_its_request(site):
    upstream = site.upstream_by_service["c"]
    upstream.delay_s = 5.0
    client = site.client()
    await client.send("/fetch/x", deadline_ms=4_000)
    await until(lambda: upstream.requests, "the request arrives")
    client.close()

    def is_stopped():
        return not site.nodes[0].data_path.forwarder.open_runs

    await until(is_stopped, "the run ends", 0.5)
    assert site.nodes[0].data_path.forwarder.counts["clients_gone"] == 1
    assert not site.nodes[0].data_path.client._in_flight


async def test_a_configuration_that_removes_a_route_is_applied(site):
    client = site.client()
    assert (await client.ask("/fetch/x")).status == 200
    site.publish(8, [search_route(["a", "b"])])
    catalog = site.nodes[0].engine.world.catalog
    await until(lambda: catalog.tables.version == 8, "version 8 is active", 2.0)
    assert (await client.ask("/fetch/x")).status == 404


async def test_an_older_version_written_later_is_ignored(site):
    site.publish(5, [search_route(["a", "b"])])
    before = site.store.revision
    site.register("a")
    catalog = site.nodes[0].engine.world.catalog
    await until(lambda: catalog.revision > before, "the change arrives")
    assert catalog.tables.version == 7


async def test_a_draining_upstream_gets_no_new_work(site):
    site.register("c", state="draining")
    catalog = site.nodes[0].engine.world.catalog
    await until(
        lambda: catalog.registration_by_upstream["u-c"].draining,
        "the draining state arrives",
    )
    answer = await site.client().ask("/once/x", method="POST")
    assert answer.status == 503
    assert site.upstream_by_service["c"].requests == []


async def test_the_store_is_read_again_after_its_history_was_compacted(site):
    site.store.compact()
    site.register("a", slots=5)
    site.store.compact()
    catalog = site.nodes[0].engine.world.catalog
    await until(
        lambda: catalog.registration_by_upstream["u-a"].slots == 5, "the change arrives"
    )


async def test_another_incarnation_of_an_upstream_has_no_observations(site):
    client = site.client()
    await client.ask("/fetch/x")
    node = site.nodes[0]
    assert node.data_path.observations.of("u-c").latency_ms is not None
    site.register("c", born=1_999_999_999_999)
    await until(
        lambda: node.data_path.observations.of("u-c").latency_ms is None,
        "its observations are reset",
    )
    assert (await client.ask("/fetch/x")).status == 200


async def test_a_host_that_cannot_reach_the_store_gets_changes_from_its_peers():
    async with Site(hosts=1) as site:
        await site.ready()
        isolated = await site.start(free_address(), store_address=free_address())
        catalog = isolated.engine.world.catalog
        await until(lambda: catalog.tables is not None, "its peer sends the catalog")
        site.publish(8, [single_route("c")])
        await until(lambda: catalog.tables.version == 8, "version 8 arrives", 3.0)
        site.register("c", state="draining")
        await until(
            lambda: catalog.registration_by_upstream["u-c"].draining,
            "the draining state arrives",
            3.0,
        )


async def test_a_host_that_starts_before_the_first_configuration_misses_nothing():
    async with Site(is_empty=True) as site:
        catalog = site.nodes[0].engine.world.catalog
        for service in ("a", "b", "c"):
            site.register(service)
        site.publish()
        await site.ready()
        await until(
            lambda: catalog.revision == site.store.revision, "no gap is left", 2.0
        )


async def test_one_host_of_a_domain_reads_the_store():
    async with Site(hosts=3) as site:
        await site.ready()
        await until(
            lambda: all(
                node.engine.world.live_host_count() == 3 for node in site.nodes
            ),
            "all hosts discover each other",
        )
        await asyncio.sleep(1.5)
        before = [node.source.counts["calls"] for node in site.nodes]
        await asyncio.sleep(2.0)
        after = [node.source.counts["calls"] for node in site.nodes]
        reading = [one - two for one, two in zip(after, before, strict=True)]
        assert sum(count > 0 for count in reading) == 1


async def test_when_the_reader_cannot_reach_the_store_others_read_it_within_the_limit():
    async with Site(hosts=3) as site:
        await site.ready()
        nodes = site.nodes
        await until(
            lambda: all(node.engine.world.live_host_count() == 3 for node in nodes),
            "all hosts discover each other",
        )
        await asyncio.sleep(1.0)
        reader = max(nodes, key=lambda node: node.source.counts["calls"])
        reader.source._address = free_address()
        await asyncio.sleep(1.2)
        site.publish(8, [single_route("c")])
        await until(
            lambda: all(
                node.engine.world.catalog.tables.version == 8 for node in nodes
            ),
            "all hosts have version 8",
            3.0,
        )


async def test_a_store_that_restarts_from_a_copy_is_read_whole_by_few_hosts():
    async with Site(hosts=6) as site:
        await site.ready()
        nodes = site.nodes
        await until(
            lambda: all(node.engine.world.live_host_count() == 6 for node in nodes),
            "all hosts discover each other",
        )
        site.publish(8)
        copied = site.store.copy()
        site.publish(9)
        site.register("a", version="v2")
        catalogs = [node.engine.world.catalog for node in nodes]
        await until(lambda: all(one.version == 9 for one in catalogs), "version 9")
        # Every host watches the store for itself once it is silent for long enough.
        site.store.refusal = 503
        await asyncio.sleep(2.0)
        before = site.store.calls_by_path["/kv-range"]
        site.store.restart_from(copied)
        site.store.refusal = None
        await until(
            lambda: all(one.era == 1 for one in catalogs), "all are in era 1", 4.0
        )
        assert all(one.version == 9 for one in catalogs)
        # Two calls read the configuration and the registrations.
        assert site.store.calls_by_path["/kv-range"] - before <= 3 * 2
        site.publish(10)
        await until(lambda: all(one.version == 10 for one in catalogs), "version 10")
        assert {one.position for one in catalogs} == {(1, site.store.revision)}


async def test_a_graceful_stop_answers_received_requests_and_closes_idle_connections(
    site,
):
    node = site.nodes[0]
    upstream = site.upstream_by_service["c"]
    idle, busy = site.client(), site.client()
    await idle.ask("/fetch/x")
    upstream.delay_s = 0.5
    await busy.send("/once/x", method="POST", deadline_ms=3_000)
    await until(lambda: len(upstream.requests) == 2, "the request arrives")
    stopping = asyncio.ensure_future(node.stop())
    await asyncio.sleep(0)
    assert not node.ready
    answer = await busy.read()
    assert answer.status == 200
    assert answer.headers["connection"] == "close"
    assert await idle.reader.read() == b""
    await stopping


async def test_operators_read_metrics_status_and_explanations(site):
    client = site.client()
    await client.ask("/overlap/2f")
    node = site.nodes[0]
    base = f"http://{node.settings.operator_address}"

    def fetch(path):
        return urllib.request.urlopen(base + path, timeout=5).read().decode()

    metrics = await asyncio.to_thread(fetch, "/metrics")
    assert 'burdockmill_answer_seconds_count{host="' in metrics
    assert 'kind="search",outcome="complete"' in metrics
    status = json.loads(await asyncio.to_thread(fetch, "/v1/status"))
    assert (status["state"], status["configuration"]) == ("ready", 7)
    assert status["code"] == code_digest()
    assert len(status["upstreams"]) == 3
    name = f"id-{id(client)}-1"
    explained = json.loads(await asyncio.to_thread(fetch, f"/v1/explain/{name}"))
    assert [made["part"] for made in explained["decisions"]] == ["answer"]


async def test_readiness_follows_the_catalog_and_the_stop():
    async with Site(hosts=0) as site:
        node = await site.start(free_address(), store_address=free_address())
        answer = await site.client(node).ask("/fetch/x")
        assert answer.status == 503
        assert json.loads(answer.body)["kind"] == "not_ready"
        assert not node.ready


async def test_a_host_that_is_stopped_while_it_starts_stops_cleanly():
    async with Site(hosts=0) as site:
        starting = asyncio.ensure_future(
            site.start(free_address(), store_address=free_address())
        )
        await until(lambda: site.nodes, "the host starts")
        await asyncio.sleep(0.05)
        await site.nodes[0].stop()
        await asyncio.gather(starting, return_exceptions=True)
