import asyncio

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from hypothesis import given, strategies as st

from burdockmill.errors import OverloadedError, Ran
from burdockmill.messages.actions import (
    ActionAnswer,
    CoverageReport,
    FetchAnswer,
    SearchAnswer,
)
from burdockmill.messages.batch import make_batch
from burdockmill.messages.peer import Hit, Reason, WorkCancel
from burdockmill.surfaces._json_depth import nests_deeper_than
from burdockmill.surfaces.caller import caller_app
from burdockmill.surfaces.operator import operator_app
from burdockmill.surfaces.peer import peer_app
from tests.builders_wire import CALLER_KEY, OTHER_KEY, make_rules
from tests.fakes import FakeGateway

SEARCH = "/v1/services/leave-search/search"
ACTIONS = "/v1/services/leave-search/actions"
RECORD = "/v1/services/leave-search/records/LR-1"
AUTH = {"Authorization": f"Bearer {CALLER_KEY}"}
SEARCH_ANSWER = SearchAnswer(
    snapshot=7,
    coverage=CoverageReport(covered=16384, total=16384, complete=True, missing=[]),
    hits=[Hit(1.0, "LR-1", msgspec.Raw(b'{"days":2}'))],
    total=1,
    has_more=False,
)


def make_client(app):
    return TestClient(TestServer(app))


async def send_request(gateway, method, path, **options):
    options.setdefault("headers", AUTH)
    async with make_client(caller_app(gateway)) as client:
        response = await client.request(method, path, **options)
        return response, await response.json()


async def test_search_carries_snapshot_hits_and_coverage():
    gateway = FakeGateway(make_rules(), SEARCH_ANSWER)
    headers = AUTH | {"Deadline-Ms": "250", "Request-Id": "mine"}
    body = {"query": {"month": 8}, "limit": 5}
    response, answer = await send_request(
        gateway, "POST", SEARCH, json=body, headers=headers
    )
    assert response.status == 200
    (request,) = gateway.asked
    assert (request.caller, request.limit, request.deadline_ms) == (
        "payroll",
        5,
        1250.0,
    )
    assert msgspec.json.decode(request.body) == {"month": 8}
    assert answer == {
        "request_id": request.request_id,
        "snapshot": 7,
        "hits": [{"key": "LR-1", "rank": 1.0, "record": {"days": 2}}],
        "total": 1,
        "total_is_exact": True,
        "has_more": False,
        "coverage": SEARCH_ANSWER.coverage,
    }


async def test_fetch_carries_the_record_and_the_default_deadline():
    answer = FetchAnswer("LR-1", msgspec.Raw(b'{"days":2}'))
    gateway = FakeGateway(make_rules(), answer)
    _, body = await send_request(gateway, "GET", RECORD)
    (request,) = gateway.asked
    assert (request.key, request.deadline_ms) == ("LR-1", 1800.0)
    assert (body["key"], body["record"]) == ("LR-1", {"days": 2})


@pytest.mark.parametrize(
    ("ran", "outcome"),
    [(Ran.YES, "done"), (Ran.NO, "not_run"), (Ran.UNKNOWN, "unknown")],
)
async def test_action_states_its_outcome(ran, outcome):
    answer = ActionAnswer("LR-1", ran, Reason.NONE, msgspec.Raw(b"null"), 20)
    gateway = FakeGateway(make_rules(), answer)
    body = {"key": "LR-1", "action": {"do": "approve"}}
    _, answer_body = await send_request(gateway, "POST", ACTIONS, json=body)
    assert (answer_body["outcome"], answer_body["retry_after_ms"]) == (outcome, 20)
    assert msgspec.json.decode(gateway.asked[0].body) == {"do": "approve"}


@pytest.mark.parametrize(
    ("data", "status", "kind"),
    [
        (b"", 400, "bad_request"),
        (b"not json", 400, "bad_request"),
        (b'{"query": "\xff"}', 400, "bad_request"),
        (b'{"query": "\\ud800"}', 400, "bad_request"),
        (b"[]", 400, "bad_request"),
        (b"{}", 400, "bad_request"),
        (b'{"query":1,"limt":2}', 400, "bad_request"),
        (b'{"query":1,"limit":"2"}', 400, "bad_request"),
        (b'{"query":1,"limit":true}', 400, "bad_request"),
        (b'{"query":1,"limit":0}', 400, "bad_request"),
        (b'{"query":1,"limit":1001}', 400, "bad_request"),
        (b'{"query":' + b"[" * 40 + b"]" * 40 + b"}", 400, "bad_request"),
        (b'{"query":' + b"[" * 5000, 400, "bad_request"),
        (b'{"query":"' + b"x" * 20_000 + b'"}', 413, "body_too_large"),
    ],
)
async def test_bad_body_is_refused_with_a_remedy(data, status, kind):
    gateway = FakeGateway(make_rules(), SEARCH_ANSWER, body_limit_bytes=16_384)
    response, body = await send_request(gateway, "POST", SEARCH, data=data)
    assert (response.status, body["kind"], body["ran"]) == (status, kind, "no")
    assert body["message"] and body["remedy"] and body["request_id"]
    assert gateway.asked == []


@pytest.mark.parametrize(
    "value", ["", "0", "-1", "1.5", "1e3", "60001", "9" * 5000, "²", "soon"]
)
async def test_invalid_deadline_is_refused(value):
    gateway = FakeGateway(make_rules(), SEARCH_ANSWER)
    headers = AUTH | {"Deadline-Ms": value}
    response, body = await send_request(gateway, "GET", RECORD, headers=headers)
    assert (response.status, body["kind"]) == (400, "bad_deadline")
    assert gateway.asked == []


@pytest.mark.parametrize(
    ("method", "path", "headers", "status", "kind"),
    [
        ("GET", RECORD, {}, 401, "unknown_caller"),
        ("GET", RECORD, {"Authorization": "Basic x"}, 401, "unknown_caller"),
        ("GET", RECORD, {"Authorization": "Bearer x"}, 401, "unknown_caller"),
        ("GET", "/v1/services/none/records/1", AUTH, 404, "unknown_service"),
        ("GET", "/v1/services/rosters/records/1", AUTH, 403, "not_allowed"),
        (
            "POST",
            SEARCH,
            {"Authorization": f"Bearer {OTHER_KEY}"},
            403,
            "not_allowed",
        ),
        ("GET", "/nowhere", AUTH, 404, "unknown_path"),
        ("PUT", SEARCH, AUTH, 405, "method_not_allowed"),
        (
            "GET",
            "/v1/services/leave-search/records/" + "k" * 600,
            AUTH,
            400,
            "bad_request",
        ),
        ("GET", "/v1/requests/none/explain", AUTH, 404, "unknown_request"),
    ],
)
async def test_unauthorized_or_unknown_request_is_refused(
    method, path, headers, status, kind
):
    gateway = FakeGateway(make_rules(), SEARCH_ANSWER)
    response, body = await send_request(gateway, method, path, headers=headers)
    assert (response.status, body["kind"], body["ran"]) == (status, kind, "no")
    assert gateway.asked == []


async def test_errors_of_the_core_reach_the_caller():
    gateway = FakeGateway(make_rules(), OverloadedError("Full.", retry_after_ms=1200))
    response, body = await send_request(gateway, "GET", RECORD)
    assert (response.status, response.headers["Retry-After"]) == (503, "2")
    assert (body["kind"], body["retry_after_ms"]) == ("overloaded", 1200)
    assert body["request_id"] == gateway.asked[0].request_id


async def test_internal_error_reports_an_unknown_outcome():
    gateway = FakeGateway(make_rules(), ValueError("broken"))
    response, body = await send_request(gateway, "GET", RECORD)
    assert (response.status, body["ran"]) == (500, "unknown")


async def test_host_without_rules_is_not_ready():
    response, body = await send_request(FakeGateway(None, SEARCH_ANSWER), "GET", RECORD)
    assert (response.status, body["kind"]) == (503, "not_ready")


async def test_explanation_is_returned_only_to_the_caller_of_the_request():
    gateway = FakeGateway(make_rules(), FetchAnswer("LR-1", msgspec.Raw(b"1")))
    async with make_client(caller_app(gateway)) as client:
        answer = await (await client.get(RECORD, headers=AUTH)).json()
        path = f"/v1/requests/{answer['request_id']}/explain"
        mine = await client.get(path, headers=AUTH)
        other = {"Authorization": f"Bearer {OTHER_KEY}"}
        theirs = await client.get(path, headers=other)
        assert (await mine.json())["decisions"][0]["part"] == "route"
        assert theirs.status == 404


async def test_caller_that_disconnects_is_reported():
    gateway = FakeGateway(make_rules())
    runner = web.AppRunner(caller_app(gateway), handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0]
    _, writer = await asyncio.open_connection(host, port)
    head = f"GET {RECORD} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {CALLER_KEY}"
    writer.write(f"{head}\r\n\r\n".encode())
    await gateway.request_received.wait()
    writer.close()
    await gateway.gone.wait()
    assert gateway.disconnected == [gateway.asked[0].request_id]
    await runner.cleanup()


@pytest.mark.parametrize(
    ("key", "data", "status"),
    [
        ("secret", msgspec.json.encode(make_batch("b", [WorkCancel("r", [1])])), 200),
        ("wrong", b"{}", 401),
        ("", b"{}", 401),
        ("secret", b"{}", 400),
        ("secret", b"[" * 100_000, 400),
    ],
)
async def test_peer_batch_needs_the_peer_key_and_a_valid_body(key, data, status):
    gateway = FakeGateway(make_rules())
    async with make_client(peer_app(gateway)) as client:
        response = await client.post(
            "/peer/v1/batch", data=data, headers={"Peer-Key": key}
        )
        assert response.status == status
        if status == 200:
            assert await response.json() == {"accepted": 1}
    assert len(gateway.batches) == (status == 200)


async def test_a_message_that_cannot_be_decoded_is_put_aside_alone():
    gateway = FakeGateway(make_rules())
    data = b'{"sender":"b","work_cancels":[["r"],["r",[1]]]}'
    async with make_client(peer_app(gateway)) as client:
        response = await client.post(
            "/peer/v1/batch", data=data, headers={"Peer-Key": "secret"}
        )
        assert response.status == 200
        reply = {"accepted": 1, "put_aside": {"work_cancels": [0]}}
        assert await response.json() == reply
    assert gateway.batches == [make_batch("b", [WorkCancel("r", [1])])]
    assert gateway.refused == [("peer", "message_put_aside")]


async def test_operator_sees_metrics_health_and_decisions():
    gateway = FakeGateway(make_rules())
    async with make_client(operator_app(gateway)) as client:
        assert await (await client.get("/metrics")).text() == "requests_total 1\n"
        assert (await client.get("/livez")).status == 200
        assert (await client.get("/readyz")).status == 200
        gateway.ready_now = False
        assert (await client.get("/readyz")).status == 503
        explained = await (await client.get("/v1/explain/r1")).json()
        assert explained["decisions"][0]["request_id"] == "r1"


json_values = st.recursive(
    st.none() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def depth_of(value):
    if isinstance(value, dict):
        value = list(value.values())
    if not isinstance(value, list):
        return 0
    return 1 + max(map(depth_of, value), default=0)


@given(json_values)
def test_depth_scan_agrees_with_the_decoded_value(value):
    text = msgspec.json.encode(value)
    depth = depth_of(value)
    assert not nests_deeper_than(text, depth)
    assert depth == 0 or nests_deeper_than(text, depth - 1)


@pytest.mark.parametrize(
    ("fault_switch", "data", "status"),
    [
        (False, b'{"blocked_hosts": ["a"]}', 404),
        (True, b'{"blocked_hosts": ["a"]}', 200),
        (True, b'{"blocked_hosts": "a"}', 400),
    ],
)
async def test_hosts_are_partitioned_only_if_the_settings_allow_it(
    fault_switch, data, status
):
    gateway = FakeGateway(make_rules(), fault_switch=fault_switch)
    gateway.blocked = frozenset()
    async with make_client(operator_app(gateway)) as client:
        assert (await client.post("/v1/faults", data=data)).status == status
    assert (gateway.blocked == {"a"}) is (status == 200)
