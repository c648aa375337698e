"""Break answers off at every byte: none may look complete that is not."""

import asyncio
import itertools
from collections import Counter

import msgspec
import pytest
import uvloop

from burdockmill.clients.catalog_source import StoreError
from burdockmill.clients.relay_client import RelayClient
from burdockmill.clients.upstream_client import UpstreamClient
from burdockmill.clock import MonotonicClock
from burdockmill.errors import Ran
from burdockmill.forwarding.messages import AttemptEnd, UpstreamAnswer
from burdockmill.messages.events import UpstreamFailed
from burdockmill.platform.store_source import StoreSource
from burdockmill.relay.actions import RelayEnd, SendRelay
from burdockmill.relay.messages import CatalogVersion, encode, reply_of
from burdockmill.rules.model import RequestKind
from tests.builders_cut_answers import (
    CutEnd,
    CutServer,
    CuttingUpstream,
    Framing,
    break_off,
    framed,
    platform_answer,
)
from tests.builders_forwarding import make_request
from tests.builders_forwarding_node import Site
from tests.builders_platform import (
    StandinUpstream,
    entry_of,
    search_route,
    single_route,
)
from tests.builders_wire import (
    action_body,
    make_send,
    make_upstream_rule,
    search_body,
)
from tests.test_forwarding_client import Caller
from tests.test_relay import isolate

BODY = b"sixteen bytes ok"
# Statuses that promise that a request has not run.
PROMISES = (408, 421, 429, 503)
JSON_HEADER = "Content-Type: application/json\r\n"


@pytest.fixture(params=[asyncio.new_event_loop, uvloop.new_event_loop])
def runner(request):
    """Run coroutines on one of the loops; hosts use uvloop."""
    with asyncio.Runner(loop_factory=request.param) as started:
        yield started


@pytest.fixture
def uvloop_runner():
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as started:
        yield started


def every_cut(data):
    return itertools.product(range(len(data) + 1), CutEnd)


@pytest.mark.parametrize("is_reused", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("framing", Framing)
def test_an_answer_cut_off_anywhere_is_no_success(runner, framing, is_reused):
    runner.run(_cut_each_answer(framing, is_reused))


async def _cut_each_answer(framing, is_reused):
    async with StandinUpstream("u-1", BODY) as upstream:
        caller = Caller(upstream)
        plan = {}

        async def script(self, request, writer):
            whole = platform_answer(framing, request, BODY)
            if request["id"] not in plan:
                writer.write(self.answer(request))
                return False
            cut, end = plan[request["id"]]
            plan[request["id"]] = whole.body_until(framing, cut, end)
            await break_off(writer, whole.data[:cut], end)
            return True

        upstream.script = script
        example = platform_answer(framing, {"id": "cut-0000"}, BODY)
        for number, cut_end in enumerate(every_cut(example.data)):
            if is_reused:
                opened = upstream.connections
                assert (await caller.send()).end is AttemptEnd.ANSWERED
                assert upstream.connections == opened + 1
            request_id = f"cut-{number:04}"
            plan[request_id] = cut_end
            outcome = await caller.send(request_id, left_ms=60_000.0)
            expected = plan[request_id]
            if expected is None:
                ends = (AttemptEnd.WRONG_ANSWER, AttemptEnd.BROKEN)
                assert outcome.end in ends, (cut_end, outcome)
            else:
                assert outcome.end is AttemptEnd.ANSWERED, (cut_end, outcome)
                assert outcome.answer.body == expected, (cut_end, outcome)
            assert len(upstream.requests) == (number + 1) * (1 + is_reused)
        await caller.client.close()


@pytest.mark.parametrize("states_id", [True, False], ids=["id", "no id"])
@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKED, Framing.INTERIM])
def test_the_rest_of_a_second_copy_is_no_answer_to_the_next_request(
    runner, framing, states_id
):
    """The copy arrives in two pieces, the second once the next request is sent."""
    runner.run(_cut_each_copy(framing, states_id))


async def _cut_each_copy(framing, states_id):
    async with StandinUpstream("u-1", BODY) as upstream:
        caller = Caller(upstream)
        rests = {}

        async def script(self, request, writer):
            if request["id"].startswith("next"):
                # The rest is lost with its connection.
                rest = rests.pop(writer, b"")
                writer.write(rest + self.answer(request, b"own"))
                return False
            copy = platform_answer(framing, request, b"the copy's body!").data
            if not states_id:
                head, _, tail = copy.rpartition(b"X-Burdockmill-Request-Id")
                copy = head + tail.partition(b"\r\n")[2]
            cut = int(request["id"].removeprefix("copy-"))
            rests[writer] = copy[cut:]
            writer.write(self.answer(request) + copy[:cut])
            return False

        upstream.script = script
        example = platform_answer(framing, {"id": "copy-000"}, BODY)
        for cut in range(len(example.data)):
            await caller.send(f"copy-{cut:03}")
            outcome = await caller.send(f"next-{cut}", left_ms=60_000.0)
            if outcome.end is AttemptEnd.ANSWERED:
                assert outcome.answer.body == b"own", cut
        await caller.client.close()


@pytest.mark.parametrize("end", CutEnd)
@pytest.mark.parametrize("size", [70_000, 300_000, 2_000_000])
def test_a_long_body_without_a_length_is_whole_only_after_an_orderly_end(
    runner, size, end
):
    """The reader stops and goes on while such a body arrives."""
    runner.run(_end_long_bodies(size, end))


async def _end_long_bodies(size, end):
    body = BODY * (size // len(BODY))
    async with StandinUpstream("u-1", body) as upstream:
        caller = Caller(upstream)

        async def script(self, request, writer):
            whole = platform_answer(Framing.CLOSE, request, body)
            await break_off(writer, whole.data, end)
            return True

        upstream.script = script
        for _ in range(10):
            outcome = await caller.send(left_ms=60_000.0)
            if end is CutEnd.ORDERLY:
                assert outcome.end is AttemptEnd.ANSWERED
                assert outcome.answer.body == body
            else:
                assert outcome.end in (AttemptEnd.WRONG_ANSWER, AttemptEnd.BROKEN)
        await caller.client.close()


@pytest.mark.parametrize("framing", Framing)
def test_a_reply_of_another_host_cut_off_anywhere_is_lost(uvloop_runner, framing):
    """Neither an answer nor declined: the request may have run there.

    A reply without a length is none: nothing tells whether its body is whole.
    """
    uvloop_runner.run(_cut_each_reply(framing))


async def _cut_each_reply(framing):
    answer = UpstreamAnswer(200, (("A", "b"),), BODY, "st.1")
    reply = encode(*reply_of(answer, CatalogVersion(7, 1, 40)))
    whole = framed(framing, reply, "")
    has_length = framing in (Framing.LENGTH, Framing.INTERIM)
    for cut, end in every_cut(whole.data):
        async with CutServer(whole.data, cut, end) as server:
            client = RelayClient(
                "e1", "", MonotonicClock(), lambda _: server.address, lambda: 7, _ignore
            )
            done = asyncio.get_running_loop().create_future()
            deadline_ms = MonotonicClock().now_ms() + 60_000.0
            action = SendRelay(0, "e2", deadline_ms, 1.0, 1, False)
            client.send(make_request(), action, done.set_result)
            outcome = await asyncio.wait_for(done, 5.0)
            await client.close()
        if whole.body_until(framing, cut, end) == reply and has_length:
            assert outcome.result == answer, (cut, end)
        else:
            assert outcome.end is RelayEnd.LOST, (cut, end, outcome)


def _ignore(*_):
    pass


@pytest.mark.parametrize(
    ("kind", "body"),
    [(RequestKind.SEARCH, search_body()), (RequestKind.ACTION, action_body())],
)
@pytest.mark.parametrize("framing", Framing)
def test_an_answer_to_the_own_protocol_cut_off_anywhere_is_none(
    uvloop_runner, framing, kind, body
):
    uvloop_runner.run(_cut_each_own_answer(framing, kind, body))


async def _cut_each_own_answer(framing, kind, body):
    events = asyncio.Queue()
    whole = framed(framing, body, JSON_HEADER)
    for cut, end in every_cut(whole.data):
        async with CutServer(whole.data, cut, end) as server:
            client = UpstreamClient(events.put_nowait, MonotonicClock(), 1.0)
            client.apply_rule(make_upstream_rule(server.address))
            client.send(make_send(server.address, kind))
            event = await asyncio.wait_for(events.get(), 5.0)
            await client.close()
        if whole.body_until(framing, cut, end) != body:
            assert isinstance(event, UpstreamFailed), (cut, end, event)
            assert event.ran is Ran.UNKNOWN, (cut, end, event)


@pytest.mark.parametrize("framing", Framing)
def test_an_answer_of_the_store_cut_off_anywhere_is_an_error(uvloop_runner, framing):
    uvloop_runner.run(_cut_each_page(framing))


async def _cut_each_page(framing):
    """Cut the second of the two pages: a short one would remove upstreams."""
    configuration = framed(
        Framing.LENGTH, b'{"items":[],"store-revision":3,"has-more":false}', ""
    )
    page = b'{"items":[{"key":"servers/a","rev":2,"value":""}],"store-revision":3}'
    whole = framed(framing, page, JSON_HEADER)
    earlier = (configuration.data,)
    for cut, end in every_cut(whole.data):
        async with CutServer(whole.data, cut, end, earlier) as server:
            source = StoreSource(server.address)
            try:
                delta = await source.read_all(5_000.0)
            except StoreError:
                delta = None
            await source.close()
        if cut < len(whole.data):
            assert delta is None, (cut, end)


class CutSite(Site):
    """Run hosts before upstreams that break off answers, two for each service."""

    def __init__(self, hosts):
        super().__init__(hosts, repeat_allowance=10_000.0)
        self.arrivals = Counter()

    async def __aenter__(self):
        started = await super().__aenter__()
        for service in (*self.shards, self.single):
            self.store.remove(f"servers/u-{service}")
            for number in range(2):
                upstream = CuttingUpstream(
                    f"x-{service}-{number}", service.encode() * 16, self.arrivals
                )
                await self._stack.enter_async_context(upstream)
                entry = entry_of(service, upstream.address, slots=16)
                self.store.put(f"servers/{upstream.upstream}", entry)
        return started

    async def ready(self):
        await super().ready()
        hosts = [node.engine.world for node in self.nodes]
        async with asyncio.timeout(8.0):
            while any(
                len(one.member_by_host) < len(hosts) or one.catalog.ready_count() != 6
                for one in hosts
            ):
                await asyncio.sleep(0.01)

    def publish(self, version=7, routes=None):
        once = {"name": "once", "prefix": "/once/", "type": "unsafe"}
        routes = [
            search_route(list(self.shards), **{"min-coverage": 0.5}),
            single_route(self.single),
            single_route(self.single, **once),
            single_route(
                self.single, name="one", prefix="/one/", **{"max-attempts": 1}
            ),
        ]
        super().publish(version, routes)


ROUTES = ["/fetch", "/one", "/once", "/overlap"]
WHOLE = "/fetch/length/9999/orderly"


@pytest.mark.parametrize("is_handed_over", [False, True], ids=["direct", "handed over"])
@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKED, Framing.CLOSE])
def test_a_host_passes_no_answer_on_that_was_cut_off(
    uvloop_runner, framing, is_handed_over
):
    uvloop_runner.run(_ask_through_cuts(framing, is_handed_over))


async def _ask_through_cuts(framing, is_handed_over):
    example = platform_answer(framing, {"id": "id-139000000000000-1000"}, b"c" * 16)
    async with CutSite(hosts=1 + is_handed_over) as site:
        await site.ready()
        client, other = site.client(), site.client(site.nodes[-1])
        statuses = Counter()
        for (cut, end), route in itertools.product(every_cut(example.data), ROUTES):
            async with asyncio.timeout(5.0):
                while True:
                    # A host that gets no whole answer at all takes its links for cut,
                    # and takes no request over; then the client asks again.
                    assert (await other.ask(WHOLE)).status == 200
                    if is_handed_over:
                        isolate(site.nodes[0])
                    target = f"{route}/{framing.value}/{cut}/{end.value}"
                    answer = await client.ask(target)
                    request_id = f"id-{id(client)}-{client.number}"
                    check_answer(route, answer, site.arrivals[request_id])
                    if answer.status != 503:
                        break
                    await asyncio.sleep(0.02)
            statuses[route, answer.status] += 1
        asked = 2 * len(example.data)
        assert statuses["/fetch", 200] >= 0.9 * asked, statuses
        assert statuses["/overlap", 200] >= 0.9 * asked, statuses
        assert statuses["/once", 502] >= 0.9 * asked, statuses
        assert statuses["/one", 502] >= 0.9 * asked, statuses


def check_answer(route, answer, arrivals):
    if route == "/once":
        assert arrivals <= 1
    if answer.status in PROMISES:
        assert arrivals == 0
    if answer.status != 200:
        assert answer.status in (502, 503, 504), answer.body
        assert msgspec.json.decode(answer.body)["kind"]
    elif route == "/overlap":
        stamps = answer.headers["x-burdockmill-part-stamps"].split(", ")
        missing = int(answer.headers["x-burdockmill-parts-missing"])
        assert len(stamps) + missing == 2
        assert answer.body in (b"b" * 16 + b"a" * 16, b"b" * 16, b"a" * 16)
        assert len(answer.body) == 16 * len(stamps)
    else:
        assert answer.headers["x-burdockmill-server-stamp"] == "st.1"
        assert answer.body == b"c" * 16
