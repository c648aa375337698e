"""Check that no bytes of an upstream, a host or a client leave their boundary."""

import asyncio
from collections import Counter

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from multidict import CIMultiDict, CIMultiDictProxy

from burdockmill.clients._upstream_codec import WrongAnswerError, read_answer
from burdockmill.clients._upstream_health import read_health
from burdockmill.clients._upstream_pool import UpstreamPool
from burdockmill.clients.no_retry_session import HttpResponse, _idle_timeout_s
from burdockmill.clients.peer_client import PeerClient
from burdockmill.errors import BadRequestError, Ran
from burdockmill.forwarding.field_values import is_sendable
from burdockmill.forwarding.messages import AttemptEnd, UpstreamAnswer
from burdockmill.messages.actions import ReadHealth
from burdockmill.messages.events import UpstreamAnswered, UpstreamRefused
from burdockmill.platform.upstream_codec import PAUSE_LIMIT_MS, PlatformUpstreamCodec
from burdockmill.platform.wire_names import (
    LEAVING,
    LIMIT,
    NOT_RUN,
    RETRY_AFTER,
    STAMP,
)
from burdockmill.relay.messages import (
    RETRY_AFTER_LIMIT_MS,
    CatalogVersion,
    decode_reply,
    decode_request,
    encode,
    relayed_request,
    reply_of,
    result_of,
)
from burdockmill.rules.model import RequestKind
from tests.builders_cut_answers import Framing, platform_answer
from tests.builders_forwarding import make_request
from tests.builders_forwarding_node import Site, raw_request
from tests.builders_hostile_answers import (
    LONG_NUMBER,
    header_values,
    json_values,
    spoiled,
)
from tests.builders_platform import StandinUpstream
from tests.builders_wire import action_body, make_send, refusal_body, search_body
from tests.fakes import RawServer, http_reply
from tests.test_forwarding_client import Caller

HEADER_NAMES = (STAMP, NOT_RUN, RETRY_AFTER, "Connection", "Odd", *LEAVING, *LIMIT)
ANSWER = UpstreamAnswer(200, (("Odd", "a"),), b"body", "st.1")
REPLY = encode(*reply_of(ANSWER, CatalogVersion(7, 1, 40)))
REQUEST = encode(relayed_request(make_request(), "e1", 7), b"body")


@settings(max_examples=2_000)
@given(
    st.integers(200, 999),
    st.lists(st.tuples(st.sampled_from(HEADER_NAMES), header_values), max_size=5),
)
def test_any_headers_of_an_upstream_make_an_outcome(status, headers):
    received = CIMultiDictProxy(CIMultiDict(headers))
    outcome = PlatformUpstreamCodec().outcome(HttpResponse(status, b"", received))
    assert outcome.pause_ms is None or 0.0 <= outcome.pause_ms <= PAUSE_LIMIT_MS
    assert outcome.limit_per_s is None or outcome.limit_per_s >= 0.0
    if outcome.answer is not None:
        assert (STAMP, outcome.answer.stamp) in outcome.answer.headers
        for name, value in outcome.answer.headers:
            assert is_sendable(name)
            assert is_sendable(value)


@settings(max_examples=1_000)
@given(header_values)
def test_any_idle_time_of_an_upstream_is_a_time_or_none(value):
    timeout_s = _idle_timeout_s({"Keep-Alive": value})
    assert timeout_s is None or isinstance(timeout_s, float)


@settings(max_examples=2_000)
@given(
    st.sampled_from([200, 503, 409, 410]),
    st.sampled_from(RequestKind),
    st.one_of(
        spoiled([search_body(), action_body(), refusal_body()]),
        st.builds(
            lambda name, value: search_body(**{name: value}),
            st.sampled_from(["slots", "hits", "total", "snapshots", "draining"]),
            json_values.filter(lambda one: _encodes(one)),
        ),
    ),
)
def test_any_answer_of_the_own_protocol_is_read_or_wrong(status, kind, body):
    try:
        event = read_answer(make_send("127.0.0.1:1", kind), status, body)
    except WrongAnswerError:
        return
    assert isinstance(event, UpstreamAnswered | UpstreamRefused)
    if isinstance(event, UpstreamRefused):
        assert event.retry_after_ms is None or 0 <= event.retry_after_ms <= 600_000


def _encodes(value):
    try:
        msgspec.json.encode(value)
    except (OverflowError, UnicodeError):
        return False
    return True


@pytest.mark.parametrize("stated", ["-5", "9" * 400, "1" + "0" * 18])
def test_an_absurd_time_to_retry_after_is_bounded(stated):
    """It overflowed where the caller's error was written, who got 500."""
    body = refusal_body().replace(
        b'"retry_after_ms":20', f'"retry_after_ms":{stated}'.encode()
    )
    event = read_answer(make_send("127.0.0.1:1"), 503, body)
    assert isinstance(event, UpstreamRefused)
    assert 0 <= event.retry_after_ms <= 600_000


@settings(max_examples=2_000)
@given(spoiled([REPLY]))
def test_any_reply_of_a_host_is_decoded_or_malformed(data):
    try:
        reply, body = decode_reply(data)
    except msgspec.MsgspecError:
        return
    result = result_of(reply, body)
    if isinstance(result, UpstreamAnswer):
        assert result.stamp
    assert 0 <= (reply.retry_after_ms or 0) <= RETRY_AFTER_LIMIT_MS


@settings(max_examples=2_000)
@given(spoiled([REQUEST]))
def test_any_hand_over_is_decoded_or_refused(data):
    try:
        decode_request(data)
    except BadRequestError as error:
        assert error.ran is Ran.NO


@pytest.mark.parametrize(
    "body",
    [
        b'{"x":' + b"[" * 100_000,
        b"\xff",
        b'{"incarnation":"a","snapshots":[' + LONG_NUMBER.encode() + b"]}",
        b'{"incarnation":5,"snapshots":[1],"draining":false}',
    ],
    ids=["deep", "not utf-8", "long number", "mistyped"],
)
async def test_a_health_answer_that_cannot_be_read_is_a_failed_check(body):
    counts = Counter()
    async with RawServer(http_reply(body)) as server:
        pool = UpstreamPool(server.address, 1, counts)
        event = await read_health(pool, ReadHealth("u1", server.address), counts)
        await pool.close()
    assert event.snapshots is None
    assert counts["health_failed"] == 1


@pytest.mark.parametrize("body", [b'{"x":' + b"[" * 100_000, b'{"x":"\xff"}'])
async def test_an_explanation_that_cannot_be_read_is_none(body):
    async with RawServer(http_reply(body)) as server:
        peers = PeerClient("e1", "", lambda _: None)
        assert await peers.explain(server.address, "r-1") is None
        await peers.close()
    assert peers.counts["explain_failed"] == 1


WHOLE_ANSWERS = [
    platform_answer(framing, {"id": "r-hostile"}, b"sixteen bytes ok").data
    for framing in Framing
]


async def test_any_bytes_of_an_upstream_end_their_attempt_and_the_next_is_served():
    """Each attempt ends within its deadline, and no task is left behind."""
    async with StandinUpstream("u-1", b"good") as upstream:
        caller = Caller(upstream)

        async def exchange(data):
            async def script(self, request, writer):
                writer.write(data)
                await writer.drain()
                return True

            upstream.script = script
            outcome = await caller.send("r-hostile", left_ms=60_000.0)
            if outcome.end is AttemptEnd.ANSWERED:
                assert is_sendable(outcome.answer.stamp)
            upstream.script = None
            good = await caller.send()
            assert (good.end, good.answer.body) == (AttemptEnd.ANSWERED, b"good")

        loop = asyncio.get_running_loop()
        before = len(asyncio.all_tasks())

        @settings(max_examples=300)
        @given(spoiled(WHOLE_ANSWERS))
        def check(data):
            asyncio.run_coroutine_threadsafe(exchange(data), loop).result(10.0)

        await asyncio.to_thread(check)
        await caller.client.close()
        await asyncio.sleep(0.05)
        assert len(asyncio.all_tasks()) <= before + 2


@pytest.mark.parametrize(
    "rest",
    [
        b"zz\r\nbody\r\n",
        b"4\r\nbodyXX\r\n",
        b"4\r\nbody\r\nffffffffffffffffffff\r\n",
        b"4\r\nbody\r\n0\r\nBad trailer\r\n\r\n",
    ],
)
async def test_a_malformed_chunk_after_the_head_ends_its_attempt_at_once(rest):
    """The attempt went on until its deadline, on a connection that was closed."""
    async with StandinUpstream("u-1") as upstream:
        caller = Caller(upstream)

        async def script(self, request, writer):
            whole = platform_answer(Framing.CHUNKED, request, b"body")
            writer.write(whole.data[: whole.body_start])
            await asyncio.sleep(0.05)
            writer.write(rest)
            await asyncio.sleep(1.0)
            return True

        upstream.script = script
        outcome = await asyncio.wait_for(caller.send(left_ms=60_000.0), 0.8)
        assert outcome.end is AttemptEnd.WRONG_ANSWER
        await caller.client.close()


async def test_any_bytes_of_a_client_leave_its_host_serving_others():
    """What arrives at the upstream has an id that was sent."""
    async with Site() as site:
        await site.ready()
        upstream = site.upstream_by_service["c"]
        host, port = site.nodes[0].settings.ingress_address.split(":")
        plain = raw_request(b"id-1", headers=b"Odd: 1\r\n")

        async def exchange(data):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(data)
            writer.write_eof()
            try:
                answer = await asyncio.wait_for(reader.read(), 5.0)
            except ConnectionError:
                answer = b""
            writer.close()
            assert not answer or answer.startswith(b"HTTP/1."), answer
            for request in upstream.requests:
                assert request["id"].encode("utf-8", "surrogateescape") in data
            upstream.requests.clear()

        loop = asyncio.get_running_loop()

        @settings(max_examples=300)
        @given(spoiled([plain, plain.replace(b"Ms: 1000", b"Ms: 99999")]))
        def check(data):
            asyncio.run_coroutine_threadsafe(exchange(data), loop).result(10.0)

        await asyncio.to_thread(check)
        upstream.requests.clear()
        assert (await site.client().ask("/fetch/x")).status == 200
