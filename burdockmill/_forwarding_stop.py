"""Shut a forwarding host down gracefully, without interrupting requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from burdockmill.policies.late_admission import StopTimes

if TYPE_CHECKING:
    from burdockmill.clock import Clock
    from burdockmill.forwarding.forwarder import Forwarder
    from burdockmill.forwarding.settings import ForwardingSettings
    from burdockmill.surfaces.ingress import Ingress
    from burdockmill.surfaces.listener import Listener
    from burdockmill.surfaces.relay import RelayServer

MILLISECONDS_PER_SECOND = 1_000
POLL_SECONDS = 0.02
# Parts of the grace time that are reserved: for writing the last answers and closing
# connections and tasks, and of these, for the closing alone.
ANSWER_RESERVE_MS = 400.0
CLOSE_RESERVE_MS = 250.0
# With a short grace time, the load balancer gets at most this part of it.
LAG_FRACTION = 0.4
# The ingress counts as idle after this time without a request or connection, so that
# requests that arrive while the last connections close are still answered.
IDLE_PERIOD_MS = 150.0


class ForwardingStop:
    """Wait until the load balancer sends no new requests, then finish open ones."""

    def __init__(
        self,
        settings: ForwardingSettings,
        clock: Clock,
        forwarder: Forwarder,
        ingress: Ingress,
        relay_server: RelayServer,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._forwarder = forwarder
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
        """Return once all requests are answered, within the grace time.

        `ingress` is None if the host has not started to serve clients.
        """
        if ingress is None:
            self.refuses_all = True
            return
        grace_ms = self._settings.stop_grace_ms
        begun_ms = self._clock.now_ms()
        answered_ms = begun_ms + max(0.0, grace_ms - ANSWER_RESERVE_MS)
        end_ms = begun_ms + max(0.0, grace_ms - CLOSE_RESERVE_MS)
        self._forwarder.stop_times = StopTimes(begun_ms, answered_ms)
        self._ingress.read_until(answered_ms)
        lag_ms = min(self._settings.balancer_lag_ms, grace_ms * LAG_FRACTION)
        logger.info(
            "stop: waiting {:.0f} ms until the load balancer sends no new requests; "
            "{} requests in progress.",
            lag_ms,
            self._requests_in_flight,
        )
        await asyncio.sleep(lag_ms / MILLISECONDS_PER_SECOND)
        await ingress.stop_accepting()
        if not await self._is_idle_by(answered_ms, ingress):
            logger.warning(
                "stop: {} requests unfinished at the end of the grace time.",
                self._requests_in_flight,
            )
            self._forwarder.answer_all()
            await self._is_idle_by(end_ms, ingress)
        self.refuses_all = True

    async def _is_idle_by(self, end_ms: float, ingress: Listener) -> bool:
        """Close idle connections until none is left; return False at a clock time."""
        idle_ms = 0.0
        while idle_ms < IDLE_PERIOD_MS:
            if self._clock.now_ms() >= end_ms:
                return False
            ingress.close_idle()
            is_idle = not self._requests_in_flight and not ingress.connections_open
            idle_ms = (
                idle_ms + POLL_SECONDS * MILLISECONDS_PER_SECOND if is_idle else 0.0
            )
            await asyncio.sleep(POLL_SECONDS)
        return True
