"""Run the upstreams of one place in turn, each a new incarnation."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from typing import Any

from soak.child_process import ChildProcess
from tests.builders_addresses import free_address
from tests.builders_platform import entry_of

WORK_MS = 10.0


class UpstreamPlace:
    """Start one upstream after the other of a service at one address."""

    def __init__(
        self,
        service: str,
        number: int,
        zone: str,
        on_line: Callable[[dict[str, Any]], None],
    ) -> None:
        self.service = service
        self.address = free_address()
        self.name = ""
        self.is_busy = False
        self._number = number
        self._zone = zone
        self._incarnation = 0
        self._born_ms = 0
        self._process = ChildProcess(on_line)

    @property
    def key(self) -> str:
        """Return the key of the upstream's entry in the store."""
        return f"servers/{self.name}"

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return what the upstream writes to the store."""
        return entry_of(
            self.service,
            self.address,
            zone=self._zone,
            state=state,
            born=self._born_ms,
        )

    async def start(self) -> None:
        """Start a new incarnation."""
        self._incarnation += 1
        self._born_ms = round(time.time() * 1_000)
        self.name = f"u-{self.service}-{self._number}-{self._incarnation}"
        words = (self.name, self.service, self.address, str(WORK_MS))
        await self._process.start("soak.upstream", *words)

    async def kill(self) -> None:
        """Kill the process."""
        await self._process.kill()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.signal(number)

    def leave(self) -> None:
        """Let the upstream say that it is leaving."""
        self._process.write_line("leave")

    def limit(self, limit_per_s: int) -> None:
        """Let the upstream name a limit; 0 ends it."""
        self._process.write_line(f"limit {limit_per_s}")

    @property
    def has_crashed(self) -> bool:
        """Return whether the process ended by itself."""
        return self._process.has_ended_by_itself
