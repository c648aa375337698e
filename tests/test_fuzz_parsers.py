"""Fuzz each parser: no input causes an internal error or exposes a secret."""

import msgspec
import pytest
from aiohttp.test_utils import TestClient, TestServer
from hypothesis import given, strategies as st
from returns.result import Failure, Success

from burdockmill.messages.actions import FetchAnswer, SearchAnswer
from burdockmill.messages.peer import NO_BODY
from burdockmill.rules.parser import parse_rules
from burdockmill.settings import parse_settings
from burdockmill.surfaces.caller import caller_app
from burdockmill.surfaces.operator import operator_app
from burdockmill.surfaces.peer import peer_app
from tests.builders_wire import CALLER_KEY, make_rules
from tests.fakes import FakeGateway

AUTH = {"Authorization": f"Bearer {CALLER_KEY}"}
SEARCH_ANSWER = SearchAnswer(
    snapshot=1,
    coverage={"covered": 0, "total": 16384, "complete": False, "missing": []},
    hits=[],
    total=0,
    has_more=False,
)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
VERBS = st.sampled_from(["service", "upstream", "shard", "caller", "allow", "leaving"])
WORDS = st.sampled_from(
    [
        *("a", "b", "domain=waw-a", "address=10.0.0.1:80", "slots=0-16383", "slots=2"),
        *("connections=25", "connect=6ms", "service=a", "replicas=b,b", "rate=0/s"),
        *("kinds=search", "key=sha256:" + "0" * 64, "deadline=99999999999s"),
        *("=", "#", "\x00"),
    ]
)
RULE_LINES = st.builds(
    lambda verb, words, comment: f"{verb} {' '.join(words)} {comment}",
    VERBS | st.text(max_size=6),
    st.lists(WORDS | st.text(max_size=8), max_size=6),
    st.sampled_from(["# asked", "#", ""]),
)


@given(st.text() | st.lists(RULE_LINES, max_size=8).map("\n".join))
def test_any_rules_text_is_accepted_or_gets_every_problem_with_a_remedy(text):
    parsed = parse_rules(text, 1)
    assert parsed == parse_rules(text, 1)
    if isinstance(parsed, Failure):
        problems = parsed.failure()
        assert problems
        assert all(one.line >= 1 and one.column >= 1 for one in problems)
        assert all(one.message and one.remedy for one in problems)


@given(st.binary() | JSON_VALUES.map(msgspec.json.encode))
def test_any_settings_are_accepted_or_get_every_problem_with_a_remedy(data):
    parsed = parse_settings(data)
    assert isinstance(parsed, Success) or all(
        one.message and one.remedy for one in parsed.failure()
    )


def bodies_like(*names):
    fields = st.fixed_dictionaries({}, optional=dict.fromkeys(names, JSON_VALUES))
    extra = st.dictionaries(st.text(max_size=6), JSON_VALUES, max_size=2)
    shaped = st.builds(lambda a, b: msgspec.json.encode(a | b), fields, extra)
    truncated = st.builds(lambda body, end: body[:end], shaped, st.integers(0, 60))
    return (
        st.binary(max_size=80)
        | shaped
        | truncated
        | JSON_VALUES.map(msgspec.json.encode)
    )


SURFACES = {
    "search": (
        caller_app,
        "/v1/services/leave-search/search",
        AUTH,
        bodies_like("query", "limit"),
    ),
    "action": (
        caller_app,
        "/v1/services/leave-search/actions",
        AUTH,
        bodies_like("key", "action"),
    ),
    "batch": (
        peer_app,
        "/peer/v1/batch",
        {"Peer-Key": "secret"},
        bodies_like("sender", "work_requests", "work_answers", "work_cancels"),
    ),
    "faults": (operator_app, "/v1/faults", {}, bodies_like("blocked_hosts")),
}


@pytest.mark.parametrize("name", sorted(SURFACES))
async def test_any_body_gets_an_answer_or_a_json_error_with_ran_no(name):
    make_app, path, headers, bodies = SURFACES[name]
    answer = SEARCH_ANSWER if name == "search" else FetchAnswer("k", NO_BODY)
    gateway = FakeGateway(make_rules(), answer, fault_switch=True)
    samples = []

    @given(bodies)
    def collect(body):
        samples.append(body)

    collect()
    assert len(samples) >= 50
    async with TestClient(TestServer(make_app(gateway))) as client:
        for body in samples:
            async with client.post(path, data=body, headers=headers) as response:
                found = await response.json()
                assert response.status in (200, 400), (body, found)
                if response.status == 400:
                    assert found["ran"] == "no", body
                    assert found["remedy"], body
    assert all(kind != "internal" for _, kind in gateway.refused)


@pytest.mark.parametrize("name", sorted(SURFACES))
async def test_errors_do_not_contain_the_key_that_was_sent(name):
    make_app, path, _, _ = SURFACES[name]
    gateway = FakeGateway(make_rules(), fault_switch=True)
    secret = "a-secret-that-nobody-may-see"
    headers = {"Authorization": f"Bearer {secret}", "Peer-Key": secret}
    async with (
        TestClient(TestServer(make_app(gateway))) as client,
        client.post(path, data=b"{", headers=headers) as response,
    ):
        assert response.status in (400, 401)
        text = await response.text() + str(response.headers)
    assert secret not in text
    assert CALLER_KEY not in text
    assert gateway.settings.peer_key not in text
