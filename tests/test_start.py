import asyncio
import os
import signal
import subprocess
import sys

import pytest

from burdockmill.lean_service import run_until_stopped

# Each of these takes tens of milliseconds to load and serves no forwarded request.
NEEDLESS = (
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


def test_a_host_on_the_platform_loads_only_what_it_serves_with():
    code = "import burdockmill.platform.daemon, sys; print(*sys.modules)"
    run = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    loaded = set(run.stdout.split())
    assert "burdockmill.forwarding_node" in loaded
    assert loaded.isdisjoint(NEEDLESS)


def test_a_host_serves_until_it_is_told_to_stop():
    host = FakeHost()
    run_until_stopped(lambda: host, 1_000.0, lambda: None)
    assert host.steps == ["starts", "serves", "stops"]


def test_a_host_that_is_told_to_stop_while_it_starts_stops():
    host = FakeHost(start_s=60.0)
    run_until_stopped(lambda: host, 1_000.0, lambda: None)
    assert host.steps == ["starts", "stops"]


def test_a_host_that_cannot_start_ends_with_its_error():
    class Broken(FakeHost):
        async def start(self):
            raise OSError("address in use")

    with pytest.raises(OSError, match="address in use"):
        run_until_stopped(Broken, 1_000.0, lambda: None)


def test_a_hangup_is_passed_on():
    heard = []

    class HungUp(FakeHost):
        async def start(self):
            os.kill(os.getpid(), signal.SIGHUP)
            await super().start()

    run_until_stopped(HungUp, 1_000.0, lambda: heard.append("hangup"))
    assert heard == ["hangup"]
