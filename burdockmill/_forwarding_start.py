"""Start a forwarding host: its row, the wait for a catalog, and what it logs."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from loguru import logger

from burdockmill.code_digest import code_digest_in_steps
from burdockmill.tables.rows import MemberRow

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.clock import Clock
    from burdockmill.forwarding.settings import ForwardingSettings

MILLISECONDS_PER_SECOND = 1_000
# Without a catalog after this time the ingress opens nevertheless, and clients are
# told that this host is not ready.
CATALOG_WAIT_LIMIT_MS = 1_000.0
CATALOG_POLL_MS = 5.0


class ForwardingStart:
    """Build a host's own row, wait for its catalog, and log its start.

    `code` is the digest of the host's code, empty until it was logged.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        clock: Clock,
        process_started_ms: float | None,
    ) -> None:
        self.code = ""
        self._settings = settings
        self._clock = clock
        self._created_ms = clock.now_ms()
        self._process_started_ms = process_started_ms or self._created_ms

    def own_row(self) -> MemberRow:
        """Return this host's row in the list of hosts; each start has another."""
        settings = self._settings
        return MemberRow(
            settings.host,
            settings.domain,
            settings.region,
            settings.peer_address,
            incarnation=int(time.time() * MILLISECONDS_PER_SECOND),
            processor_cores=settings.processor_cores,
        )

    async def wait_for_catalog(self, is_ready: Callable[[], bool]) -> None:
        """Wait until the host has a catalog, but not for long."""
        end_ms = self._clock.now_ms() + CATALOG_WAIT_LIMIT_MS
        while not is_ready() and self._clock.now_ms() < end_ms:
            await asyncio.sleep(CATALOG_POLL_MS / MILLISECONDS_PER_SECOND)

    async def log(self) -> None:
        """Log that the host serves clients, and which code it runs.

        Hosts of two builds may run side by side.
        """
        settings = self._settings
        logger.info(
            "node: {} of {} serves clients on {}, peers on {}; loading took {:.0f} ms "
            "and the rest of the start {:.0f} ms.",
            settings.host,
            settings.domain,
            settings.ingress_address,
            settings.peer_address,
            self._created_ms - self._process_started_ms,
            self._clock.now_ms() - self._created_ms,
        )
        try:
            self.code = await code_digest_in_steps()
        except OSError as error:
            logger.warning("node: the code on disk cannot be read: {}.", error)
            return
        logger.info("node: {} runs the code {}.", settings.host, self.code)
