"""Check what the clients of a host process see while it is stopped as planned."""

import asyncio
import itertools
import json
import random
import time

import pytest

from tests.builders_forwarding_node import Answer
from tests.builders_platform import (
    StandinStore,
    StandinUpstream,
    configuration_of,
    entry_of,
    single_route,
)
from tests.builders_platform_processes import HostProcess, until_status

pytestmark = pytest.mark.processes

GRACE_S = 6.0
CLIENTS = 32
WORK_S = (0.05, 0.05, 0.1, 0.3, 0.8, 1.5, 2.5, 3.5, 4.5, 5.0)
WARM_UP_S = 6.0
DEADLINE_MS = 12_000
# A request that was sent so late before its connection's close may cross it.
CROSSING_S = 0.2
# The platform's promises that a request has not run and never will.
PROMISES = {408, 421, 429, 503}


class Request:
    """Store what a client saw of one of its requests; times in seconds."""

    def __init__(self, name, target, work_s):
        self.name = name
        self.target = target
        self.work_s = work_s
        self.sent_s = None
        self.ended_s = None
        self.answer = None


class SteadyClient:
    """Send on kept connections, and on new ones until the host accepts none."""

    def __init__(self, number, address):
        self.requests = []
        self._rng = random.Random(number)
        self._number = number
        self._address = address
        self._names = itertools.count()

    async def run(self):
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    *self._address.split(":")
                )
            except ConnectionError:
                return
            try:
                while await self._exchange(reader, writer):
                    await asyncio.sleep(self._rng.uniform(0.0, 0.3))
            finally:
                writer.close()

    async def _exchange(self, reader, writer):
        """Send one request and read its answer; return whether to go on."""
        work_s = self._rng.choice(WORK_S)
        kind = self._rng.choice(("once", "fetch"))
        target = f"/{kind}/{work_s}"
        name = f"c{self._number}-{next(self._names)}"
        request = Request(name, target, work_s)
        self.requests.append(request)
        try:
            await self._send(writer, request)
            head = await reader.readuntil(b"\r\n\r\n")
            answer = Answer(head, b"")
            length = int(answer.headers.get("content-length", 0))
            answer.body = await reader.readexactly(length)
            request.answer = answer
        except (ConnectionError, asyncio.IncompleteReadError):
            return False
        finally:
            request.ended_s = time.monotonic()
        return answer.headers.get("connection") != "close"

    async def _send(self, writer, request):
        """Send a request at once, or the second half of its body later."""
        body = b"0123456789"
        head = (
            f"POST {request.target} HTTP/1.1\r\nHost: leave.example\r\n"
            f"X-Burdockmill-Request-Id: {request.name}\r\n"
            f"X-Burdockmill-Deadline-Ms: {DEADLINE_MS}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body[:5])
        if self._rng.random() < 0.3:
            await writer.drain()
            await asyncio.sleep(self._rng.uniform(0.1, 4.0))
        writer.write(body[5:])
        await writer.drain()
        request.sent_s = time.monotonic()


@pytest.fixture
async def upstreams():
    made = [StandinUpstream(f"u-{number}") for number in (1, 2)]

    async def work(self, request, writer):
        await asyncio.sleep(float(request["target"].rsplit("/", 1)[1]))
        writer.write(self.answer(request))

    for upstream in made:
        upstream.script = work
        await upstream.__aenter__()
    yield made
    for upstream in made:
        await upstream.__aexit__()


async def test_clients_that_go_on_until_the_process_ends_lose_no_request(
    tmp_path, upstreams
):
    async with StandinStore() as store:
        for upstream in upstreams:
            entry = entry_of("c", upstream.address, slots=100)
            store.put(f"servers/{upstream.upstream}", entry)
        routes = [
            single_route("c", name=kind, prefix=f"/{kind}/", type=type_)
            | {"timeout-ms": 10_000}
            for kind, type_ in (("once", "unsafe"), ("fetch", "safe"))
        ]
        configuration = configuration_of(routes, ["c"])
        configuration["services"][0]["max-conns"] = 200
        store.put("op/config", configuration)
        host = HostProcess(1, store, tmp_path, grace_s=int(GRACE_S))
        try:
            await host.start([host.peer])
            await until_status([host], lambda one: one["configuration"] == 7, "ready")
            clients = [SteadyClient(one, host.ingress) for one in range(CLIENTS)]
            running = [asyncio.ensure_future(client.run()) for client in clients]
            await asyncio.sleep(WARM_UP_S)
            host.process.terminate()
            async with asyncio.timeout(GRACE_S):
                assert await host.process.wait() == 0
            async with asyncio.timeout(1.0):
                await asyncio.gather(*running)
        finally:
            await host.stop()
    requests = [one for client in clients for one in client.requests]
    check_all(requests, upstreams)
    answers = [one.answer for one in requests if one.answer is not None]
    statuses = {answer.status for answer in answers}
    assert statuses <= {200, 503, 504}
    for answer in answers:
        if answer.status == 503:
            assert float(answer.headers["retry-after"]) <= 0.1
            assert answer.headers["connection"] == "close"


def check_all(requests, upstreams):
    """Hold each client's request against what the upstreams ran."""
    runs = [one["id"] for upstream in upstreams for one in upstream.requests]
    for request in requests:
        seen = f"{request.name} {request.target}"
        arrivals = runs.count(request.name)
        if "/once/" in request.target:
            assert arrivals <= 1, f"{seen} ran twice"
        if request.answer is None:
            assert arrivals == 0, f"{seen} was passed on and cut with no answer"
            is_crossing = (
                request.sent_s is None or request.ended_s - request.sent_s <= CROSSING_S
            )
            assert is_crossing, f"{seen} was read and cut with no answer"
        elif request.answer.status in PROMISES:
            assert arrivals == 0, f"{seen} ran, and was refused as not run"
            assert json.loads(request.answer.body)["ran"] == "no"
