"""Say what a process needs of the host that it runs."""

from __future__ import annotations

from typing import Protocol


class Startable(Protocol):
    """Start and stop, as every kind of host does."""

    async def start(self) -> None:
        """Open the surfaces."""

    async def stop(self) -> None:
        """Finish what is under way, then close all."""
