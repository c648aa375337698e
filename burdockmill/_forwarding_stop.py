"""Shut a forwarding host down gracefully, without interrupting requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from burdockmill.clock import Clock
    from burdockmill.forwarding.settings import ForwardingSettings
    from burdockmill.surfaces.ingress import Ingress
    from burdockmill.surfaces.listener import Listener
    from burdockmill.surfaces.relay import RelayServer

MILLISECONDS_PER_SECOND = 1_000
POLL_SECONDS = 0.02
# Part of the grace time that is reserved for closing connections and tasks.
CLOSE_RESERVE_MS = 400.0
# The ingress counts as idle after this time without a request or connection, so that
# requests that arrive while the last connections close are still answered.
IDLE_PERIOD_MS = 150.0


class ForwardingStop:
    """Wait until the load balancer sends no new requests, then finish open ones."""

    def __init__(
        self,
        settings: ForwardingSettings,
        clock: Clock,
        ingress: Ingress,
        relay_server: RelayServer,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._ingress = ingress
        self._relay_server = relay_server
        self.begun = False
        self.refuses_all = False

    @property
    def _requests_in_flight(self) -> int:
        """Return the open requests of clients and of other hosts."""
        of_others = self._relay_server.requests_in_flight
        return self._ingress.requests_in_flight + of_others

    async def run(self, ingress: Listener | None) -> None:
        """Return once all requests are answered or the grace time has passed.

        `ingress` is None if the host has not started to serve clients.
        """
        if ingress is None:
            self.refuses_all = True
            return
        end_ms = self._clock.now_ms() + self._settings.stop_grace_ms - CLOSE_RESERVE_MS
        lag_ms = min(self._settings.balancer_lag_ms, self._settings.stop_grace_ms)
        logger.info(
            "stop: waiting {} ms until the load balancer sends no new requests; "
            "{} requests in progress.",
            lag_ms,
            self._requests_in_flight,
        )
        await asyncio.sleep(lag_ms / MILLISECONDS_PER_SECOND)
        await ingress.stop_accepting()
        idle_ms = 0.0
        while self._clock.now_ms() < end_ms and idle_ms < IDLE_PERIOD_MS:
            ingress.close_idle()
            is_idle = not self._requests_in_flight and not ingress.connections_open
            idle_ms = (
                idle_ms + POLL_SECONDS * MILLISECONDS_PER_SECOND if is_idle else 0.0
            )
            await asyncio.sleep(POLL_SECONDS)
        if self._requests_in_flight:
            logger.warning(
                "stop: {} requests unfinished at the end of the grace time.",
                self._requests_in_flight,
            )
        self.refuses_all = True
