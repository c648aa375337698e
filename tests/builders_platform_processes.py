"""Run hosts of the users' platform as processes, against stand-ins in the test."""

import asyncio
import json
import os
import resource
import signal
import sys

from aiohttp import ClientSession

from tests.builders_addresses import free_address, loopback_ip_of
from tests.builders_forwarding_node import Client, until
from tests.builders_platform import settings_of

OPERATOR_PORT = 9_464
# Hosts of other builders have lower addresses.
FIRST_INDEX = 200
START_LIMIT_S = 20.0


class HostProcess:
    """Run one host on a loopback address of its own."""

    module = "burdockmill.platform"

    def __init__(self, number, store, folder, grace_s=1):
        index = FIRST_INDEX + number
        self.ip = loopback_ip_of(index)
        self.ingress, self.ready, self.peer = (free_address(index) for _ in range(3))
        self.environment = {}
        # How many descriptors the process may open; None: as many as the test's.
        self.process_limit = None
        self.grace_s = grace_s
        self._store = store
        self._path = folder / f"boot-{number}.conf"
        self.process = None
        self.lines = []
        self._reading = None
        self._clients = []

    async def start(self, seeds):
        self._path.write_text(self.settings_text(seeds))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.module,
            env={
                **os.environ,
                "BURDOCKMILL_CONFIG": str(self._path),
                **self.environment,
            },
            stdout=asyncio.subprocess.PIPE,
            preexec_fn=self._limit_descriptors if self.process_limit else None,
        )
        self._reading = asyncio.create_task(self._read_lines())
        await until(lambda: self.logged("serves clients"), "it serves", START_LIMIT_S)

    def settings_text(self, seeds):
        addresses = (self.ingress, self.ready, self.peer, self._store.address)
        return settings_of(self.ip, seeds, *addresses, grace_s=self.grace_s)

    async def stop(self):
        """End the process if it still runs, and close its clients."""
        for client in self._clients:
            client.close()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self._reading is not None:
            await self._reading

    def pause(self):
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        self.process.send_signal(signal.SIGCONT)

    def logged(self, text):
        return any(text in line["message"] for line in self.lines)

    def client(self):
        client = Client(self.ingress)
        self._clients.append(client)
        return client

    async def status(self):
        url = f"http://{self.ip}:{OPERATOR_PORT}/v1/status"
        async with ClientSession() as session, session.get(url) as response:
            return await response.json()

    def _limit_descriptors(self):
        limits = (self.process_limit, self.process_limit)
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    async def _read_lines(self):
        async for line in self.process.stdout:
            # Only the end of a process that was killed while it wrote has no newline.
            if line.endswith(b"\n"):
                self.lines.append(json.loads(line))


async def until_status(hosts, holds, what, limit_s=8.0):
    """Wait until the status of every host fulfils a condition."""
    statuses = []
    try:
        async with asyncio.timeout(limit_s):
            while True:
                statuses = [await host.status() for host in hosts]
                if all(holds(status) for status in statuses):
                    return
                await asyncio.sleep(0.05)
    except TimeoutError:
        raise AssertionError(f"not within {limit_s} s: {what}; {statuses}") from None
