"""Check that heads are served up to the operators' limit, and refused above it."""

import asyncio
import json

import pytest

from tests.builders_forwarding_node import Site, raw_answer, raw_request, until
from tests.builders_platform import configuration_of, single_route
from tests.test_relay import isolate

LIMIT = 16_384
SMALL_HEADERS = b"".join(b"A%04d: 1\r\n" % number for number in range(1_500))


@pytest.fixture
async def site():
    async with Site(hosts=2) as made:
        await made.ready()
        hosts = [node.engine.world for node in made.nodes]
        await until(lambda: all(len(one.member_by_host) == 2 for one in hosts), "met")
        yield made


def address_of(site):
    return site.nodes[0].settings.ingress_address


def padded(size_bytes):
    """Return a request whose headers have a size."""
    plain = raw_request()
    _, _, headers = plain.partition(b"\r\n")
    missing = size_bytes - (len(headers) - len(b"\r\n")) - len(b"Pad: \r\n")
    return raw_request(headers=b"Pad: " + b"x" * missing + b"\r\n")


def with_path(path):
    return raw_request().replace(b"/fetch/x", path)


@pytest.mark.parametrize("is_handed_over", [False, True], ids=["direct", "handed over"])
@pytest.mark.parametrize(
    "request_bytes",
    [
        raw_request(headers=b"Big: " + b"x" * 9_000 + b"\r\n"),
        raw_request(headers=b"".join(b"H%d: 1\r\n" % one for one in range(150))),
        raw_request(headers=SMALL_HEADERS),
        with_path(b"/fetch/" + b"y" * 9_000),
        with_path(b"/fetch/" + b"y" * 9_000 + b"?q=" + b"z" * 7_000),
        padded(LIMIT),
    ],
    ids=["header", "150 headers", "1500 headers", "path", "query", "at the limit"],
)
async def test_a_head_within_the_limit_is_served(site, request_bytes, is_handed_over):
    """It was refused with 400 above the parser's own limits."""
    if is_handed_over:
        isolate(site.nodes[0])
    answer = await raw_answer(address_of(site), request_bytes)
    assert (answer.status, answer.body) == (200, b"c" * 16)
    [arrived] = site.upstream_by_service["c"].requests
    line, *lines = request_bytes.decode().strip().split("\r\n")
    assert arrived["target"] == line.split(" ")[1]
    sent = dict(one.lower().split(": ", 1) for one in lines)
    del sent["x-burdockmill-deadline-ms"]
    assert sent.items() <= arrived["headers"].items()


@pytest.mark.parametrize(
    "request_bytes",
    [padded(LIMIT + 1), with_path(b"/fetch/" + b"y" * LIMIT), padded(2 * LIMIT)],
    ids=["header", "path", "far above"],
)
async def test_a_head_above_the_limit_is_refused(site, request_bytes):
    answer = await raw_answer(address_of(site), request_bytes)
    body = json.loads(answer.body)
    assert (answer.status, body["kind"], body["ran"]) == (431, "header_too_large", "no")
    assert not site.upstream_by_service["c"].requests


async def test_a_body_above_the_limit_is_refused(site):
    answer = await site.client().ask("/fetch/x", method="POST", body=b"x" * 1_001)
    assert answer.status == 413
    assert json.loads(answer.body)["kind"] == "body_too_large"


async def test_the_limit_follows_the_configuration_on_an_open_connection(site):
    client = site.client()
    assert (await client.ask("/fetch/x", pad="x" * 9_000)).status == 200
    for version, limit in enumerate((2_000, 50_000), start=8):
        routes = [single_route(site.single)]
        changed = configuration_of(routes, [site.single], version)
        changed["limits"]["max-header-bytes"] = limit
        site.store.put("op/config", changed)
        node = site.nodes[0]
        await until(lambda: node.limits.header_bytes == limit, "the limit is in force")  # noqa: B023
        expected = 200 if limit > 40_000 else 431
        assert (await client.ask("/fetch/x", pad="x" * 40_000)).status == expected


async def _send_without_end(address, first=b""):
    """Send a head without end; return the answer's head, and how much was sent."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(first + raw_request()[:-2] + b"Endless: ")
    sent = 0
    received = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
    try:
        async with asyncio.timeout(5.0):
            while not received.done():
                writer.write(b"x" * 1_000)
                sent += 1_000
                await writer.drain()
                await asyncio.sleep(0)
    except ConnectionError:
        pass
    writer.close()
    try:
        return await received, sent
    except (ConnectionError, asyncio.IncompleteReadError):
        return b"", sent


async def test_a_head_without_end_is_refused_early(site):
    answer, sent = await _send_without_end(address_of(site))
    assert answer.startswith(b"HTTP/1.1 431 ") or not answer
    assert sent < 1_000_000


async def test_a_head_without_end_does_not_cut_off_the_request_before_it(site):
    upstream = site.upstream_by_service["c"]
    upstream.delay_s = 0.3
    answer, sent = await _send_without_end(address_of(site), raw_request())
    assert sent > 2 * LIMIT
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert len(upstream.requests) == 1


@pytest.mark.parametrize("is_handed_over", [False, True], ids=["direct", "handed over"])
@pytest.mark.parametrize(
    "extra",
    [
        "Big: " + "x" * 9_000 + "\r\n",
        "".join(f"H{one}: 1\r\n" for one in range(150)),
        "Big: " + "x" * 60_000 + "\r\n",
    ],
    ids=["header", "150 headers", "long header"],
)
async def test_a_large_head_of_an_upstream_is_passed_on(site, extra, is_handed_over):
    async def script(self, request, writer):
        writer.write(self.answer(request, extra=extra))

    site.upstream_by_service["c"].script = script
    if is_handed_over:
        isolate(site.nodes[0])
    answer = await raw_answer(address_of(site), raw_request())
    assert (answer.status, answer.body) == (200, b"c" * 16)
    for line in extra.lower().strip().split("\r\n"):
        name, _, value = line.partition(": ")
        assert answer.headers[name] == value


@pytest.mark.parametrize("extra", ["Big: " + "x" * 70_000 + "\r\n", "H: 1\r\n" * 1_100])
async def test_a_huge_head_of_an_upstream_is_a_wrong_answer(site, extra):
    async def script(self, request, writer):
        writer.write(self.answer(request, extra=extra))

    site.upstream_by_service["c"].script = script
    assert (await site.client().ask("/once/x")).status == 502
    site.upstream_by_service["c"].script = None
    assert (await site.client().ask("/once/y")).status == 200
