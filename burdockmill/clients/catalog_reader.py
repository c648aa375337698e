"""Read the catalog from the store while `store_role` assigns that to this host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from burdockmill.clients.catalog_source import HistoryLostError, StoreError
from burdockmill.messages.events import CatalogConfirmed, CatalogRead
from burdockmill.policies.departure_grace import departure_grace_ms
from burdockmill.policies.store_role import StoreRole, store_role

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from burdockmill.clients.catalog_source import CatalogSource
    from burdockmill.clock import Clock
    from burdockmill.messages.catalog import CatalogDelta
    from burdockmill.messages.events import Event
    from burdockmill.names import Revision
    from burdockmill.systems._ring import Ring
    from burdockmill.world import World

# A watch (long poll) of the store lasts at most `change_limit_ms` divided by this. If
# the reader cannot reach the store, other hosts then miss its confirmations early
# enough to read a change themselves within `change_limit_ms`.
WATCHES_PER_LIMIT = 3
# A host reads for itself once no host has confirmed the catalog for this fraction of
# `change_limit_ms`.
UNCONFIRMED_FRACTION = 0.55
# After an update, the next watch is delayed by `change_limit_ms` divided by this.
# Changes within the delay share a watch, since the store counts each call.
BATCHES_PER_LIMIT = 12
ROLE_CHECK_MS = 100.0
RETRY_FIRST_MS = 100.0
MILLISECONDS_PER_SECOND = 1_000.0


class StoreTimeouts(NamedTuple):
    """Set the timeout of one call to the store and the longest retry delay."""

    read_timeout_ms: float
    retry_max_ms: float


# The store answers within a few hundred milliseconds even when it is slow.
USUAL_TIMEOUTS = StoreTimeouts(read_timeout_ms=1_500.0, retry_max_ms=1_000.0)
# A host without a catalog serves no requests, so it retries sooner.
NO_CATALOG_TIMEOUTS = StoreTimeouts(read_timeout_ms=600.0, retry_max_ms=200.0)


class CatalogReader:
    """Read and watch the catalog while `store_role` assigns that to this host."""

    def __init__(
        self,
        source: CatalogSource,
        world: World,
        ring: Ring,
        clock: Clock,
        rng: random.Random,
        change_limit_ms: float,
        emit: Callable[[Event], None],
    ) -> None:
        self._source = source
        self._world = world
        self._ring = ring
        self._clock = clock
        self._rng = rng
        self._emit = emit
        self._watch_ms = int(change_limit_ms / WATCHES_PER_LIMIT)
        self._batching_delay_ms = change_limit_ms / BATCHES_PER_LIMIT
        self._unconfirmed_limit_ms = change_limit_ms * UNCONFIRMED_FRACTION
        self._last_unreachable_ms: float | None = None
        self._is_unreachable = False
        self._must_read_all = False
        self._watched_revision: Revision = 0

    async def run(self) -> None:
        """Read and watch until cancelled; retry failed calls with backoff."""
        retry_ms = RETRY_FIRST_MS
        while True:
            if self._role() is StoreRole.NONE:
                await _sleep(ROLE_CHECK_MS)
                continue
            try:
                batching_delay_ms = await self._step()
            except StoreError as error:
                self._record_failure(error)
                await _sleep(retry_ms * self._rng.uniform(0.5, 1.5))
                retry_ms = min(self._timeouts.retry_max_ms, 2.0 * retry_ms)
                continue
            retry_ms = RETRY_FIRST_MS
            await _sleep(batching_delay_ms)

    @property
    def _timeouts(self) -> StoreTimeouts:
        return (
            NO_CATALOG_TIMEOUTS
            if self._world.catalog.tables is None
            else USUAL_TIMEOUTS
        )

    async def _step(self) -> float:
        """Read or watch once; return how long to wait afterwards, in milliseconds."""
        catalog = self._world.catalog
        requested_ms = self._clock.now_ms()
        after = max(catalog.revision, self._watched_revision)
        if self._must_read_all or not after:
            delta = await self._source.read_all(self._timeouts.read_timeout_ms)
            self._must_read_all = False
        else:
            try:
                delta = await self._source.watch(after, self._watch_ms)
            except HistoryLostError:
                logger.info(
                    "store: history after revision {} is not kept; reading all again.",
                    after,
                )
                self._must_read_all = True
                return 0.0
        self._record_success()
        # A read of the whole catalog is emitted even if it is empty: later changes then
        # follow without a gap.
        has_updates = bool(
            delta.is_whole or delta.registered or delta.departed or delta.tables
        )
        confirmed_ms = requested_ms if delta.is_whole else self._clock.now_ms()
        self._watched_revision = max(self._watched_revision, delta.revision)
        if has_updates:
            self._emit(CatalogRead(self._with_grace(delta)))
        self._emit(CatalogConfirmed(confirmed_ms))
        return self._batching_delay_ms if has_updates else 0.0

    def _with_grace(self, delta: CatalogDelta) -> CatalogDelta:
        registered = self._world.catalog.ready_count()
        since_unreachable_ms = None
        if self._last_unreachable_ms is not None:
            since_unreachable_ms = self._clock.now_ms() - self._last_unreachable_ms
        grace_ms = departure_grace_ms(
            len(delta.departed), registered, since_unreachable_ms
        )
        departed = tuple(
            departure._replace(grace_ms=grace_ms) for departure in delta.departed
        )
        return delta._replace(departed=departed, grace_ms=grace_ms)

    def _role(self) -> StoreRole:
        return store_role(
            self._world, self._ring, self._clock.now_ms(), self._unconfirmed_limit_ms
        )

    def _record_failure(self, error: StoreError) -> None:
        self._last_unreachable_ms = self._clock.now_ms()
        if not self._is_unreachable:
            self._is_unreachable = True
            logger.warning(
                "store: unreachable ({}); revision {} stays active.",
                error,
                self._world.catalog.revision,
            )

    def _record_success(self) -> None:
        if self._is_unreachable:
            self._is_unreachable = False
            self._last_unreachable_ms = self._clock.now_ms()
            logger.info("store: reachable again.")


async def _sleep(wait_ms: float) -> None:
    if wait_ms > 0.0:
        await asyncio.sleep(wait_ms / MILLISECONDS_PER_SECOND)
