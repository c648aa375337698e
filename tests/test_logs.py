import io
import json

import pytest
from hypothesis import given, strategies as st
from loguru import logger

from burdockmill.decision_log import (
    DECISIONS_TOTAL_LIMIT,
    REQUESTS_LIMIT,
    STORED_ID_CHARS,
    DecisionLog,
)
from burdockmill.logs import set_up_logs
from burdockmill.messages.actions import LogDecision

FORGED = "good\n2026-12-03T00:00:00.000 INFO    route: forged\x1b[2J\u2028\x85\ud800"


@pytest.fixture(autouse=True)
def _restore_logs():
    yield
    set_up_logs("text", "WARNING")


def lines_of(log_format, write, level="INFO"):
    out = io.StringIO()
    set_up_logs(log_format, level, out)
    write()
    return out.getvalue().split("\n")[:-1]


def log_decisions(*decisions):
    log = DecisionLog()
    for decision in decisions:
        log.add(decision, 1.0)
    log.flush()


def test_each_decision_is_a_line_and_none_is_rendered_below_the_level():
    decisions = [
        LogDecision("route", "r1", f"u{n}", "nearest", ("v",)) for n in range(3)
    ]
    lines = lines_of("text", lambda: log_decisions(*decisions))
    assert [line.split(" INFO    ")[1] for line in lines] == [
        f"route: [r1] u{n} (nearest); passed over v" for n in range(3)
    ]
    fields = json.loads(lines_of("json", lambda: log_decisions(*decisions))[2])
    assert (fields["part"], fields["choice"], fields["level"]) == (
        "route",
        "u2",
        "INFO",
    )
    assert lines_of("text", lambda: log_decisions(*decisions), level="WARNING") == []


@pytest.mark.parametrize("log_format", ["text", "json"])
@given(text=st.text() | st.just(FORGED))
def test_nothing_a_caller_sends_can_forge_a_line(log_format, text):
    decision = LogDecision("route", text, text, text, (text,))
    for write in (
        lambda: log_decisions(decision),
        lambda: logger.bind(extra=text).info(text),
    ):
        (line,) = lines_of(log_format, write)
        assert line.isprintable()
        if log_format == "json":
            json.loads(line)


@pytest.mark.parametrize("log_format", ["text", "json"])
def test_traceback_shows_no_values_and_forges_no_line(log_format):
    def fail():
        secret = "very-secret-key"
        try:
            raise ValueError("bad\n2026 INFO forged " + "x" * len(secret))
        except ValueError:
            logger.exception("request: {} failed inside.", "r1")

    lines = lines_of(log_format, fail)
    assert not any("very-secret-key" in line for line in lines)
    assert all("ERROR" in line for line in lines)


def test_stored_decisions_are_bounded_and_evicted_requests_are_counted():
    log = DecisionLog()
    for number in range(REQUESTS_LIMIT + 5):
        log.add(LogDecision("route", f"r{number}", "u", "nearest"), 1.0)
    assert log.decisions_of("r4") == []
    assert len(log.decisions_of("r5")) == 1
    assert log.counts["requests_forgotten"] == 5
    decisions_per_request = 3_000
    requests = DECISIONS_TOTAL_LIMIT // decisions_per_request + 3
    for number in range(requests):
        for _ in range(decisions_per_request):
            log.add(LogDecision("route", f"big{number}", "u", "nearest"), 1.0)
    stored = sum(len(log.decisions_of(f"big{number}")) for number in range(requests))
    assert stored <= DECISIONS_TOTAL_LIMIT
    assert len(log.decisions_of(f"big{requests - 1}")) == decisions_per_request


def test_decisions_on_requests_with_long_ids_are_logged_but_not_stored():
    longest, longer = "x" * STORED_ID_CHARS, "x" * (STORED_ID_CHARS + 1)
    log = DecisionLog()
    for request_id in (longest, longer):
        log.add(LogDecision("route", request_id, "u", "nearest"), 1.0)
    assert [len(log.decisions_of(one)) for one in (longest, longer)] == [1, 0]
    assert log.counts["decisions_forgotten"] == 1
    assert any(longer in line for line in lines_of("json", log.flush))
