"""Run one host behind proxies of all its connections."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from soak.child_process import ChildProcess
from soak.link_proxy import LinkProxy
from soak.proxied_host import PROXIES
from soak.soak_client import now_ms
from tests.builders_addresses import free_address, loopback_ip_of
from tests.builders_platform import settings_of

FIRST_INDEX = 10
CURRENT_CODE = Path(__file__).parents[1]
START_LIMIT_S = 20.0
# SIGKILL follows SIGTERM after the grace time; a host ends before that.
GRACE_S = 3.0
END_SLACK_S = 0.5
# The platform restarts a process that ended after a short delay.
RESTART_S = 0.3
POLL_S = 0.05
NO_REPLY = "no reply to any probe"


class SoakHost:
    """Start, stop and restart one host; its links can be harmed."""

    def __init__(
        self,
        number: int,
        folder: Path,
        on_unexpected_end: Callable[[str], None],
        processor_cores: float = 0.0,
    ) -> None:
        index = FIRST_INDEX + number
        self.number = number
        self._processor_cores = processor_cores
        self.ip = loopback_ip_of(index)
        self.ingress, self.ready, self.peer = (free_address(index) for _ in range(3))
        self.clients = LinkProxy(free_address(index), self.ingress)
        self.is_busy = False
        # The folder of an earlier build, None for the current one.
        self.code: Path | None = None
        self._proxies_by_side: dict[str, list[LinkProxy]] = {"clients": [self.clients]}
        self._path = folder / f"host-{number}.conf"
        self._log = (folder / f"host-{number}.jsonl").open("w")
        self._on_unexpected_end = on_unexpected_end
        # When this host got no reply to any probe, and from which address.
        self.suspicions: list[tuple[float, str]] = []
        self._serving = asyncio.Event()
        self._code_that_runs = ""
        self._is_paused = self._is_paused_since_stop = False
        self._process = ChildProcess(self._read)

    @property
    def pid(self) -> int | None:
        """Return the id of the host's process, None if it does not run."""
        return self._process.pid

    def proxies(self, side: str) -> list[LinkProxy]:
        """Return the proxies of one side of the host."""
        return self._proxies_by_side[side]

    async def connect(
        self,
        upstreams: Sequence[str],
        peers: Sequence[str],
        store: str,
        store_bytes_per_s: float,
    ) -> None:
        """Open proxies to what the host connects to."""
        for side, addresses in (("upstreams", upstreams), ("peers", peers)):
            self._proxies_by_side[side] = [
                LinkProxy(self._free_address(), one) for one in addresses
            ]
        to_store = LinkProxy(self._free_address(), store, store_bytes_per_s)
        self._proxies_by_side["store"] = [to_store]
        for proxies in self._proxies_by_side.values():
            await asyncio.gather(*(one.open() for one in proxies))

    async def start(self, seeds: Sequence[str]) -> None:
        """Start the process until it serves clients; report each end before that."""
        while not await self._start_once(seeds):
            await self.kill()
            detail = f"host {self.number} ended while it started"
            self._on_unexpected_end(detail)
            await asyncio.sleep(RESTART_S)

    async def _start_once(self, seeds: Sequence[str]) -> bool:
        """Start the process; return whether it serves clients, else it has ended."""
        [store] = self._proxies_by_side["store"]
        addresses = (self.ingress, self.ready, self.peer, store.address)
        text = settings_of(self.ip, seeds, *addresses, grace_s=round(GRACE_S))
        if self._processor_cores:
            text += f"limits.cpu-share={self._processor_cores}\nlimits.cores=1\n"
        self._path.write_text(text)
        proxies = [*self.proxies("upstreams"), *self.proxies("peers")]
        proxy_by_address = {one.target: one.address for one in proxies}
        self._serving.clear()
        self._is_paused = False
        code = self.code
        await self._process.start(
            "soak.host",
            code=code,
            BURDOCKMILL_CONFIG=str(self._path),
            **{PROXIES: json.dumps(proxy_by_address)},
        )
        async with asyncio.timeout(START_LIMIT_S):
            while not self._serving.is_set():
                if await self._process.wait(POLL_S):
                    return False
        if self._code_that_runs != str(code or CURRENT_CODE):
            raise RuntimeError(f"host {self.number} runs {self._code_that_runs}")
        return True

    async def stop(self) -> None:
        """Stop the process as planned work does."""
        self._process.is_end_expected = True
        self._is_paused_since_stop = self._is_paused
        self.signal(signal.SIGTERM)
        began_ms = now_ms()
        has_ended = await self._process.wait(GRACE_S + END_SLACK_S)
        took_ms = round(now_ms() - began_ms)
        self._log.write(json.dumps({"ended": has_ended, "stop_ms": took_ms}) + "\n")
        # A process that stands still can't end in time.
        if not has_ended and not self._is_paused_since_stop:
            self._on_unexpected_end(f"host {self.number} outlived its grace time")
        await self.kill()

    async def kill(self) -> None:
        """Kill the process."""
        await self._process.kill()

    async def close(self) -> None:
        """Kill the process and close all proxies."""
        await self.kill()
        for proxies in self._proxies_by_side.values():
            await asyncio.gather(*(one.close() for one in proxies))
        self._log.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self._is_paused = number is signal.SIGSTOP
        self._is_paused_since_stop |= self._is_paused
        self._process.signal(number)

    def check_running(self) -> None:
        """Report the process if it ended by itself."""
        if self._process.has_ended_by_itself:
            self._process.is_end_expected = True
            self._on_unexpected_end(f"host {self.number} ended by itself")

    def _free_address(self) -> str:
        return free_address(FIRST_INDEX + self.number)

    def _read(self, line: dict[str, Any]) -> None:
        self._log.write(json.dumps(line) + "\n")
        if "code" in line:
            self._code_that_runs = line["code"]
        message = line.get("message", "")
        if "serves clients" in message:
            self._serving.set()
        if message.startswith("member: ") and NO_REPLY in message:
            self.suspicions.append((now_ms(), message.split()[1]))
