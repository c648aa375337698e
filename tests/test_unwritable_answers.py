"""Check that an answer that cannot be written becomes an error, not an end."""

import json

import pytest
from aiohttp import web

from burdockmill.surfaces._bounded_server import ServerBounds
from burdockmill.surfaces.listener import Listener
from tests.builders_forwarding_node import Site, raw_answer, raw_request


@pytest.mark.parametrize("headers", [{"Odd": "a\x07b"}, {"O\ndd": "a"}, {"Odd": 5}])
@pytest.mark.parametrize("kind", ["handler", "application"])
async def test_an_answer_that_cannot_be_written_becomes_an_error(kind, headers):
    """The client got a closed connection without an answer."""
    refused = []

    async def answer(request):
        return web.Response(body=b"body", headers=headers)

    served = answer
    if kind == "application":
        served = web.Application()
        served.router.add_get("/fetch/x", answer)
    listener = Listener(served, ServerBounds(10, refused.append))
    address = await listener.open("127.0.0.1:0")
    failure = await raw_answer(address, raw_request())
    await listener.close()
    assert failure is not None
    body = json.loads(failure.body)
    assert (failure.status, body["kind"], body["ran"]) == (500, "internal", "unknown")
    assert refused == ["internal"]


async def test_an_error_of_the_codec_behind_an_answer_becomes_an_error():
    async with Site() as site:
        await site.ready()
        codec = site.nodes[0].ingress._codec
        response_of = codec.response

        def fail(result):
            raise ValueError("unexpected")

        codec.response = fail
        client = site.client()
        failure = await client.ask("/fetch/1")
        assert (failure.status, json.loads(failure.body)["ran"]) == (500, "unknown")
        codec.response = response_of
        assert (await client.ask("/fetch/2")).status == 200
