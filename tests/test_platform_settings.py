"""Check the parsing of the platform's settings file and the early listening."""

import re
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, strategies as st
from returns.result import Failure, Success

from burdockmill.platform import daemon
from burdockmill.platform.early_listen import listen_early
from burdockmill.platform.settings_file import parse_platform_settings
from tests.builders_addresses import free_address
from tests.builders_platform import SETTINGS

ROOT = Path(__file__).parent.parent


def without(name):
    return "\n".join(
        line for line in SETTINGS.splitlines() if not line.startswith(name)
    )


def test_settings_are_read_and_unknown_keys_are_ignored():
    settings = parse_platform_settings(SETTINGS).unwrap()
    assert settings.host == settings.peer_address == "127.0.0.1:8224"
    assert settings.ingress_address == "127.0.0.1:8226"
    assert settings.store_address == "127.0.0.1:8229"
    assert settings.seeds == ("127.0.0.1:8224", "127.0.0.2:8224")
    assert settings.region_by_domain == {"waw-a": "mazowsze", "krk-a": "malopolska"}
    assert (settings.repeat_ratio, settings.repeat_allowance) == (0.2, 58.0)
    assert settings.repeat_window_ms == 10_000
    assert settings.change_limit_ms == 3_000
    assert settings.stop_grace_ms == 6_000


@pytest.mark.parametrize(
    ("name", "key"),
    [
        ("zone=", "domain"),
        ("listen.front", "ingress_address"),
        ("listen.control", "peer_address"),
        ("platform.address", "store_address"),
        ("bounds.grace-s", "stop_grace_ms"),
        ("bounds.retry-ratio", "repeat_ratio"),
        ("bounds.drain-ms", "change_limit_ms"),
    ],
)
def test_each_missing_value_is_reported_with_a_remedy(name, key):
    problems = parse_platform_settings(without(name)).failure()
    assert key in [problem.key for problem in problems]
    assert all(problem.remedy for problem in problems)


def test_all_problems_are_reported_at_once():
    text = SETTINGS.replace("127.0.0.1:8226", "nowhere").replace(
        "ratio=0.2", "ratio=many"
    )
    keys = {problem.key for problem in parse_platform_settings(text).failure()}
    assert keys == {"ingress_address", "repeat_ratio"}


@given(st.text())
def test_any_text_gives_settings_or_problems(text):
    parsed = parse_platform_settings(text)
    assert isinstance(parsed, Success | Failure)


def test_the_daemon_rejects_bad_settings_and_reports_all_problems(
    tmp_path, monkeypatch, capsys
):
    path = tmp_path / "boot.conf"
    path.write_text(without("zone="))
    monkeypatch.setenv("BURDOCKMILL_CONFIG", str(path))
    with pytest.raises(SystemExit) as exit_info:
        daemon.main()
    assert exit_info.value.code == 2
    assert "setting domain: it is missing" in capsys.readouterr().err


def test_the_daemon_reports_the_missing_environment_variable(monkeypatch, capsys):
    monkeypatch.delenv("BURDOCKMILL_CONFIG", raising=False)
    with pytest.raises(SystemExit):
        daemon.main()
    assert "BURDOCKMILL_CONFIG" in capsys.readouterr().err


PLATFORM_WORDS = re.compile(
    r"X-Burdockmill-|kv-(range|watch|key)|op/config|servers/|seq-num|cold-left-ms"
    r"|latency-goal-ms|min-coverage|top-k|max-attempts|max-conns|health-path"
    r"|BURDOCKMILL_CONFIG|boot\.conf|listen\.front|bounds\.(drain|retry|grace)"
)


def test_only_the_adapter_uses_the_platforms_names():
    for path in (ROOT / "burdockmill").rglob("*.py"):
        if "platform" in path.relative_to(ROOT / "burdockmill").parts[:1]:
            continue
        found = PLATFORM_WORDS.search(path.read_text())
        assert found is None, f"{path}: {found.group()}"


def test_the_adapter_is_small():
    def lines(paths):
        return sum(len(path.read_text().splitlines()) for path in paths)

    adapter = lines((ROOT / "burdockmill" / "platform").glob("*.py"))
    assert adapter < 0.1 * lines((ROOT / "burdockmill").rglob("*.py"))


def test_the_deploy_file_names_the_operators_port():
    from burdockmill.platform.settings_file import OPERATOR_PORT

    text = (ROOT / "deploy" / "system.toml").read_text()
    assert f'metrics = "{OPERATOR_PORT}/metrics"' in text


def test_the_host_listens_for_clients_before_the_program_is_loaded(
    tmp_path, monkeypatch
):
    path = tmp_path / "boot.conf"
    address = free_address()
    path.write_text(SETTINGS.replace("127.0.0.1:8226", address))
    monkeypatch.setenv("BURDOCKMILL_CONFIG", str(path))
    with listen_early() as listening:
        host, port = address.split(":")
        with socket.create_connection((host, int(port)), timeout=1.0):
            assert listening.getsockname() == (host, int(port))


@pytest.mark.parametrize("text", ["", "listen.front=nowhere", "listen.front=1.2.3:x"])
def test_an_unusable_address_is_not_listened_on_early(tmp_path, monkeypatch, text):
    path = tmp_path / "boot.conf"
    path.write_text(text)
    monkeypatch.setenv("BURDOCKMILL_CONFIG", str(path))
    assert listen_early() is None


def test_early_listening_imports_no_large_modules():
    code = (
        "import sys, burdockmill.platform.early_listen;"
        "print(any(name in sys.modules for name in ('aiohttp', 'asyncio', 'msgspec')))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "False"
