"""Check what hosts record of the limits that upstreams name in their answers."""

import math

import pytest

from burdockmill.forwarding.messages import AttemptEnd
from burdockmill.tables.upstream_limits import ROWS_LIMIT, UpstreamLimits
from tests.builders_forwarding import make_registration
from tests.builders_platform import StandinUpstream
from tests.test_forwarding_client import Caller


@pytest.fixture
async def upstream():
    async with StandinUpstream("u-1") as started:
        yield started


@pytest.fixture
async def caller(upstream):
    made = Caller(upstream)
    yield made
    await made.client.close()


def answer_with(upstream, extra, status="200 OK"):
    async def script(self, request, writer):
        writer.write(self.answer(request, status=status, extra=extra))

    upstream.script = script


@pytest.mark.parametrize("name", ["Server-Limit", "X-Burdockmill-Server-Limit"])
@pytest.mark.parametrize(
    ("status", "extra"),
    [
        ("200 OK", ""),
        ("500 Failed", ""),
        ("503 Busy", "X-Burdockmill-Not-Executed: 1\r\n"),
    ],
)
async def test_any_answer_may_name_a_limit(upstream, caller, name, status, extra):
    answer_with(upstream, f"{name}: 23.5\r\n{extra}", status)
    outcome = await caller.send()
    assert outcome.limit_per_s == 23.5
    assert outcome.sent_ms <= caller.clock.now_ms()


async def test_an_answer_without_the_header_names_no_limit(upstream, caller):
    assert (await caller.send()).limit_per_s == math.inf


async def test_an_answer_of_another_upstream_names_no_limit_of_this_one(
    upstream, caller
):
    answer_with(upstream, "Server-Limit: 3\r\n", "421 Misdirected Request")
    outcome = await caller.send()
    assert outcome.end is AttemptEnd.WRONG_INSTANCE
    assert outcome.limit_per_s is None


@pytest.mark.parametrize(
    ("values", "limit_per_s"),
    [
        (["0"], 0.0),
        (["0.25"], 0.25),
        (["7."], 7.0),
        (["1000000"], 1_000_000.0),
        (["9", "4.5"], 4.5),
        (["9", "nan"], 9.0),
        (["-1"], None),
        (["nan"], None),
        (["inf"], None),
        (["1e3"], None),
        (["soon"], None),
        ([""], None),
        (["1" * 3_000], None),
        (["1,5"], None),
        (["٣"], None),
    ],
)
async def test_malformed_limits_are_ignored(upstream, caller, values, limit_per_s):
    lines = "".join(f"Server-Limit: {value}\r\n" for value in values)
    answer_with(upstream, lines)
    outcome = await caller.send()
    assert outcome.end is AttemptEnd.ANSWERED
    assert outcome.limit_per_s == limit_per_s
    assert bool(outcome.ignored) == (limit_per_s is None or "nan" in values)
    assert len(outcome.ignored) < 100


def test_a_late_answer_does_not_bring_back_an_old_figure():
    limits = UpstreamLimits()
    one = make_registration()
    assert limits.record(one, 20.0, sent_ms=100.0, now_ms=120.0)
    assert limits.record(one, 10.0, sent_ms=110.0, now_ms=125.0)
    assert not limits.record(one, 20.0, sent_ms=105.0, now_ms=130.0)
    assert limits.of(one).limit_per_s == 10.0


def test_a_limit_ends_by_an_answer_to_a_request_sent_after_it_was_named():
    limits = UpstreamLimits()
    one = make_registration()
    limits.record(one, 20.0, sent_ms=100.0, now_ms=120.0)
    assert not limits.record(one, math.inf, sent_ms=119.0, now_ms=140.0)
    assert limits.of(one) is not None
    assert limits.record(one, math.inf, sent_ms=121.0, now_ms=150.0)
    assert limits.of(one) is None


def test_a_malformed_limit_neither_sets_nor_ends_one():
    limits = UpstreamLimits()
    one = make_registration()
    assert not limits.record(one, None, 0.0, 1.0)
    assert limits.of(one) is None
    limits.record(one, 5.0, 2.0, 3.0)
    limits.record(one, None, 4.0, 5.0)
    assert limits.of(one).limit_per_s == 5.0


def test_small_changes_are_not_reported():
    limits = UpstreamLimits()
    one = make_registration()
    reported = [
        limits.record(one, limit_per_s, float(number), float(number))
        for number, limit_per_s in enumerate((20.0, 20.5, 21.5, 22.1, 11.0))
    ]
    assert reported == [True, False, False, True, True]
    assert limits.of(one).limit_per_s == 11.0


def test_a_limit_holds_for_one_incarnation():
    limits = UpstreamLimits()
    one = make_registration()
    limits.record(one, 5.0, 2.0, 3.0)
    assert limits.of(one._replace(started_ms=one.started_ms + 1)) is None


def test_the_number_of_limits_is_bounded():
    limits = UpstreamLimits()
    for number in range(ROWS_LIMIT + 5):
        limits.record(make_registration(f"u-{number}"), 5.0, 1.0, 2.0)
    assert len(list(limits.rows())) == ROWS_LIMIT
