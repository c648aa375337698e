"""Run a host as an aiomisc service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiomisc
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.settings import Settings
    from burdockmill.startable import Startable

MILLISECONDS_PER_SECOND = 1_000
CLOSE_LIMIT_MS = 5_000


class HostService(aiomisc.Service):
    """Run a host until its process receives SIGTERM or SIGINT."""

    make: Callable[[], Startable]

    async def start(self) -> None:
        """Start the host and serve until the service is stopped."""
        self.host = self.make()
        await self.host.start()
        self.start_event.set()
        # Without a reference to the event, the waiting task could be garbage-collected.
        self._never_set = asyncio.Event()
        await self._never_set.wait()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the host; log and raise any error of the stop."""
        try:
            await self.host.stop()
        except Exception:
            # The entrypoint discards exceptions raised while it shuts down.
            logger.exception("stop: the host failed to stop cleanly.")
            raise


def run_native_node(settings: Settings) -> None:
    """Run a host that serves burdockmill's own HTTP API until SIGTERM or SIGINT."""
    from burdockmill.node import Node

    limit_ms = settings.balancer_lag_ms + settings.stop_grace_ms + CLOSE_LIMIT_MS
    with aiomisc.entrypoint(
        HostService(make=lambda: Node(settings)),
        log_config=False,
        pool_size=1,
        shutdown_timeout=limit_ms / MILLISECONDS_PER_SECOND,
    ) as loop:
        loop.run_forever()
