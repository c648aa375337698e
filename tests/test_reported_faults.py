"""Check faults that operators of similar systems reported."""

import asyncio

import pytest

from burdockmill.forwarding.messages import AttemptEnd
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
