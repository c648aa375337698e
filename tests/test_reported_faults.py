"""Check faults that operators of similar systems reported."""

import asyncio
import json

import pytest

from burdockmill.clients.catalog_source import StoreError
from burdockmill.forwarding.messages import AttemptEnd
from burdockmill.platform.store_source import StoreSource
from tests.builders_forwarding_node import Site
from tests.builders_platform import StandinUpstream
from tests.test_forwarding_client import Caller

NOT_RUN = "X-Burdockmill-Not-Executed: 1\r\n"


@pytest.fixture
async def upstream():
    async with StandinUpstream("u-1") as started:
        yield started


@pytest.fixture
async def caller(upstream):
    made = Caller(upstream)
    yield made
    await made.client.close()


@pytest.fixture
async def site():
    async with Site() as made:
        await made.ready()
        yield made


def without_id(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if b"Request-Id" not in line]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def test_a_late_copy_that_lost_its_id_is_not_the_next_requests_answer(
    upstream, caller
):
    """The copy says that nothing ran, but the request that waits is running."""

    async def script(self, request, writer):
        if len(self.requests) == 1:
            writer.write(self.answer(request))
            return
        writer.write(without_id(self.answer(request, b"", "503 Busy", NOT_RUN)))
        await asyncio.sleep(0.05)
        writer.write(self.answer(request))

    upstream.script = script
    assert (await caller.send()).end is AttemptEnd.ANSWERED
    outcome = await caller.send(method="POST")
    assert not outcome.end.certainly_not_run
    assert outcome.answer is None


async def test_answers_of_an_upstream_that_never_states_ids_are_accepted(
    upstream, caller
):
    async def script(self, request, writer):
        writer.write(without_id(self.answer(request)))

    upstream.script = script
    for _ in range(3):
        assert (await caller.send()).end is AttemptEnd.ANSWERED
    assert upstream.connections == 1


def range_answer(keys, has_more):
    items = [{"key": key, "rev": 1, "value": ""} for key in keys]
    return {"items": items, "store-revision": 3, "has-more": has_more}


@pytest.mark.parametrize(
    "copies",
    [
        # the configuration's answer once more, in place of the registrations
        [range_answer(["op/config"], False)] * 2,
        # the first page of the registrations once more, in place of the second
        [
            range_answer(["op/config"], False),
            range_answer(["servers/a", "servers/b"], True),
            range_answer(["servers/a", "servers/b"], False),
        ],
    ],
)
async def test_a_second_copy_of_a_stores_answer_is_not_another_page(copies):
    """All upstreams would seem to have left, or stay in use although they had."""
    bodies = [json.dumps(one).encode() for one in copies]

    async def serve(reader, writer):
        try:
            for body in bodies:
                await reader.readuntil(b"\r\n\r\n")
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    source = StoreSource(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    with pytest.raises(StoreError):
        await source.read_all(1_000.0)
    await source.close()
    server.close()


async def test_a_connection_accepted_during_a_stop_gets_an_answer_to_its_first_request(
    site,
):
    """Under load, a client's first bytes arrive some time after its connection."""
    node = site.nodes[0]
    client = site.client()
    host, port = client.address.split(":")
    stopping = asyncio.create_task(node.stop())
    # The load balancer's lag is nearly over when the connection is accepted.
    await asyncio.sleep(0.09)
    client.reader, client.writer = await asyncio.open_connection(host, port)
    await asyncio.sleep(0.1)
    answer = await client.ask("/fetch/x")
    assert answer.status == 200
    assert answer.headers["connection"] == "close"
    await stopping


async def test_an_unexpected_error_of_a_codec_ends_its_attempt_alone(upstream, caller):
    """The upstream is not left with an attempt that never ends."""

    def fail(response):
        raise IndexError("unexpected")

    outcome_of = caller.client._codec.outcome
    caller.client._codec.outcome = fail
    outcome = await caller.send()
    assert outcome.end is AttemptEnd.BROKEN
    caller.client._codec.outcome = outcome_of
    assert (await caller.send()).end is AttemptEnd.ANSWERED


@pytest.mark.parametrize(
    "extra", ["Odd: \xff\xfe\r\n", "Odd: \x7f\r\n", "Odd:\r\n", "Connection: ,,\r\n"]
)
async def test_odd_headers_of_an_upstream_do_not_hide_its_answer(site, extra):
    async def script(self, request, writer):
        answer = self.answer(request, extra="MARK")
        writer.write(answer.replace(b"MARK", extra.encode("latin-1")))

    site.upstream_by_service["c"].script = script
    client = site.client()
    answer = await client.ask("/fetch/x")
    assert answer.status == 200
    assert answer.body == b"c" * 16
    site.upstream_by_service["c"].script = None
    assert (await site.client().ask("/fetch/x")).status == 200


@pytest.mark.parametrize("cut", [5, 20, 60, 100])
async def test_an_answer_that_ends_within_its_head_is_no_success(upstream, caller, cut):
    async def script(self, request, writer):
        writer.write(self.answer(request)[:cut])
        await writer.drain()
        return True

    upstream.script = script
    outcome = await caller.send()
    assert outcome.end in (AttemptEnd.WRONG_ANSWER, AttemptEnd.BROKEN)


@pytest.mark.parametrize("tail", [b"4\r\nbody\r\n", b"4\r\nbo", b"4\r\nbody\r\n0\r\n"])
async def test_a_chunked_answer_without_its_end_is_no_success(upstream, caller, tail):
    async def script(self, request, writer):
        head = self.answer(request, b"").replace(
            b"Content-Length: 0", b"Transfer-Encoding: chunked"
        )
        writer.write(head + tail)
        await writer.drain()
        return True

    upstream.script = script
    assert (await caller.send()).end is AttemptEnd.WRONG_ANSWER


async def test_a_lost_answer_of_a_request_that_may_run_once_is_not_called_not_run(site):
    upstream = site.upstream_by_service["c"]

    async def script(self, request, writer):
        return True

    upstream.script = script
    answer = await site.client().ask("/once/x", method="POST")
    assert answer.status == 502
    assert json.loads(answer.body)["ran"] == "unknown"
    assert len(upstream.requests) == 1
