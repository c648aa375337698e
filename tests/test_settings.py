from pathlib import Path

import pytest
from hypothesis import given, strategies as st
from returns.result import Failure

from burdockmill.settings import Seed, SettingProblem, parse_settings
from tests.builders_rules import SETTINGS, settings_bytes

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def problems_of(**changes):
    return parse_settings(settings_bytes(**changes)).failure()


def test_reads_settings_and_defaults():
    settings = parse_settings(settings_bytes(depth_limit=8)).unwrap()
    assert settings.host == "entry-1"
    assert settings.platform_addresses == ("127.0.0.1:9000",)
    assert settings.seeds == (Seed("entry-2", "krk-a", "127.0.0.1:9001"),)
    assert (settings.depth_limit, settings.hits_limit) == (8, 1000)
    assert (settings.log_format, settings.log_level) == ("text", "INFO")


def test_hides_the_peer_key():
    settings = parse_settings(settings_bytes()).unwrap()
    key = SETTINGS["peer_key"]
    assert settings.peer_key == key
    assert key not in repr(settings)
    assert key not in f"{settings} {settings!s}"
    assert "short-one" not in str(problems_of(peer_key="short-one"))


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("host", "a b"),
        ("host", "entry\n"),
        ("region", 3),
        ("caller_address", "localhost:80"),
        ("peer_address", "10.0.0.1"),
        ("operator_address", "10.0.0.1:65536"),
        ("platform_addresses", "10.0.0.1:80"),
        ("platform_addresses", ["10.0.0.1:0"]),
        ("seeds", None),
        ("peer_key", "fifteen-letters"),
        ("peer_key", "sixteen letters and spaces"),
        ("log_format", "xml"),
        ("log_level", "info"),
        ("body_limit_bytes", -1),
        ("depth_limit", True),
        ("hits_limit", "1000"),
        ("stop_grace_ms", 1.5),
        ("connection_share", 0),
        ("connection_share", 1.1),
    ],
)
def test_reports_a_wrong_value_by_its_key(key, value):
    (problem,) = problems_of(**{key: value})
    assert problem.key == key
    assert problem.message
    assert problem.remedy


def test_lists_wrong_missing_and_unknown_keys():
    seeds = [7, {"host": "x", "peer_address": "10.0.0.1:0", "port": 1}]
    found = parse_settings(
        settings_bytes(seeds=seeds, depth_limit=0, colour="red").replace(
            b'"domain": "waw-a", ', b""
        )
    ).failure()
    assert [problem.key for problem in found] == [
        "domain",
        "depth_limit",
        "colour",
        "seeds[0]",
        "seeds[1].domain",
        "seeds[1].peer_address",
        "seeds[1].port",
    ]
    assert str(found[0]).startswith("setting domain: it is missing; give ")


@pytest.mark.parametrize(
    "data", [b"", b"{", b"[]", b"7", b"\xff", b'{"host": "\xff"}', b"[" * 100_000]
)
def test_reports_a_document_that_is_not_an_object(data):
    (problem,) = parse_settings(data).failure()
    assert problem.key == "(document)"


@given(st.binary())
def test_any_bytes_are_parsed_twice_with_the_same_result(data):
    assert parse_settings(data) == parse_settings(data)


@given(st.sampled_from(sorted(SETTINGS)), JSON_VALUES)
def test_any_value_is_accepted_or_reported(key, value):
    result = parse_settings(settings_bytes(**{key: value}))
    if isinstance(result, Failure):
        assert all(isinstance(problem, SettingProblem) for problem in result.failure())


def test_the_example_in_the_settings_page_is_accepted():
    page = Path(__file__).parent.parent / "docs" / "SETTINGS.md"
    lines = [one for one in page.read_text().split("\n") if one.startswith("    ")]
    assert parse_settings("\n".join(lines).encode()).unwrap().host == "entry-1"
