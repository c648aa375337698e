"""Shut a host down gracefully, without interrupting requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from burdockmill.errors import Ran, StoppingError
from burdockmill.messages.peer import (
    PartOutcome,
    PartStatus,
    Reason,
    WorkAnswer,
    WorkRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill._waiters import Waiters
    from burdockmill.clients.peer_client import PeerClient
    from burdockmill.clock import Clock
    from burdockmill.engine import Engine
    from burdockmill.settings import Settings
    from burdockmill.surfaces.listener import Listener

MILLISECONDS_PER_SECOND = 1_000
POLL_SECONDS = 0.01
# Time limit for sending the last answers once the grace time has ended.
LAST_ANSWERS_LIMIT_MS = 1_000.0


class GracefulStop:
    """Wait until the load balancer sends no new requests, then finish open work."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        engine: Engine,
        waiters: Waiters,
        peers: PeerClient,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._engine = engine
        self._waiters = waiters
        self._peers = peers
        self.begun = False
        self.refuses_work = False
        self.refuses_all = False

    async def run(self, callers: Listener, peers: Listener) -> None:
        """Return once all work is finished or the grace time has passed."""
        lag_ms = self._settings.balancer_lag_ms
        logger.info(
            f"stop: waiting {lag_ms} ms until the load balancer sends no new requests."
        )
        await asyncio.sleep(lag_ms / MILLISECONDS_PER_SECOND)
        self.refuses_work = True
        await callers.stop_accepting()
        open_requests = len(self._waiters)
        logger.info(
            f"stop: waiting for {open_requests} requests, {self._open_work()} attempts."
        )
        await self._wait_until(self._is_idle, self._settings.stop_grace_ms)
        self._fail_unfinished()
        self.refuses_all = True
        await self._wait_until(self._has_sent_all, LAST_ANSWERS_LIMIT_MS)
        await peers.stop_accepting()

    def build_refusal(self, request: WorkRequest) -> WorkAnswer:
        """Return an answer stating that no part of a request ran here."""
        outcomes = [
            PartOutcome(
                part.attempt,
                part.upstream,
                part.shard,
                PartStatus.REFUSED,
                Ran.NO,
                Reason.NOT_OWNER,
            )
            for part in request.parts
        ]
        return WorkAnswer(request.request_id, request.snapshot, outcomes, [])

    def _fail_unfinished(self) -> None:
        open_attempts = self._open_work()
        error = StoppingError(
            "The host stopped before the request finished.", ran=Ran.UNKNOWN
        )
        failed_requests = self._waiters.fail_all(error)
        if failed_requests or open_attempts:
            logger.warning(
                f"stop: abandoned {failed_requests} requests "
                f"and {open_attempts} attempts."
            )

    def _open_work(self) -> int:
        return self._engine.open_work()

    def _is_idle(self) -> bool:
        return not len(self._waiters) and not self._open_work()

    def _has_sent_all(self) -> bool:
        return not len(self._waiters) and self._peers.is_idle

    async def _wait_until(self, condition: Callable[[], bool], limit_ms: float) -> None:
        end_ms = self._clock.now_ms() + limit_ms
        while not condition() and self._clock.now_ms() < end_ms:
            await asyncio.sleep(POLL_SECONDS)
