import asyncio
import hashlib

import msgspec
import pytest
import pytest_asyncio

from burdockmill.clients.peer_client import PeerClient
from burdockmill.clients.platform_client import PlatformClient
from burdockmill.clients.upstream_client import UpstreamClient
from burdockmill.clock import MonotonicClock
from burdockmill.errors import PlatformUnreachableError, Ran
from burdockmill.messages.actions import CancelAtUpstream, ClosePool, ReadHealth
from burdockmill.messages.batch import FIELD_BY_TYPE
from burdockmill.messages.events import (
    HealthRead,
    PeerUnreachable,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamRefused,
)
from burdockmill.messages.fleet import IndirectProbeRequest
from burdockmill.messages.peer import PeerBatch, PeerMessage, Reason, WorkCancel
from burdockmill.rules.model import RequestKind
from burdockmill.slots import FULL_RANGE, SlotRange, slot_of
from tests.builders_addresses import free_address
from tests.builders_wire import (
    action_body,
    make_send,
    make_upstream_rule,
    refusal_body,
    search_body,
)
from tests.fakes import RawServer, http_reply


class Bench:
    """Run an upstream client and collect the events that it emits."""

    def __init__(self):
        self.events = asyncio.Queue()
        self.client = UpstreamClient(self.events.put_nowait, MonotonicClock(), 1.0)

    async def outcome(self, server, send):
        self.client.apply_rule(make_upstream_rule(server.address))
        self.client.send(send)
        return await self.events.get()


@pytest_asyncio.fixture
async def bench():
    bench = Bench()
    yield bench
    await bench.client.close()
    assert bench.events.empty()


async def test_search_answer_is_passed_on_with_the_deadline_sent(bench):
    async with RawServer(http_reply(search_body())) as server:
        event = await bench.outcome(server, make_send(server.address))
    assert isinstance(event, UpstreamAnswered)
    assert event.covered == (FULL_RANGE,)
    assert [hit.key for hit in event.hits] == ["LR-1"]
    head, body = server.requests[0]
    assert b"deadline-ms: " in head.lower()
    assert msgspec.json.decode(body)["query"] == {"month": 8}


@pytest.mark.parametrize(
    ("changes", "part"),
    [
        ({"request_id": "r2"}, "request_id"),
        ({"attempt": 2}, "attempt"),
        ({"shard": "leave-1"}, "shard"),
        ({"snapshot": 6}, "snapshot"),
        ({"hit_count": 2, "total": 2}, "hit_count"),
        ({"total": 0}, "total"),
        ({"slots": [[0, 16_384]]}, "slots"),
        ({"slots": [[slot_of("LR-1") + 1, 16_383]]}, "hit_slot"),
        ({"slots": [[5]]}, "slots"),
        ({"hits": [[1.0, 5, {}]]}, "body"),
    ],
)
async def test_mismatching_answer_is_counted_and_never_passed_on(bench, changes, part):
    async with RawServer(http_reply(search_body(**changes))) as server:
        event = await bench.outcome(server, make_send(server.address))
    assert event == UpstreamFailed("r1", 1, "u1", Reason.WRONG_ANSWER, Ran.UNKNOWN)
    assert bench.client.counts[f"wrong_answer_{part}"] == 1


async def test_answer_with_slots_outside_the_request_is_rejected(bench):
    async with RawServer(http_reply(search_body())) as server:
        send = make_send(server.address, slots=SlotRange(0, 99))
        event = await bench.outcome(server, send)
    assert event.reason is Reason.WRONG_ANSWER


@pytest.mark.parametrize(
    "reply",
    [
        http_reply(b"{"),
        http_reply(b"\xff\xfe"),
        http_reply(search_body(), status=500),
        http_reply(refusal_body(ran=True), status=503),
        http_reply(refusal_body(attempt=2), status=503),
        http_reply(b"busy", status=503),
    ],
)
async def test_invalid_answer_leaves_the_outcome_of_an_action_unknown(bench, reply):
    async with RawServer(reply) as server:
        send = make_send(server.address, RequestKind.ACTION)
        event = await bench.outcome(server, send)
    assert event == UpstreamFailed("r1", 1, "u1", Reason.WRONG_ANSWER, Ran.UNKNOWN)


async def test_truncated_body_is_a_wrong_answer(bench):
    body = search_body()

    async def cut():
        for writer in list(server._writers):
            writer.write(http_reply(body, length=len(body) + 10))
            writer.close()

    async with RawServer(cut) as server:
        event = await bench.outcome(server, make_send(server.address))
    assert event.reason is Reason.WRONG_ANSWER
    assert bench.client.counts["wrong_answer_cut"] == 1


@pytest.mark.parametrize("status", [409, 410, 503])
async def test_matching_refusal_is_passed_on(bench, status):
    async with RawServer(http_reply(refusal_body(), status=status)) as server:
        event = await bench.outcome(server, make_send(server.address))
    assert event == UpstreamRefused("r1", 1, "u1", Reason.SHED, 20, (7,), True)


async def test_refused_connection_reports_that_nothing_ran(bench):
    address = free_address()
    bench.client.apply_rule(make_upstream_rule(address))
    bench.client.send(make_send(address, RequestKind.ACTION))
    event = await bench.events.get()
    assert event == UpstreamFailed("r1", 1, "u1", Reason.CONNECT_FAILED, Ran.NO)


async def test_unconfigured_upstream_reports_that_nothing_ran(bench):
    bench.client.send(make_send(free_address()))
    event = await bench.events.get()
    assert (event.reason, event.ran) == (Reason.UNKNOWN_UPSTREAM, Ran.NO)


async def test_action_on_a_dropped_kept_alive_connection_is_written_once(bench):
    async with RawServer(http_reply(action_body())) as server:
        first = await bench.outcome(
            server, make_send(server.address, RequestKind.ACTION)
        )
        assert isinstance(first, UpstreamAnswered)
        bench.client.send(make_send(server.address, RequestKind.ACTION))
        second = await bench.events.get()
        health = await _health(bench, server.address)
    assert second == UpstreamFailed("r1", 1, "u1", Reason.BROKEN, Ran.UNKNOWN)
    assert health.snapshots is None
    paths = [head.split(b" ")[1] for head, _ in server.requests]
    assert paths == [b"/v1/actions", b"/v1/actions", b"/v1/health"]
    assert server.connections == 2


async def _health(bench, address):
    bench.client.read_health(ReadHealth("u1", address))
    return await bench.events.get()


async def test_idempotent_read_on_a_dropped_connection_is_not_repeated(bench):
    health = {"status": "ok", "draining": False, "incarnation": "i1", "snapshots": [7]}
    async with RawServer(http_reply(msgspec.json.encode(health))) as server:
        bench.client.apply_rule(make_upstream_rule(server.address))
        assert await _health(bench, server.address) == HealthRead(
            "u1", "i1", (7,), False
        )
        assert (await _health(bench, server.address)).snapshots is None
    assert len(server.requests) == 2


async def test_result_of_an_action_is_passed_on_unchanged(bench):
    body = action_body().replace(b'{"state":"approved"}', b'{"n": 1e2 }')
    async with RawServer(http_reply(body)) as server:
        send = make_send(server.address, RequestKind.ACTION)
        event = await bench.outcome(server, send)
    assert bytes(event.body) == b'{"n": 1e2 }'


async def test_redirect_is_not_followed(bench):
    async with RawServer(http_reply(b"")) as other:
        redirect = (
            f"HTTP/1.1 307 X\r\nLocation: http://{other.address}/\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        async with RawServer(redirect.encode()) as server:
            send = make_send(server.address, RequestKind.ACTION)
            event = await bench.outcome(server, send)
    assert event.ran is Ran.UNKNOWN
    assert other.requests == []


async def test_attempt_that_waits_for_a_connection_is_cancelled_unwritten(bench):
    may_reply = asyncio.Event()
    arrived = asyncio.Event()

    async def reply_later():
        arrived.set()
        await may_reply.wait()
        return http_reply(action_body())

    async with RawServer(reply_later) as server:
        bench.client.apply_rule(make_upstream_rule(server.address, connections=1))
        bench.client.send(make_send(server.address, RequestKind.ACTION))
        await arrived.wait()
        bench.client.send(make_send(server.address, RequestKind.ACTION, attempt=2))
        bench.client.send(make_send(server.address, RequestKind.ACTION, attempt=2))
        bench.client.cancel(CancelAtUpstream("r1", 2, "u1"))
        event = await bench.events.get()
        assert event == UpstreamFailed("r1", 2, "u1", Reason.CANCELLED, Ran.NO)
        may_reply.set()
        assert isinstance(await bench.events.get(), UpstreamAnswered)
    assert len(server.requests) == 1
    assert bench.client.counts["duplicate_send"] == 1


async def test_attempt_with_an_expired_deadline_is_never_written(bench):
    async with RawServer() as server:
        send = make_send(server.address, RequestKind.ACTION, remaining_ms=0.0)
        event = await bench.outcome(server, send)
    assert event == UpstreamFailed("r1", 1, "u1", Reason.DEADLINE, Ran.NO)
    assert server.requests == []


async def test_deadline_counts_from_the_decision_when_the_process_pauses(bench):
    async with RawServer() as server:
        bench.client.apply_rule(make_upstream_rule(server.address))
        decided_ms = MonotonicClock().now_ms() - 600.0
        send = make_send(server.address, RequestKind.ACTION, remaining_ms=500.0)
        bench.client.send(send, decided_ms)
        event = await bench.events.get()
    assert event == UpstreamFailed("r1", 1, "u1", Reason.DEADLINE, Ran.NO)
    assert server.requests == []


async def test_outcome_of_a_written_attempt_is_unknown_at_its_deadline_and_on_close(
    bench,
):
    async def never():
        await asyncio.Event().wait()

    async with RawServer(never, never) as server:
        send = make_send(server.address, RequestKind.ACTION, remaining_ms=50.0)
        event = await bench.outcome(server, send)
        assert event.ran in {Ran.UNKNOWN, Ran.NO}
        assert event.reason is Reason.DEADLINE
        bench.client.send(make_send(server.address, RequestKind.ACTION, attempt=2))
        while not any(b'"attempt":2' in body for _, body in server.requests):
            await asyncio.sleep(0)
        await bench.client.close()
        closed = await bench.events.get()
    assert (closed.reason, closed.ran) == (Reason.CANCELLED, Ran.UNKNOWN)


async def test_most_recently_used_connection_goes_first(bench):
    gates = [asyncio.Event(), asyncio.Event()]
    ports = []

    def gated(index):
        async def reply():
            await gates[index].wait()
            return http_reply(search_body(attempt=index + 1))

        return reply

    last = http_reply(search_body(attempt=3))
    async with RawServer(gated(0), gated(1), last) as server:
        bench.client.apply_rule(make_upstream_rule(server.address))
        for attempt in (1, 2):
            bench.client.send(make_send(server.address, attempt=attempt))
        while len(server.requests) < 2:
            await asyncio.sleep(0)
        for gate in gates:
            gate.set()
            await bench.events.get()
        connector = bench.client._pool_by_upstream["u1"].connector
        (idle,) = connector._conns.values()
        ports = [entry[0].transport.get_extra_info("sockname")[1] for entry in idle]
        bench.client.send(make_send(server.address, attempt=3))
        await bench.events.get()
        (idle,) = connector._conns.values()
        after = [entry[0].transport.get_extra_info("sockname")[1] for entry in idle]
        assert after == ports
        assert server.connections == bench.client.connections_opened == 2
        bench.client.close_pool(ClosePool("u1"))
        assert bench.client.counts["idle_closed"] == 2


def test_every_peer_message_has_a_field_of_the_batch():
    assert set(FIELD_BY_TYPE) == set(PeerMessage.__args__)
    assert set(FIELD_BY_TYPE.values()) == set(PeerBatch.__annotations__) - {"sender"}


async def test_messages_that_wait_for_a_peer_share_a_batch():
    gate = asyncio.Event()

    async def gated():
        await gate.wait()
        return http_reply(b'{"accepted":1}')

    events = []
    client = PeerClient("entry-1", "secret", events.append)
    async with RawServer(gated, http_reply(b'{"accepted":3}')) as server:
        client.send("entry-2", server.address, WorkCancel("r0", [1]))
        while not server.requests:
            await asyncio.sleep(0)
        for number in range(1, 4):
            client.send("entry-2", server.address, WorkCancel(f"r{number}", [1]))
        gate.set()
        while client.counts["batches"] < 2:
            await asyncio.sleep(0)
        await client.close()
    batches = [msgspec.json.decode(body, type=PeerBatch) for _, body in server.requests]
    assert [len(batch["work_cancels"]) for batch in batches] == [1, 3]
    assert b"peer-key: secret" in server.requests[0][0].lower()
    assert events == []


@pytest.mark.parametrize("answers", [True, False])
async def test_undelivered_message_is_reported_once(answers):
    events = asyncio.Queue()
    client = PeerClient("entry-1", "secret", events.put_nowait)
    message = WorkCancel("r1", [1])
    if answers:
        async with RawServer() as server:
            client.send("entry-2", server.address, message)
            event = await events.get()
        assert len(server.requests) == 1
    else:
        client.send("entry-2", free_address(), message)
        event = await events.get()
    await client.close()
    ran = Ran.UNKNOWN if answers else Ran.NO
    assert event == PeerUnreachable("entry-2", message, ran)
    assert events.empty()


async def test_platform_is_read_from_the_next_address_and_chunks_are_checked():
    chunk = b"service a # Tests\n"
    digest = hashlib.sha256(chunk).hexdigest()
    manifest = b'{"revision":3,"chunks":[]}'
    empty = b"HTTP/1.1 204 X\r\n\r\n"
    replies = [http_reply(manifest), empty, http_reply(chunk), http_reply(b"other")]
    async with RawServer(*replies) as server:
        client = PlatformClient((free_address(), server.address), MonotonicClock())
        assert (await client.read_manifest())["revision"] == 3
        assert await client.watch_manifest(3, 10) is None
        assert await client.read_chunk(digest) == chunk.decode()
        with pytest.raises(PlatformUnreachableError):
            await client.read_chunk(digest)
        await client.close()
    assert client.counts["reads"] == 6


@pytest.mark.parametrize(
    ("status", "ran"), [(503, Ran.NO), (500, Ran.UNKNOWN), (401, Ran.UNKNOWN)]
)
async def test_status_of_a_refused_batch_decides_whether_it_may_have_run(status, ran):
    events = asyncio.Queue()
    client = PeerClient("entry-1", "secret", events.put_nowait)
    async with RawServer(http_reply(b"{}", status=status)) as server:
        client.send("entry-2", server.address, WorkCancel("r1", [1]))
        event = await events.get()
    assert (event.host, event.ran) == ("entry-2", ran)
    await client.close()


async def test_a_message_sent_while_the_peer_client_closes_is_reported():
    reported = []
    client = PeerClient("entry-1", "k" * 16, reported.append)
    sessions = [client._session_of(f"127.0.0.1:{port}") for port in (1, 2, 3)]
    close = sessions[0].close

    async def close_slowly():
        # The core may still send messages while connections close.
        client.send("entry-9", "127.0.0.1:9", IndirectProbeRequest("entry-2"))
        await close()

    sessions[0].close = close_slowly
    await client.close()
    await asyncio.sleep(0.05)
    assert [event.host for event in reported] == ["entry-9"]
    assert client.is_idle
