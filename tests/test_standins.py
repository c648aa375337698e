"""Check that the stand-ins follow the protocols of what they replace."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
import pytest

from burdockmill.messages.upstream import UpstreamSearchAnswer
from burdockmill.slots import SlotRange, slot_of
from burdockmill.standins.faults import Faults
from burdockmill.standins.platform import StandinPlatform
from burdockmill.standins.record_set import RecordSet
from burdockmill.standins.records import scan
from burdockmill.standins.upstream import StandinUpstream

RECORDS = RecordSet.of_leave_requests(400, seed=7)
BOOKINGS = RecordSet.of_bookings(50, seed=7)
AUGUST = {"off_in": "2026-08"}
KEY = "LR-000123"
NEVER_MS = 3_600_000.0


def search(request_id="r1", attempt=1, slots=(0, 16383), snapshot=2, limit=10):
    return {
        "request_id": request_id,
        "attempt": attempt,
        "service": "leave-search",
        "shard": "leave-0",
        "snapshot": snapshot,
        "slots": list(slots),
        "limit": limit,
        "query": AUGUST,
    }


def action(request_id="a1", key=KEY):
    return {
        "request_id": request_id,
        "attempt": 1,
        "service": "leave-search",
        "shard": "leave-0",
        "key": key,
        "action": {"approve": True},
    }


async def call(upstream, path, body, deadline_ms=None):
    headers = {} if deadline_ms is None else {"Deadline-Ms": str(deadline_ms)}
    async with (
        aiohttp.ClientSession() as session,
        session.post(upstream.url + path, json=body, headers=headers) as response,
    ):
        return response.status, await response.json()


async def until(condition):
    while not condition():
        await asyncio.sleep(0)


async def test_search_equals_a_scan_and_states_only_the_slots_it_holds():
    held = (SlotRange(100, 4000), SlotRange(9000, 12000))
    async with StandinUpstream("u", RECORDS, holdings=held) as upstream:
        _, body = await call(upstream, "/v1/search", search(slots=(0, 8191)))
    answer = msgspec.json.decode(msgspec.json.encode(body), type=UpstreamSearchAnswer)
    expected = scan(RECORDS.records_at(2), AUGUST, 10, SlotRange(100, 4000))
    assert answer["slots"] == [[100, 4000]]
    assert answer["total"] == expected.total
    assert [hit.key for hit in answer["hits"]] == [hit.key for hit in expected.hits]
    assert answer["hit_count"] == len(answer["hits"])


def test_records_are_the_same_each_time_and_later_snapshots_differ():
    again = RecordSet.of_leave_requests(400, seed=7)
    assert again.records_at(1) == RECORDS.records_at(1) != RECORDS.records_at(2)
    assert len(RECORDS.records_at(2)) > len(RECORDS.records_at(1))
    assert BOOKINGS.records_at(1)[0]["key"].startswith("FB-")


async def test_an_action_runs_once_and_shows_in_its_overlay_and_log():
    async with StandinUpstream("u", RECORDS) as upstream:
        status, body = await call(upstream, "/v1/actions", action())
        fetch = action("f1") | {"attempt": 2}
        fetched = (await call(upstream, "/v1/fetch", fetch))[1]
    assert (status, body["result"]["status"]) == (200, "approved")
    assert fetched["record"]["status"] == "approved"
    assert [row.kind for row in upstream.ran("a1")] == ["action"]


async def test_fetch_tells_an_absent_record_from_one_it_does_not_hold():
    async with StandinUpstream("u", RECORDS) as upstream:
        absent = await call(upstream, "/v1/fetch", action(key="LR-999999"))
        upstream.holdings = ()
        refused = await call(upstream, "/v1/fetch", action())
    assert absent[1]["found"] is False
    assert (refused[0], refused[1]["kind"], refused[1]["ran"]) == (
        409,
        "not_owner",
        False,
    )


def _remove_snapshot(upstream):
    upstream.remove_snapshot(2)


def _shed(upstream):
    upstream.shed_all = True


def _drain(upstream):
    upstream.drain(hard=True)


@pytest.mark.parametrize(
    ("prepare", "deadline_ms", "status", "kind"),
    [
        (_remove_snapshot, None, 410, "snapshot_gone"),
        (_shed, None, 503, "shed"),
        (_drain, None, 503, "draining"),
        (lambda _: None, 0, 503, "deadline"),
    ],
)
async def test_refusals_report_not_run_and_nothing_ran(
    prepare, deadline_ms, status, kind
):
    async with StandinUpstream("u", RECORDS) as upstream:
        prepare(upstream)
        got = await call(upstream, "/v1/search", search(), deadline_ms)
    assert (got[0], got[1]["kind"], got[1]["ran"]) == (status, kind, False)
    assert upstream.log == []


async def test_slots_limit_concurrent_requests_and_a_full_queue_sheds():
    upstream = StandinUpstream(
        "u", RECORDS, queue_limit=1, service_ms=lambda row: NEVER_MS
    )
    async with upstream, asyncio.TaskGroup() as group:
        running = [
            group.create_task(call(upstream, "/v1/search", search(f"r{number}")))
            for number in range(3)
        ]
        await until(
            lambda: upstream.admission.busy == 2 and upstream.admission.queued == 1
        )
        shed = await call(upstream, "/v1/search", search("r9"))
        load = upstream.load()
        started = {row.request_id for row in upstream.log}
        queued = {"r0", "r1", "r2"} - started
        for request_id in [*queued, *started]:
            cancel = {"request_id": request_id, "attempt": 1}
            assert (await call(upstream, "/v1/cancel", cancel))[1]["cancelled"]
    assert (shed[1]["kind"], load["busy"], load["queued"]) == ("shed", 2, 1)
    ran = sorted(task.result()[1]["ran"] for task in running)
    assert ran == [False, True, True]
    assert upstream.admission.busy == 0


async def test_a_started_action_is_neither_cancelled_nor_stopped():
    release = {"ms": NEVER_MS}
    upstream = StandinUpstream(
        "u", RECORDS, slots=1, service_ms=lambda row: release["ms"]
    )
    async with upstream:
        first = asyncio.create_task(call(upstream, "/v1/actions", action("a1")))
        await until(lambda: upstream.ran("a1"))
        second = asyncio.create_task(call(upstream, "/v1/actions", action("a2")))
        await until(lambda: upstream.admission.queued == 1)
        cancels = [
            await call(upstream, "/v1/cancel", {"request_id": name, "attempt": 1})
            for name in ("a1", "a2")
        ]
        refused = await second
        first.cancel()
    assert [body["cancelled"] for _, body in cancels] == [False, True]
    assert (refused[1]["kind"], refused[1]["ran"]) == ("cancelled", False)
    assert upstream.ran("a2") == []


async def test_a_running_search_stops_at_its_deadline():
    upstream = StandinUpstream("u", RECORDS, service_ms=lambda row: NEVER_MS)
    async with upstream:
        status, body = await call(upstream, "/v1/search", search(), deadline_ms=500)
    assert (status, body["kind"], upstream.admission.busy) == (504, "deadline", 0)
    assert body["ran"] == bool(upstream.log)


async def test_connections_above_the_limit_are_closed_and_counted():
    async with StandinUpstream("u", RECORDS, connection_limit=1) as upstream:
        held = await asyncio.open_connection("127.0.0.1", upstream.port)
        await until(lambda: upstream.connections.open == 1)
        with pytest.raises(aiohttp.ClientError):
            await call(upstream, "/v1/search", search())
        held[1].close()
    counter = upstream.connections
    assert (counter.peak_open, counter.opened_total) == (1, 1)
    assert counter.refused_total >= 1


@pytest.mark.parametrize("ran", [False, True])
async def test_log_shows_whether_a_dropped_attempt_ran(ran):
    async with StandinUpstream("u", RECORDS) as upstream:
        upstream.faults = Faults(drop_before_running=not ran, drop_after_running=ran)
        with pytest.raises(aiohttp.ClientError):
            await call(upstream, "/v1/actions", action())
    assert len(upstream.ran("a1")) == int(ran)


async def test_faults_produce_invalid_answers():
    async with StandinUpstream("u", RECORDS) as upstream:
        for faults in (Faults(garbage=True), Faults(truncated=True)):
            upstream.faults = faults
            with pytest.raises((ValueError, aiohttp.ClientError)):
                await call(upstream, "/v1/search", search())
        upstream.faults = Faults(crossed=True)
        crossed = (await call(upstream, "/v1/search", search("r2")))[1]
        upstream.faults = Faults(wrong_snapshot=True)
        wrong = (await call(upstream, "/v1/search", search("r3")))[1]
        upstream.faults = Faults(cut_hits=True)
        cut = (await call(upstream, "/v1/search", search("r4")))[1]
    assert crossed["request_id"] == "r1"
    assert wrong["snapshot"] == 3
    assert cut["hit_count"] > len(cut["hits"])


async def test_frozen_health_is_stale_and_a_restart_keeps_only_the_port():
    upstream = StandinUpstream("u", RECORDS)
    async with upstream, aiohttp.ClientSession() as session:
        upstream.freeze_reports()
        upstream.drain()
        async with session.get(upstream.url + "/v1/health") as response:
            seen = await response.json()
    assert (seen["draining"], upstream.health()["draining"]) == (False, True)
    address = upstream.address
    async with upstream:
        assert upstream.address == address
    assert upstream.health()["incarnation"] != seen["incarnation"]


async def test_platform_serves_watches_and_counts_calls():
    async with StandinPlatform() as platform, aiohttp.ClientSession() as session:
        watch = platform.url + "/v1/hosts/watch"
        params = {"after": "0", "wait_ms": str(int(NEVER_MS))}
        waiting = asyncio.create_task(session.get(watch, params=params))
        await until(lambda: platform.calls_by_path["/v1/hosts/watch"] == 1)
        platform.set_hosts([], leaving_upstreams=["u1"])
        assert (await (await waiting).json())["leaving_upstreams"] == ["u1"]
        platform.set_hosts([])
        platform.serve_stale_hosts(1)
        async with session.get(platform.url + "/v1/hosts") as response:
            assert (await response.json())["version"] == 1
        params = {"after": "1", "wait_ms": "0"}
        async with session.get(watch, params=params) as response:
            assert response.status == 204
        platform.set_unavailable(True)
        with pytest.raises(aiohttp.ClientError):
            await session.get(platform.url + "/v1/hosts")
    assert platform.calls_by_path["/v1/hosts"] == 1


async def test_the_platform_serves_the_published_text_in_chunks():
    text = "caller payroll key=sha256:00  # Payroll lead\n"
    async with StandinPlatform() as platform, aiohttp.ClientSession() as session:
        platform.publish(text, 4)
        async with session.get(platform.url + "/v1/config/manifest") as response:
            manifest = await response.json()
        chunks = []
        for entry in manifest["chunks"]:
            url = f"{platform.url}/v1/config/chunks/{entry['digest']}"
            async with session.get(url) as response:
                chunks.append(await response.text())
    assert (manifest["revision"], "".join(chunks)) == (4, text)


def test_each_record_is_in_the_slot_of_its_key():
    slots = [slot_of(record["key"]) for record in RECORDS.records_at(2)]
    assert slots == sorted(slots)
