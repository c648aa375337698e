"""Check that one message or upstream that makes a task fail stops nothing else."""

import asyncio
import random
from collections import Counter
from typing import NamedTuple

import msgspec
import pytest

from burdockmill.clients.connection_warmer import ConnectionWarmer
from burdockmill.clients.peer_client import PeerClient
from burdockmill.clients.reach_prober import ReachProber
from burdockmill.errors import Ran
from burdockmill.messages.catalog import CatalogRequest, CatalogResponse
from burdockmill.messages.events import PeerUnreachable
from burdockmill.messages.store_position import StorePosition
from tests.builders_forwarding import make_delta, make_registration
from tests.builders_forwarding_node import until

GOOD = CatalogRequest(StorePosition(0, 5))
# Half of a surrogate pair cannot be encoded as UTF-8.
DEADLY = CatalogResponse(make_delta(6, make_registration("u-\ud800")))


class Reply(NamedTuple):
    status: int
    body: bytes


@pytest.fixture
async def peers():
    events = []
    made = PeerClient("e0", "key", events.append)
    made.events = events
    made.bodies = []

    async def post(queue, body):
        made.bodies.append(msgspec.json.decode(body))
        return Reply(200, b'{"accepted": 2}')

    made._post = post
    yield made
    await made.close()


async def test_a_message_that_cannot_be_encoded_does_not_lose_the_others(peers):
    for message in (GOOD, DEADLY, GOOD):
        peers.send("e1", "127.0.0.1:1", message)
    await until(lambda: peers.is_idle, "the queue is empty")
    assert [len(body["catalog_asks"]) for body in peers.bodies] == [2]
    assert peers.events == [PeerUnreachable("e1", DEADLY, Ran.NO)]
    assert peers.counts["not_encodable"] == 1
    peers.send("e1", "127.0.0.1:1", GOOD)
    await until(lambda: len(peers.bodies) == 2, "the next message is sent")


async def test_an_unknown_error_of_a_batch_does_not_stop_the_queue(peers):
    sends = peers._post

    async def break_once(queue, body):
        peers._post = sends
        raise RuntimeError("the handler is closed")

    peers._post = break_once
    peers.send("e1", "127.0.0.1:1", GOOD)
    await until(lambda: peers.is_idle, "the queue is empty")
    assert peers.events == [PeerUnreachable("e1", GOOD, Ran.UNKNOWN)]
    peers.send("e1", "127.0.0.1:1", GOOD)
    await until(lambda: peers.bodies, "the next message is sent")


class BreakingClient:
    """Raise an error that no caller expects for one upstream."""

    def __init__(self):
        self.counts = Counter()
        self.opened = []

    def check(self, upstream):
        if upstream.upstream == "u-deadly":
            raise RecursionError("too deep")
        self.opened.append(upstream.upstream)

    def is_disconnected(self, upstream):
        return True

    def open_in_background(self, upstream):
        self.check(upstream)

    async def test_link(self, upstream):
        self.check(upstream)
        return True


class Monitor:
    """Record which upstreams were reached."""

    def __init__(self):
        self.reached = []
        self.unreached = []

    def heard(self, upstream, now_ms):
        self.reached.append(upstream.upstream)

    def unconnected(self, attempt, now_ms):
        self.unreached.append(attempt.upstream.upstream)


class StillClock:
    def now_ms(self):
        return 0.0


TARGETS = [make_registration("u-deadly"), make_registration("u-good")]


async def test_an_upstream_that_cannot_be_warmed_does_not_keep_others_cold():
    client = BreakingClient()
    warmer = ConnectionWarmer(client, lambda: TARGETS, random.Random(1))
    task = asyncio.create_task(warmer.run())
    await until(lambda: client.opened, "the other upstream is warmed")
    assert not task.done()
    task.cancel()


async def test_a_link_that_cannot_be_tested_does_not_end_the_tests_of_others():
    client, monitor, ended = BreakingClient(), Monitor(), []
    prober = ReachProber(
        monitor, client, StillClock(), lambda: TARGETS, random.Random(1)
    )
    prober.test_now(TARGETS, lambda: ended.append(True))
    await until(lambda: ended, "the test ends")
    assert (monitor.reached, monitor.unreached) == (["u-good"], ["u-deadly"])
    await prober.close()
