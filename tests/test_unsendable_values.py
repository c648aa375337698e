"""Check values that no head may contain: from upstreams and clients."""

import asyncio
import json

import pytest

from burdockmill.forwarding.messages import AttemptEnd
from tests.builders_forwarding_node import Site, raw_answer, raw_request
from tests.builders_platform import StandinUpstream, entry_of
from tests.test_forwarding_client import Caller

STAMP = b"X-Burdockmill-Server-Stamp: "
# HTTP forbids these in a header, and the parser lets them pass.
CONTROL_BYTES = [
    bytes([one]) for one in (*range(0x01, 0x09), 0x0B, 0x0C, *range(0x0E, 0x20), 0x7F)
]
SPOILED_STAMPS = [
    *CONTROL_BYTES,
    *(one + b"t.1" for one in CONTROL_BYTES),
    b"s\xfft.1",
    b"s\xc3t.1",
    b"st.1, st.2",
    b"s t.1",
    b"",
    b"st.1\r\nX-Burdockmill-Server-Stamp: st.2",
]


def spoil(answer, stamp):
    head, _, rest = answer.partition(STAMP)
    return head + STAMP + stamp + b"\r\n" + rest.partition(b"\r\n")[2]


class SpoilingSite(Site):
    """Run a host before two upstreams a service, which spoil first answers.

    `always` is a service whose upstreams spoil all of theirs.
    """

    def __init__(self, stamp, always=""):
        super().__init__(repeat_allowance=10_000.0)
        self.stamp = stamp
        self.always = always
        self.spoiled = set()

    async def __aenter__(self):
        started = await super().__aenter__()
        for service in (*self.shards, self.single):
            upstream = StandinUpstream(f"x-{service}", service.encode() * 16)
            await self._stack.enter_async_context(upstream)
            upstream.script = self.upstream_by_service[service].script = self.spoil
            entry = entry_of(service, upstream.address, slots=16)
            self.store.put(f"servers/{upstream.upstream}", entry)
        return started

    async def spoil(self, upstream, request, writer):
        answer = upstream.answer(request)
        key = (request["id"], upstream.body)
        if key not in self.spoiled or self.always == upstream.upstream[-1]:
            answer = spoil(answer, self.stamp)
        self.spoiled.add(key)
        writer.write(answer)

    async def ready(self):
        await super().ready()
        async with asyncio.timeout(8.0):
            while self.nodes[0].engine.world.catalog.ready_count() < 6:
                await asyncio.sleep(0.01)


# Guards against review/2: a success passes without the stamp of its upstream.
@pytest.mark.parametrize("stamp", SPOILED_STAMPS)
async def test_an_answer_with_a_spoiled_stamp_is_a_wrong_answer(stamp):
    async with StandinUpstream("u-1") as upstream:

        async def script(self, request, writer):
            writer.write(spoil(self.answer(request), stamp))

        upstream.script = script
        caller = Caller(upstream)
        outcome = await caller.send()
        assert outcome.end is AttemptEnd.WRONG_ANSWER
        assert outcome.answer is None
        upstream.script = None
        assert (await caller.send()).end is AttemptEnd.ANSWERED
        await caller.client.close()


@pytest.mark.parametrize("stamp", [b"\x07t.1", b"s\xfft.1"])
async def test_a_spoiled_stamp_sends_the_request_to_another_upstream(stamp):
    """Clients got a success without a stamp, and searches a closed connection."""
    async with SpoilingSite(stamp) as site:
        await site.ready()
        client = site.client()
        for number in range(20):
            answer = await client.ask(f"/fetch/{number}")
            assert (answer.status, answer.body) == (200, b"c" * 16)
            assert answer.headers["x-burdockmill-server-stamp"].startswith("st.")
            answer = await client.ask(f"/overlap/{number}")
            assert (answer.status, answer.body) == (200, b"b" * 16 + b"a" * 16)
            stamps = answer.headers["x-burdockmill-part-stamps"].split(", ")
            assert [one.partition(".id-")[0][-1] for one in stamps] == ["a", "b"]
            answer = await client.ask(f"/once/{number}", method="POST")
            assert answer.status == 502
        assert len(site.spoiled) == 80


# Guards against review/2: a search with a spoiled part ends with a closed connection.
async def test_a_search_does_without_a_part_whose_stamp_is_always_spoiled():
    async with SpoilingSite(b"\x07", always="a") as site:
        await site.ready()
        for number in range(5):
            answer = await site.client().ask(f"/overlap/{number}")
            assert (answer.status, answer.body) == (200, b"b" * 16)
            assert answer.headers["x-burdockmill-parts-missing"] == "1"


async def test_a_connection_option_does_not_remove_a_stamp():
    async with Site() as site:
        await site.ready()

        async def script(self, request, writer):
            extra = "Connection: X-Burdockmill-Server-Stamp, Odd\r\nOdd: 1\r\n"
            writer.write(self.answer(request, extra=extra))

        site.upstream_by_service["c"].script = script
        answer = await site.client().ask("/fetch/x")
        assert answer.status == 200
        assert answer.headers["x-burdockmill-server-stamp"]
        assert "odd" not in answer.headers


@pytest.mark.parametrize(
    "request_id", [b"id-\xff", b"\xfe", b"id-\xc3"], ids=["after", "alone", "half"]
)
async def test_an_id_that_cannot_be_sent_on_is_refused(request_id):
    """The upstream ran it under another id, and the client got 500."""
    async with Site() as site:
        await site.ready()
        address = site.nodes[0].settings.ingress_address
        answer = await raw_answer(address, raw_request(request_id))
        assert answer.status == 400
        assert json.loads(answer.body)["ran"] == "no"
        assert not site.upstream_by_service["c"].requests


async def test_a_host_that_is_not_utf_8_is_refused():
    """The error could not be encoded, and the client got 500."""
    async with Site() as site:
        await site.ready()
        address = site.nodes[0].settings.ingress_address
        answer = await raw_answer(address, raw_request(host=b"leave\xff.example"))
        assert answer.status == 400


@pytest.mark.parametrize(
    ("headers", "arrives"),
    [
        (b"Connection: X-Burdockmill-Request-Id\r\n", {}),
        (b"Connection: keep-alive\r\nConnection: Odd\r\nOdd: 1\r\n", {}),
        (b"Odd: a\xffb\r\n", {}),
        (b"Authorization: a\xffb\r\n", {}),
        ("Odd: \u00e9\r\n".encode(), {"odd": "\u00e9"}),
    ],
)
async def test_a_request_arrives_with_its_id_and_no_changed_header(headers, arrives):
    async with Site() as site:
        await site.ready()
        address = site.nodes[0].settings.ingress_address
        answer = await raw_answer(address, raw_request(headers=headers))
        assert answer.status == 200
        [request] = site.upstream_by_service["c"].requests
        assert request["id"] == "id-1"
        odd = {"odd", "authorization"}
        assert {
            name: value for name, value in request["headers"].items() if name in odd
        } == arrives


async def test_a_deadline_that_is_no_number_is_refused():
    async with Site() as site:
        await site.ready()
        address = site.nodes[0].settings.ingress_address
        data = raw_request().replace(b"Ms: 1000", b"Ms: nan")
        assert (await raw_answer(address, data)).status == 400
