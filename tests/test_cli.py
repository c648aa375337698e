import json
import sys

import pytest
from typer.testing import CliRunner

from burdockmill.cli import app
from tests.builders_rules import settings_bytes

RULE = "service leave-search deadline=800ms # Payroll lead: salary slips\n"
OTHER = "service leave-search deadline=900ms # Payroll lead: slower is fine\n"


@pytest.fixture
def files(tmp_path):
    def write(name, content):
        path = tmp_path / name
        path.write_bytes(content if isinstance(content, bytes) else content.encode())
        return str(path)

    return write


def run(*words, **options):
    return CliRunner().invoke(app, list(words), **options)


def test_check_accepts_good_rules_and_settings(files):
    rules, settings = files("r", RULE), files("s", settings_bytes())
    result = run("check", "--rules", rules, "--settings", settings)
    assert (result.exit_code, result.stdout) == (0, "No problem found.\n")


def test_check_lists_every_problem_for_scripts(files):
    rules = files("r", "service a b # x\nfoo bar # y\n")
    settings = files("s", settings_bytes(depth_limit=0))
    result = run("check", "--rules", rules, "--settings", settings, "--json")
    found = json.loads(result.stdout)
    assert (result.exit_code, found["ok"]) == (1, False)
    places = [one["place"] for one in found["problems"]]
    assert places == [
        "line 1, column 11",
        "line 2, column 1",
        "setting depth_limit",
    ]
    assert all(one["remedy"] for one in found["problems"])


def test_diff_lists_changed_rules_with_their_comments(files):
    before, after = files("a", RULE), files("b", OTHER)
    result = run("diff", before, after)
    assert result.exit_code == 1
    assert "changed service leave-search: Payroll lead: slower is fine" in result.stdout
    (found,) = json.loads(run("diff", before, after, "--json").stdout)
    assert (found["change"], found["name"]) == ("changed", "leave-search")
    same = run("diff", before, before)
    assert (same.exit_code, same.stdout) == (0, "No difference.\n")


@pytest.mark.parametrize(
    ("words", "expected"),
    [
        (["check"], "nothing to check"),
        (["check", "--rules", "/nowhere/at/all"], "cannot read"),
        (["query", "leave-search"], "give either"),
        (["query", "leave-search", "{"], "not valid JSON"),
        (["standin", "upstream", "u", "--slots-held", "9-2"], "not within"),
        (["standin", "upstream", "u", "--slots-held", "all"], "FIRST-LAST"),
    ],
)
def test_bad_input_is_reported_with_exit_status_2(words, expected):
    result = run(*words)
    assert result.exit_code == 2
    assert expected in result.stderr


def test_bad_settings_stop_a_host_before_it_serves(files):
    path = files("s", settings_bytes(depth_limit=0, hits_limit=0))
    result = run("serve", "--settings", path)
    assert result.exit_code == 2
    assert "depth_limit" in result.stderr
    assert "hits_limit" in result.stderr


@pytest.mark.parametrize(
    "words",
    [
        ["status", "127.0.0.1:1"],
        ["explain", "r1", "--host", "127.0.0.1:1"],
        ["query", "leave-search", "{}", "--address", "127.0.0.1:1"],
    ],
)
def test_host_that_does_not_answer_is_an_error(words):
    result = run(*words)
    assert result.exit_code == 1
    assert "127.0.0.1:1" in result.stdout + result.stderr


def test_each_command_has_help_with_an_example():
    names = ["serve", "check", "diff", "status", "explain", "query", "demo"]
    for name in names:
        assert "Example: " in run(name, "--help").stdout, name


def test_table_is_plain_text_in_a_pipe(capsys):
    from burdockmill.cli._output import write_table

    assert not sys.stdout.isatty()
    write_table("Hosts", ("a", "b"), [("x\n[red]", 1)])
    assert capsys.readouterr().out == "# Hosts\na\tb\nx\\n[red]\t1\n"
