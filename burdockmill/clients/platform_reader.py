"""Read the configuration and host list while `reading_role` tells this host to."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from burdockmill.clients.platform_client import (
    PlatformAnswerError,
    PlatformUnreachableError,
)
from burdockmill.messages.events import HostListRead, RevisionRead
from burdockmill.reading import (
    ReadingRole,
    first_read_delay_ms,
    read_interval_ms,
    reading_role,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from burdockmill.clients.platform_client import PlatformClient
    from burdockmill.clock import Clock
    from burdockmill.messages.events import Event
    from burdockmill.messages.platform import Manifest
    from burdockmill.names import Revision
    from burdockmill.world import World

WATCH_WAIT_MS = 20_000
ROLE_CHECK_SECONDS = 0.25
RETRY_FLOOR_SECONDS = 0.2
RETRY_CEILING_SECONDS = 5.0
MILLISECONDS_PER_SECOND = 1_000.0
SOURCE = "platform"


class PlatformReader:
    """Watch the platform while this host is a reader or is partitioned."""

    def __init__(
        self,
        client: PlatformClient,
        world: World,
        clock: Clock,
        rng: random.Random,
        emit: Callable[[Event], None],
    ) -> None:
        self._client = client
        self._world = world
        self._clock = clock
        self._rng = rng
        self._emit = emit
        self._seen_revision: Revision = 0
        self._seen_hosts = 0
        self._host_list_read_tried = asyncio.Event()

    async def watch_rules(self) -> None:
        """Read each new revision of the configuration until cancelled."""
        await self._host_list_read_tried.wait()
        await self._run_repeatedly(self._next_rules)

    async def watch_hosts(self, spread_ms: float) -> None:
        """Read the host list after a random delay up to `spread_ms`, then watch it."""
        wait_ms = first_read_delay_ms(self._rng, spread_ms)
        await asyncio.sleep(wait_ms / MILLISECONDS_PER_SECOND)
        try:
            if self._world.fleet.listed.version == 0:
                hosts = await self._client.read_hosts()
                self._emit(HostListRead(hosts))
                await asyncio.sleep(0)
        except (PlatformUnreachableError, PlatformAnswerError) as error:
            logger.warning(f"platform: {error.message} {error.remedy_text}")
        self._host_list_read_tried.set()
        await self._run_repeatedly(self._next_hosts)

    async def _run_repeatedly(self, step: Callable[[], Awaitable[None]]) -> None:
        wait_seconds = RETRY_FLOOR_SECONDS
        while True:
            if self._role() is ReadingRole.NONE:
                await asyncio.sleep(ROLE_CHECK_SECONDS)
                continue
            try:
                await self._pause()
                await step()
                wait_seconds = RETRY_FLOOR_SECONDS
            except (PlatformUnreachableError, PlatformAnswerError) as error:
                logger.warning(f"platform: {error.message} {error.remedy_text}")
                await asyncio.sleep(wait_seconds * self._rng.uniform(0.5, 1.5))
                wait_seconds = min(RETRY_CEILING_SECONDS, wait_seconds * 2)

    async def _next_rules(self) -> None:
        manifest = await self._client.watch_manifest(self._seen_revision, WATCH_WAIT_MS)
        if manifest is None:
            return
        text_by_digest: dict[str, str] = {}
        rules = self._world.rules
        if rules is None or manifest["revision"] > rules.revision:
            text_by_digest = await self._read_chunks(manifest)
        self._seen_revision = manifest["revision"]
        self._emit(RevisionRead(manifest, text_by_digest, SOURCE))

    async def _read_chunks(self, manifest: Manifest) -> dict[str, str]:
        text_by_digest: dict[str, str] = {}
        for entry in manifest["chunks"]:
            digest = entry["digest"]
            if digest in text_by_digest or self._world.fleet.store.has_chunk(digest):
                continue
            await self._pause()
            text_by_digest[digest] = await self._client.read_chunk(digest)
        return text_by_digest

    async def _next_hosts(self) -> None:
        hosts = await self._client.watch_hosts(self._seen_hosts, WATCH_WAIT_MS)
        if hosts is not None:
            self._seen_hosts = hosts["version"]
            self._emit(HostListRead(hosts))

    def _role(self) -> ReadingRole:
        return reading_role(self._world, self._clock.now_ms())

    async def _pause(self) -> None:
        wait_ms = read_interval_ms(self._world, self._role(), self._rng)
        await asyncio.sleep(wait_ms / MILLISECONDS_PER_SECOND)
