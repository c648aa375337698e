import hashlib
from pathlib import Path

import pytest
from hypothesis import given
from returns.result import Failure, Success

from burdockmill.rules import chunks
from burdockmill.rules.checks import RuleProblem
from burdockmill.rules.chunks import join_chunks, make_manifest, split_rules
from burdockmill.rules.differences import differences
from burdockmill.rules.model import Completion, RequestKind
from burdockmill.rules.parser import parse_rules
from burdockmill.rules.render import render_rule
from burdockmill.slots import SlotRange
from tests.builders_rules import ANY_TEXTS, DIGEST, RULES, rules_texts


def problems_of(line, before=RULES):
    """Return the problems that an added last line causes."""
    return [str(problem) for problem in parse_rules(before + line, 1).failure()]


def test_reads_every_verb():
    rules = parse_rules(RULES, 7).unwrap()
    service = rules.service_by_name["leave-search"]
    assert rules.revision == 7
    assert service.completion is Completion.LATENCY
    assert (service.deadline_ms, service.soft_deadline_ms) == (900, 80)
    assert service.hedge_fraction == pytest.approx(0.035)
    assert service.comment == "HR lead: August"
    assert rules.upstream_by_id["planner-1"].connect_ms == 6
    assert rules.upstream_by_id["planner-2"].address == "[fd00::2]:8080"
    first, second = rules.shards_by_service["leave-search"]
    assert first.slots == SlotRange(0, 8191)
    assert (first.replicas, first.documents) == (("planner-1", "planner-2"), 12)
    assert second.documents is None
    assert rules.shards_by_service["notify"] == ()
    assert rules.caller_by_digest[DIGEST].name == "payroll"
    allow = rules.allow_by_caller_service["payroll", "leave-search"]
    assert allow.kinds == {RequestKind.FETCH, RequestKind.SEARCH}
    assert allow.rate_per_second == 2.5
    assert rules.leaving_by_upstream["planner-2"].comment == "Ops: new disks"


def test_rule_without_a_comment_is_refused_with_a_remedy():
    assert problems_of("service late") == [
        "line 12, column 13: the rule has no comment; "
        "add '# who asked and why' at the end of the line"
    ]
    assert "no comment" in problems_of("service late #  ")[0]


UPSTREAM = "upstream u domain=d slots=1 connections=1 address="
SHARD = "shard s service=notify replicas=planner-1 slots="


@pytest.mark.parametrize(
    ("line", "column", "expected"),
    [
        ("frob x # a", 1, "unknown verb 'frob'"),
        ("service # a", 8, "no name follows"),
        ("service hedge=1% # a", 8, "no name follows"),
        ("service a/b # a", 9, "not a name"),
        ("service x y # a", 11, "not key=value"),
        ("service x colour=red # a", 11, "unknown key 'colour'"),
        ("service x hedge=1% hedge=2% # a", 20, "given twice"),
        ("service x hedge=6% # a", 17, "bad value '6%'"),
        ("service x deadline=0ms # a", 20, "bad value '0ms'"),
        ("service x deadline=61s # a", 20, "bad value '61s'"),
        ("service x completion=soon # a", 22, "bad value 'soon'"),
        ("service x deadline=9ms soft-deadline=10ms # a", 38, "is after"),
        ("service x completion=latency deadline=9ms # a", 9, "is after"),
        ("service notify # a", 9, "already on line 4"),
        ("leaving planner-2 # a", 9, "already on line 11"),
        ("leaving nowhere # a", 9, "no rule names the upstream 'nowhere'"),
        ("leaving planner-1 at=1 # a", 19, "unknown key 'at'"),
        (f"caller c key=sha256:{DIGEST} # a", 14, "already on line 9"),
        ("caller c key=sha256:ab # a", 14, "bad value (hidden)"),
        ("caller c # a", 1, "lacks the key 'key'"),
        ("allow c service=notify kinds=fetch # a", 7, "names the caller 'c'"),
        ("allow payroll service=x kinds=fetch # a", 23, "names the service 'x'"),
        ("allow payroll service=notify kinds=fetch,x # a", 36, "bad value 'fetch,x'"),
        ("allow payroll service=leave-search kinds=fetch # a", 7, "on line 10"),
        (f"{UPSTREAM}localhost:80 # a", 51, "bad value 'localhost:80'"),
        (f"{UPSTREAM}10.0.0.1:0 # a", 51, "bad value"),
        (f"{UPSTREAM}10.0.0.256:80 # a", 51, "bad value"),
        (f"{UPSTREAM}10.0.0.1:80 connect=x # a", 71, "bad value 'x'"),
        (f"{SHARD}5-4 # a", 49, "bad value '5-4'"),
        (f"{SHARD}0-16384 # a", 49, "bad value '0-16384'"),
        (f"{SHARD}٠-٩ # a", 49, "bad value"),
        (
            "shard s service=notify slots=0-1 replicas=planner-1,gone # a",
            53,
            "names the upstream 'gone'",
        ),
        (
            "shard s service=notify slots=0-1 replicas=planner-1,planner-1 # a",
            43,
            "bad value",
        ),
        ("service x # a\x07b", 14, "control character U+0007"),
        ("# \u202e hidden", 3, "control character U+202E"),
        ("#" * 4097, 4097, "the line has 4097 characters"),
    ],
)
def test_locates_a_problem(line, column, expected):
    (problem,) = problems_of(line)
    assert problem.startswith(f"line 12, column {column}: ")
    assert expected in problem.partition("; ")[0]
    assert problem.partition("; ")[2]


def test_lists_every_problem_in_order_of_place():
    text = "frob x\nservice y hedge=x colour=red # a\nleaving z # a"
    found = parse_rules(text, 1).failure()
    assert [(problem.line, problem.column) for problem in found] == [
        (1, 1),
        (1, 7),
        (2, 17),
        (2, 19),
        (3, 9),
    ]


def test_a_problem_in_a_rule_does_not_make_its_name_unknown():
    text = "service x hedge=no # a\nupstream u # a\n"
    shard = "shard s service=x slots=0-1 replicas=u # a"
    found = parse_rules(text + shard, 1).failure()
    assert {problem.line for problem in found} == {1, 2}


def test_a_caller_key_in_place_of_its_digest_is_not_shown():
    assert not any("hunter2" in one for one in problems_of("caller c key=hunter2 # a"))


def test_accepts_windows_line_ends():
    assert parse_rules(RULES.replace("\n", "\r\n"), 1) == parse_rules(RULES, 1)


@given(ANY_TEXTS)
def test_any_text_gets_the_same_result_twice(text):
    result = parse_rules(text, 1)
    assert result == parse_rules(text, 1)
    if isinstance(result, Failure):
        assert result.failure()
        assert all(isinstance(problem, RuleProblem) for problem in result.failure())


@given(rules_texts())
def test_a_rule_set_does_not_differ_from_itself(text):
    rules = parse_rules(text, 1).unwrap()
    assert differences(rules, rules._replace(revision=2)) == ()


@given(rules_texts())
def test_differences_from_empty_rules_parse_to_the_same_rules(text):
    rules = parse_rules(text, 1).unwrap()
    added = differences(parse_rules("", 0).unwrap(), rules)
    assert parse_rules("\n".join(one.after for one in added), 1).unwrap() == rules


def test_differences_carry_the_comment_of_the_newest_version():
    before = parse_rules(RULES, 1).unwrap()
    changed = RULES.replace("leaving planner-2 # Ops: new disks\n", "")
    changed = changed.replace("service notify #", "service notify deadline=1s #")
    changed += "service extra # Marshal: festival\n"
    found = differences(before, parse_rules(changed, 2).unwrap())
    assert [(one.change, one.verb, one.name, one.comment) for one in found] == [
        ("removed", "leaving", "planner-2", "Ops: new disks"),
        ("added", "service", "extra", "Marshal: festival"),
        ("changed", "service", "notify", "Support desk"),
    ]
    assert found[0].after is None
    assert "deadline=800ms" in found[2].before
    assert "deadline=1000ms" in found[2].after


@given(rules_texts())
def test_chunks_join_to_an_equal_rule_set(text):
    manifest, data_by_digest = make_manifest(text, 3)
    joined = join_chunks(manifest, data_by_digest).unwrap()
    assert parse_rules(joined, 3) == parse_rules(text, 3)
    assert make_manifest(joined, 3) == (manifest, data_by_digest)


def test_a_change_to_one_service_leaves_the_other_chunks():
    changed = RULES.replace("service notify", "service notify hedge=1%")
    before, _ = make_manifest(RULES, 1)
    after, _ = make_manifest(changed, 2)
    assert [chunk["name"] for chunk in before["chunks"]] == [
        "common",
        "service/leave-search",
        "service/notify",
    ]
    assert before["chunks"][:2] == after["chunks"][:2]
    assert before["chunks"][2] != after["chunks"][2]


def test_a_large_service_is_split_into_numbered_chunks(monkeypatch):
    monkeypatch.setattr(chunks, "MAX_CHUNK_BYTES", 200)
    parts = split_rules(RULES)
    assert {"service/leave-search", "service/leave-search/2"} <= {p.name for p in parts}
    assert all(len(part.data) <= 200 for part in parts)
    assert isinstance(join_chunks(*make_manifest(RULES, 1)), Success)


def test_chunks_stay_under_a_megabyte():
    line = f"# {'ż' * 4000}\n"
    parts = split_rules(line * 300)
    assert [part.name for part in parts] == ["common", "common/2", "common/3"]
    assert all(len(part.data) < 1_000_000 for part in parts)
    assert b"".join(part.data for part in parts).decode() == line * 300


def test_join_reports_absent_and_damaged_chunks():
    manifest, data_by_digest = make_manifest(RULES, 1)
    first, second, _ = (chunk["digest"] for chunk in manifest["chunks"])
    del data_by_digest[first]
    data_by_digest[second] += b"x"
    found = join_chunks(manifest, data_by_digest).failure()
    assert [(one.name, one.message) for one in found] == [
        ("common", "it is absent"),
        ("service/leave-search", "its digest differs"),
    ]


def test_bytes_that_are_not_utf8_are_refused_by_line():
    data = b"service x # \xff\n"
    digest = hashlib.sha256(data).hexdigest()
    manifest = {"revision": 1, "chunks": [{"name": "common", "digest": digest}]}
    text = join_chunks(manifest, {digest: data}).unwrap()
    (problem,) = parse_rules(text, 1).failure()
    assert (problem.line, problem.column) == (1, 13)


def test_renders_a_rule_as_a_line():
    rules = parse_rules(RULES, 1).unwrap()
    allow = rules.allow_by_caller_service["payroll", "leave-search"]
    assert render_rule(allow) == (
        "allow payroll service=leave-search kinds=search,fetch rate=2.5/s "
        "# Payroll lead"
    )


def test_example_in_the_rules_page_is_accepted():
    page = Path(__file__).parent.parent / "docs" / "RULES.md"
    lines = [line for line in page.read_text().split("\n") if " # " in line[4:]]
    example = [line for line in lines if line.startswith("    ") and "VERB" not in line]
    assert len(example) == 6
    assert isinstance(parse_rules("\n".join(example), 1), Success)
