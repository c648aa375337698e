"""Check that the explain command explains a request from log lines alone."""

import json

from typer.testing import CliRunner

from burdockmill.cli import app


def log_line(part, choice, second, request_id="r-1", **inputs):
    logged = {
        "time": f"2026-12-04T10:00:0{second}+00:00",
        "level": "INFO",
        "message": "",
        "part": part,
        "request_id": request_id,
        "choice": choice,
        "reason": "why",
        "passed_over": [],
    }
    return json.dumps(logged | inputs)


def explain(*words, text=None):
    return CliRunner().invoke(app, ["explain", *words], input=text)


def test_decisions_of_one_request_come_in_order_with_their_inputs(tmp_path):
    path = tmp_path / "log"
    path.write_text(
        "\n".join(
            [
                log_line(
                    "answer", "9 of 10 shards", 2.5, attempts=[["u-1", "first", 0.1]]
                ),
                "host-1 " + log_line("hedge", "sent to u-2", 1.0, budget_left=2.5),
                log_line("answer", "all 10 shards", 1.5, request_id="r-2"),
                "no JSON with r-1",
                '{"request_id": "r-1"}',
            ]
        )
    )
    result = explain("r-1", "--log", str(path))
    assert result.exit_code == 0
    first, budget, second, attempts = result.stdout.rstrip("\n").split("\n")
    assert first == "      0.0 ms  host-1  hedge: sent to u-2 (why)"
    assert budget.strip() == "budget_left=2.5"
    assert second == "   1500.0 ms    answer: 9 of 10 shards (why)"
    assert attempts.strip() == "attempts=u-1 first 0.1"


def test_log_is_read_from_standard_input():
    result = explain("r-1", "--log", "-", text=log_line("answer", "504", 1) + "\n")
    assert "answer: 504" in result.stdout


def test_missing_log_request_or_option_ends_with_an_error(tmp_path):
    assert explain("r-1", "--log", str(tmp_path / "absent")).exit_code != 0
    assert explain("r-1", "--log", "-", text="").exit_code == 1
    assert explain("r-1").exit_code != 0
