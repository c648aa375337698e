import asyncio
import json

import pytest

from burdockmill.messages.actions import FetchAnswer
from burdockmill.messages.peer import NO_BODY
from burdockmill.surfaces._bounded_server import ServerBounds
from burdockmill.surfaces.caller import caller_app
from burdockmill.surfaces.listener import Listener
from tests.builders_wire import CALLER_KEY, make_rules
from tests.fakes import FakeGateway

HEAD = f"Host: x\r\nAuthorization: Bearer {CALLER_KEY}\r\n"
FETCH = f"GET /v1/services/leave-search/records/LR-1 HTTP/1.1\r\n{HEAD}\r\n"
SEARCH = f"POST /v1/services/leave-search/search HTTP/1.1\r\n{HEAD}"


class Surface:
    def __init__(self, connections_limit=100, header_timeout_seconds=60.0):
        self.gateway = FakeGateway(make_rules(), FetchAnswer("LR-1", NO_BODY))
        self.refused = []
        bounds = ServerBounds(
            connections_limit, self.refused.append, header_timeout_seconds
        )
        self.listener = Listener(caller_app(self.gateway), bounds)
        self.writers = []

    async def __aenter__(self):
        self.address = await self.listener.open("127.0.0.1:0")
        return self

    async def __aexit__(self, *_):
        for writer in self.writers:
            writer.close()
        await self.listener.close()

    async def connect(self):
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, port)
        self.writers.append(writer)
        return reader, writer

    async def exchange(self, data):
        reader, writer = await self.connect()
        writer.write(data)
        return await read_response(reader)


async def read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    fields = dict(
        line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
    )
    body = await reader.readexactly(int(fields["content-length"]))
    return int(head.split()[1]), fields, json.loads(body)


async def test_connection_above_the_limit_is_refused_with_a_json_error():
    async with Surface(connections_limit=1) as surface:
        reader, writer = await surface.connect()
        writer.write(FETCH.encode())
        assert (await read_response(reader))[0] == 200
        status, fields, body = await surface.exchange(b"")
        assert (status, body["kind"], body["ran"]) == (503, "overloaded", "no")
        assert fields["connection"] == "close"
        assert surface.refused == ["overloaded"]
        writer.write(FETCH.encode())
        assert (await read_response(reader))[0] == 200


async def test_slow_header_is_refused():
    async with Surface(header_timeout_seconds=0.05) as surface:
        status, _, body = await surface.exchange(b"GET /v1/serv")
        assert (status, body["kind"]) == (408, "slow_request")
        assert surface.refused == ["slow_request"]


async def test_idle_connection_is_not_refused_for_a_slow_header():
    async with Surface(header_timeout_seconds=0.01) as surface:
        reader, writer = await surface.connect()
        for _ in range(3):
            writer.write(FETCH.encode())
            assert (await read_response(reader))[0] == 200
            assert (await surface.exchange(b"GET"))[0] == 408
        assert surface.refused == ["slow_request"] * 3


async def test_slow_body_is_refused_at_the_deadline():
    request = f"{SEARCH}Deadline-Ms: 20\r\nContent-Length: 50\r\n\r\n" + '{"qu'
    async with Surface() as surface:
        status, _, body = await surface.exchange(request.encode())
        assert (status, body["kind"], body["ran"]) == (408, "slow_request", "no")
        assert surface.gateway.refused == [("caller", "slow_request")]


@pytest.mark.parametrize(
    "data",
    [
        b"NONSENSE\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET /x HTTP/1.1\r\nbad header\r\n\r\n",
        b"POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"GET /x HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 9_000 + b"\r\n\r\n",
    ],
)
async def test_malformed_http_gets_a_json_error(data):
    async with Surface() as surface:
        status, fields, body = await surface.exchange(data)
        assert (status, body["kind"], body["ran"]) == (400, "bad_request", "no")
        assert fields["content-type"] == "application/json"
        assert surface.refused == ["bad_request"]


async def test_answers_of_a_stopping_host_close_their_connections():
    async with Surface() as surface:
        reader, writer = await surface.connect()
        writer.write(FETCH.encode())
        assert "connection" not in (await read_response(reader))[1]
        surface.gateway.stopping_now = True
        writer.write(FETCH.encode())
        assert (await read_response(reader))[1]["connection"] == "close"
        assert await reader.read() == b""
