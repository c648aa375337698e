"""Define the interface between a process and the host that it runs."""

from __future__ import annotations

from typing import Protocol


class Startable(Protocol):
    """Define how a process starts and stops any kind of host."""

    async def start(self) -> None:
        """Open the surfaces and begin to serve."""

    async def stop(self) -> None:
        """Finish the requests in progress, then close everything."""
