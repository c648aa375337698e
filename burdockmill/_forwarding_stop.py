"""Stop a host that forwards requests without cutting one off."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from burdockmill.clock import Clock
    from burdockmill.forwarding.settings import ForwardingSettings
    from burdockmill.surfaces.ingress import Ingress
    from burdockmill.surfaces.listener import Listener

MILLISECONDS_PER_SECOND = 1_000
POLL_S = 0.02
# What remains of the grace time for closing down once no request is under way.
CLOSING_MS = 400.0
# Requests that arrive as the last connections close are still read and answered.
QUIET_MS = 150.0


class ForwardingStop:
    """Wait for the balancer, then for all requests under way."""

    def __init__(
        self, settings: ForwardingSettings, clock: Clock, ingress: Ingress
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._ingress = ingress
        self.begun = False
        self.refuses_all = False

    async def run(self, ingress: Listener | None) -> None:
        """Return once all requests are answered or the grace time has passed.

        `ingress` is None where the host has not begun to serve clients.
        """
        if ingress is None:
            self.refuses_all = True
            return
        end_ms = self._clock.now_ms() + self._settings.stop_grace_ms - CLOSING_MS
        lag_ms = min(self._settings.balancer_lag_ms, self._settings.stop_grace_ms)
        logger.info(
            "stop: waits {} ms for the balancer, {} requests under way.",
            lag_ms,
            self._ingress.under_way,
        )
        await asyncio.sleep(lag_ms / MILLISECONDS_PER_SECOND)
        await ingress.stop_accepting()
        quiet_ms = 0.0
        while self._clock.now_ms() < end_ms and quiet_ms < QUIET_MS:
            ingress.close_idle()
            is_quiet = not self._ingress.under_way and not ingress.connections_open
            quiet_ms = quiet_ms + POLL_S * MILLISECONDS_PER_SECOND if is_quiet else 0.0
            await asyncio.sleep(POLL_S)
        if self._ingress.under_way:
            logger.warning(
                "stop: {} requests outlast the grace time.", self._ingress.under_way
            )
        self.refuses_all = True
