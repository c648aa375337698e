"""Check that changed settings are applied while a host runs."""

import asyncio
import json
import os
import re
import signal
import sys

import pytest
from loguru import logger

from burdockmill.platform.settings_file import parse_platform_settings
from burdockmill.settings_watcher import SettingsWatcher
from tests.builders_addresses import free_address
from tests.builders_forwarding_node import Site, until
from tests.builders_platform import (
    SETTINGS,
    StandinStore,
    configuration_of,
    single_route,
)


class FakeSettingsFile:
    def __init__(self):
        self.text = SETTINGS
        self.applied = []
        settings, problems = self.read()
        assert problems == ()
        self.watch = SettingsWatcher(settings, self.read, self.applied.append)

    def read(self, last=None):
        if self.text is None:
            raise OSError("no such file")
        return parse_platform_settings(self.text, last)


def test_changed_settings_are_applied_once():
    file = FakeSettingsFile()
    file.watch.check()
    assert file.applied == []
    file.text = SETTINGS.replace("retry-extra=58", "retry-extra=20")
    file.watch.check()
    file.watch.check()
    assert [one.repeat_allowance for one in file.applied] == [20.0]


def test_invalid_or_missing_settings_are_reported_and_the_last_ones_stay():
    lines = []
    sink = logger.add(lines.append, format="{message}")
    file = FakeSettingsFile()
    file.text = SETTINGS.replace("zone=waw-a", "zone=")
    file.watch.check()
    file.watch.check()
    file.text = None
    file.watch.check()
    logger.remove(sink)
    assert file.applied == []
    assert sum("setting domain" in line for line in lines) == 1
    assert any("cannot be read" in line for line in lines)


def test_a_malformed_value_keeps_no_other_change_from_taking_effect():
    file = FakeSettingsFile()
    changed = SETTINGS.replace("retry-extra=58", "retry-extra=20")
    file.text = changed.replace("drain-ms=3000", "drain-ms=soon")
    file.watch.check()
    file.watch.check()
    assert [one.repeat_allowance for one in file.applied] == [20.0]
    assert [one.change_limit_ms for one in file.applied] == [3_000]


# Guards against a safe default that stays in force unseen once its line has passed.
async def test_metrics_state_how_many_settings_are_replaced_until_they_are_valid():
    file = FakeSettingsFile()
    async with Site() as site:
        node = site.nodes[0]
        node.watch_settings(file.watch)
        for text, replaced in (
            (SETTINGS, 0),
            (SETTINGS.replace("drain-ms=3000", "drain-ms=soon"), 1),
            (SETTINGS.replace("drain-ms=3000", "drain-ms=").replace("zone=", "z="), 2),
            (SETTINGS, 0),
        ):
            file.text = text
            file.watch.check()
            text, _ = node._reports.metrics_text(("text/plain",))
            [line] = re.findall(rb"^burdockmill_settings_replaced.*", text, re.M)
            assert line.split()[-1] == str(replaced).encode()


def test_a_file_that_cannot_be_read_is_reported_once_until_that_changes():
    lines = []
    sink = logger.add(lines.append, format="{message}")
    file = FakeSettingsFile()
    for text in (None, None, None, SETTINGS, None, None):
        file.text = text
        file.watch.check()
    logger.remove(sink)
    assert sum("cannot be read" in line for line in lines) == 2


async def test_a_host_applies_changed_limits_and_seeds():
    async with Site(hosts=2) as site:
        await site.ready()
        node = site.nodes[0]
        seed = "127.0.0.9:4"
        changed = node.settings._replace(repeat_allowance=9.0, seeds=(seed,))
        node.apply(changed)
        assert node.data_path.budget.limits.allowance == 9.0
        members = node.engine.world.member_by_host
        await until(lambda: seed in members, "the new seed is a member")


async def test_the_daemon_reloads_on_sighup_and_stops_on_sigterm(tmp_path):
    async with StandinStore() as store:
        store.put("op/config", configuration_of([single_route("c")], ["c"]))
        ready = free_address()
        text = SETTINGS.replace("127.0.0.1:8229", store.address)
        text = text.replace("127.0.0.1:8227", ready)
        for address in ("127.0.0.1:8224", "127.0.0.1:8226"):
            text = text.replace(address, free_address())
        path = tmp_path / "boot.conf"
        path.write_text(text.replace("grace-s=6", "grace-s=1"))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "burdockmill.platform",
            env={**os.environ, "BURDOCKMILL_CONFIG": str(path)},
            stdout=asyncio.subprocess.PIPE,
        )
        log_lines = []
        try:
            async with asyncio.timeout(20):
                await read_until(process, log_lines, "serves clients")
                path.write_text(path.read_text().replace("extra=58", "extra=20"))
                process.send_signal(signal.SIGHUP)
                await read_until(
                    process, log_lines, "settings: changed repeat_allowance"
                )
                process.send_signal(signal.SIGTERM)
                await read_until(process, log_lines, "has stopped")
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
    assert all(json.loads(line)["message"] for line in log_lines)


# Guards against review/4: a host that is stopped does not start again.
@pytest.mark.parametrize(
    ("changed", "is_reported"),
    [("3999.5", False), ("4000.0", False), ("nan", True), ("", True)],
)
async def test_a_host_starts_again_whatever_a_bound_has_become(
    tmp_path, changed, is_reported
):
    async with StandinStore() as store:
        store.put("op/config", configuration_of([single_route("c")], ["c"]))
        text = SETTINGS.replace("127.0.0.1:8229", store.address)
        for address in ("127.0.0.1:8224", "127.0.0.1:8226", "127.0.0.1:8227"):
            text = text.replace(address, free_address())
        path = tmp_path / "boot.conf"
        path.write_text(text.replace("drain-ms=3000", f"drain-ms={changed}"))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "burdockmill.platform",
            env={**os.environ, "BURDOCKMILL_CONFIG": str(path)},
            stdout=asyncio.subprocess.PIPE,
        )
        log_lines = []
        try:
            async with asyncio.timeout(20):
                await read_until(process, log_lines, "serves clients")
        finally:
            process.kill()
            await process.wait()
    reports = [line for line in log_lines if "setting change_limit_ms" in line]
    assert len(reports) == is_reported


async def read_until(process, log_lines, text):
    while True:
        line = (await process.stdout.readline()).decode()
        assert line, f"ended before: {text}"
        log_lines.append(line)
        if text in line:
            return
