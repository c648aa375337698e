"""Check that a host process which is still loading outlives or obeys its signals."""

import asyncio
import os
import signal
import subprocess
import sys

import pytest

from tests.builders_addresses import (
    FREE_ADDRESS_INDEX,
    free_address,
    loopback_ip_of,
)
from tests.builders_forwarding_node import Client
from tests.builders_platform import (
    SETTINGS,
    StandinStore,
    configuration_of,
    single_route,
)

pytestmark = pytest.mark.processes

END_LIMIT_S = 20.0


class LoadingHost:
    """Start a host process, and stop waiting once it listens for clients."""

    def __init__(self, folder, store):
        self.ingress = free_address()
        self.path = folder / "boot.conf"
        # Operators' ports are the same on each address: another run may hold one.
        ip = loopback_ip_of(FREE_ADDRESS_INDEX)
        text = SETTINGS.replace("\nip=127.0.0.1", f"\nip={ip}")
        text = text.replace("127.0.0.1:8229", store.address)
        text = text.replace("127.0.0.1:8226", self.ingress)
        for address in ("127.0.0.1:8224", "127.0.0.1:8227"):
            text = text.replace(address, free_address())
        self.path.write_text(text.replace("grace-s=6", "grace-s=1"))
        self.process = None

    async def __aenter__(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "burdockmill.platform",
            env={**os.environ, "BURDOCKMILL_CONFIG": str(self.path)},
            stdout=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(END_LIMIT_S):
            while not await self._listens():
                await asyncio.sleep(0.002)
        return self

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def _listens(self):
        try:
            _, writer = await asyncio.open_connection(*self.ingress.split(":"))
        except OSError:
            return False
        writer.close()
        return True


@pytest.fixture
async def store():
    async with StandinStore() as running:
        running.put("op/config", configuration_of([single_route("c")], ["c"]))
        yield running


async def test_a_hangup_does_not_end_a_process_that_is_loading(tmp_path, store):
    async with LoadingHost(tmp_path, store) as host:
        host.process.send_signal(signal.SIGHUP)
        client = Client(host.ingress)
        await client.send("/fetch/x", deadline_ms=20_000)
        answer = await client.read(limit_s=END_LIMIT_S)
        assert answer.status == 503
        client.close()
        host.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(END_LIMIT_S):
            assert await host.process.wait() == 0


async def test_a_process_that_is_loading_ends_cleanly_when_it_is_stopped(
    tmp_path, store
):
    async with LoadingHost(tmp_path, store) as host:
        host.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(END_LIMIT_S):
            assert await host.process.wait() == 0


def test_handling_early_signals_imports_no_large_modules():
    code = (
        "import sys, burdockmill.platform.early_signals;"
        "print(any(name in sys.modules for name in ('typing', 'signal', 'socket')))"
    )
    done = subprocess.run(
        [sys.executable, "-S", "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "False"
