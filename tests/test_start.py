import asyncio
import os
import re
import signal
import site
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from burdockmill.fast_start_service import run_until_stopped
from burdockmill.platform.daemon import EXIT_BAD_SETTINGS

DEPLOY_FILE = Path(__file__).parents[1] / "deploy" / "system.toml"
PACKAGE_FOLDERS = site.getsitepackages()

# Each takes tens of milliseconds to import, and no forwarded request needs it.
UNNEEDED_MODULES = (
    "site",
    "certifi",
    "aiomisc",
    "typer",
    "rich",
    "burdockmill.rules.grammar",
    "burdockmill.systems.owner_system",
    "burdockmill.systems.search_system",
    "burdockmill.systems.config_system",
    "burdockmill.systems.ticket_holder_system",
    "burdockmill.node",
)


class FakeHost:
    def __init__(self, start_s=0.0):
        self.steps = []
        self._start_s = start_s

    async def start(self):
        self.steps.append("starts")
        loop = asyncio.get_running_loop()
        loop.call_later(0.01, os.kill, os.getpid(), signal.SIGTERM)
        await asyncio.sleep(self._start_s)
        self.steps.append("serves")

    async def stop(self):
        self.steps.append("stops")


def run_as_deployed(*arguments):
    """Run Python with the options and the variables of the deploy file."""
    deployed = tomllib.loads(DEPLOY_FILE.read_text())["roles"]["host"]
    options = deployed["run"].split()[1 : deployed["run"].split().index("-m")]
    paths = os.pathsep.join((str(DEPLOY_FILE.parents[1]), *PACKAGE_FOLDERS))
    env = os.environ | deployed["env"] | {"PYTHONPATH": paths}
    env.pop("BURDOCKMILL_CONFIG", None)
    return subprocess.run(
        [sys.executable, *options, *arguments],
        capture_output=True,
        text=True,
        env=env,
        check=False,
    )


def test_the_deployed_command_needs_only_the_declared_packages():
    run = run_as_deployed("-m", "burdockmill.platform")
    assert run.returncode == EXIT_BAD_SETTINGS
    assert "BURDOCKMILL_CONFIG is not set" in run.stderr


def test_the_build_in_production_is_a_commit_of_the_history():
    production = tomllib.loads(DEPLOY_FILE.read_text())["production"]
    assert re.fullmatch("[0-9a-f]{40}", production)
    # A shallow clone holds no history to search.
    if run_git("rev-parse", "--is-shallow-repository").stdout.strip() == "false":
        ancestry = run_git("merge-base", "--is-ancestor", production, "HEAD")
        assert ancestry.returncode == 0


def run_git(*words):
    words = ["git", *words]
    return subprocess.run(
        words, cwd=DEPLOY_FILE.parent, check=False, capture_output=True, text=True
    )


def test_a_platform_host_imports_no_unneeded_module():
    code = "import burdockmill.platform.daemon, sys; print(*sys.modules)"
    run = run_as_deployed("-c", code)
    loaded = set(run.stdout.split())
    assert "burdockmill.forwarding_node" in loaded
    assert loaded.isdisjoint(UNNEEDED_MODULES)


def test_a_host_serves_until_sigterm():
    host = FakeHost()
    run_until_stopped(lambda: host, 1_000.0, lambda: None)
    assert host.steps == ["starts", "serves", "stops"]


def test_a_host_stops_on_sigterm_during_its_start():
    host = FakeHost(start_s=60.0)
    run_until_stopped(lambda: host, 1_000.0, lambda: None)
    assert host.steps == ["starts", "stops"]


def test_a_failed_start_raises_its_error():
    class FailingHost(FakeHost):
        async def start(self):
            raise OSError("address in use")

    with pytest.raises(OSError, match="address in use"):
        run_until_stopped(FailingHost, 1_000.0, lambda: None)


def test_sighup_calls_its_handler():
    hangups = []

    class HangupHost(FakeHost):
        async def start(self):
            os.kill(os.getpid(), signal.SIGHUP)
            await super().start()

    run_until_stopped(HangupHost, 1_000.0, lambda: hangups.append("hangup"))
    assert hangups == ["hangup"]
