"""Run a host as an aiomisc service."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import aiomisc
from loguru import logger

if TYPE_CHECKING:
    from burdockmill.settings import Settings

MILLISECONDS_PER_SECOND = 1_000
CLOSE_LIMIT_MS = 5_000


class Startable(Protocol):
    """Start and stop, as every kind of host does."""

    async def start(self) -> None:
        """Open the surfaces."""

    async def stop(self) -> None:
        """Finish what is under way, then close all."""


class HostService(aiomisc.Service):
    """Run a host until its process is told to stop."""

    make: Callable[[], Startable]
    on_hangup: Callable[[Startable], None] | None = None

    async def start(self) -> None:
        """Start the host and serve until stopped."""
        self.host = self.make()
        on_hangup = self.on_hangup
        if on_hangup is not None:
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGHUP, lambda: on_hangup(self.host)
            )
        await self.host.start()
        self.start_event.set()
        # The service holds the event, else the waiting task could be collected.
        self._never = asyncio.Event()
        await self._never.wait()

    async def stop(self, exception: Exception | None = None) -> None:
        """Finish what is under way, then close the host."""
        try:
            await self.host.stop()
        except Exception:
            # The entrypoint would drop what is raised while it shuts down.
            logger.exception("stop: the host did not stop in order.")
            raise


def run_service(
    make: Callable[[], Startable],
    limit_ms: float,
    on_hangup: Callable[[Startable], None] | None = None,
) -> None:
    """Run a host until SIGTERM or SIGINT; a stop may take `limit_ms` and a little.

    `on_hangup` is called on SIGHUP, which ends the process where it is None.
    """
    service = HostService(make=make, on_hangup=on_hangup)
    with aiomisc.entrypoint(
        service,
        log_config=False,
        pool_size=1,
        shutdown_timeout=(limit_ms + CLOSE_LIMIT_MS) / MILLISECONDS_PER_SECOND,
    ) as loop:
        loop.run_forever()


def run_node(settings: Settings) -> None:
    """Run a node of the product's own interface until SIGTERM or SIGINT."""
    from burdockmill.node import Node

    limit_ms = settings.balancer_lag_ms + settings.stop_grace_ms
    run_service(lambda: Node(settings), limit_ms)
