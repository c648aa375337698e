"""Read the catalog from the store while `store_role` assigns that to this host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from burdockmill.clients.catalog_source import HistoryLostError, StoreError
from burdockmill.messages.events import CatalogConfirmed, CatalogRead
from burdockmill.messages.store_position import StorePosition
from burdockmill.policies.departure_grace import departure_grace_ms
from burdockmill.policies.store_role import StoreRole, store_role

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from burdockmill.clients.catalog_source import CatalogSource
    from burdockmill.clock import Clock
    from burdockmill.messages.catalog import CatalogDelta
    from burdockmill.messages.events import Event
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
# A host that is not its domain's reader delays a read of the whole catalog by up to
# `change_limit_ms` divided by this; the reader relays its copy meanwhile.
READ_DELAYS_PER_LIMIT = 3
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
        # When the store last gave this host a valid answer.
        self.answered_ms: float | None = None
        self._watch_ms = int(change_limit_ms / WATCHES_PER_LIMIT)
        self._batching_delay_ms = change_limit_ms / BATCHES_PER_LIMIT
        self._unconfirmed_limit_ms = change_limit_ms * UNCONFIRMED_FRACTION
        self._last_unreachable_ms: float | None = None
        self._is_unreachable = False
        self._read_delay_ms = change_limit_ms / READ_DELAYS_PER_LIMIT
        # The store could not tell the changes after this position.
        self._lost_position: StorePosition | None = None
        self._watched = StorePosition()

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
        after = max(catalog.position, self._watched)
        if not after.revision or after == self._lost_position:
            delta = await self._source.read_all(self._timeouts.read_timeout_ms)
            if delta.era < catalog.era:
                raise StoreError(f"era {delta.era} after era {catalog.era}")
            self._lost_position = None
        else:
            try:
                delta = await self._source.watch(after, self._watch_ms)
            except HistoryLostError as error:
                return self._plan_whole_read(after, error)
        self._record_success()
        # A read of the whole catalog is emitted even if it is empty: later changes then
        # follow without a gap.
        has_updates = bool(
            delta.is_whole or delta.registered or delta.departed or delta.tables
        )
        confirmed_ms = requested_ms if delta.is_whole else self._clock.now_ms()
        self._watched = max(self._watched, delta.position)
        if has_updates:
            self._emit(CatalogRead(self._with_grace(delta)))
        self._emit(CatalogConfirmed(confirmed_ms))
        return self._batching_delay_ms if has_updates else 0.0

    def _plan_whole_read(self, after: StorePosition, error: HistoryLostError) -> float:
        """Return how long to wait before the whole catalog is read, in milliseconds.

        Hosts that all lost their watch at once leave the read to their domain's reader;
        one that receives a newer catalog from it meanwhile does not read at all.
        """
        self._lost_position = after
        delay_ms = 0.0
        if self._role() is not StoreRole.READER:
            delay_ms = self._rng.uniform(0.0, self._read_delay_ms)
        logger.info(
            "store: no changes after era {}, revision {} ({}); reading all again "
            "in {:.0f} ms.",
            after.era,
            after.revision,
            error,
            delay_ms,
        )
        return delay_ms

    def _with_grace(self, delta: CatalogDelta) -> CatalogDelta:
        catalog = self._world.catalog
        is_new_era = catalog.tables is not None and delta.era > catalog.era
        if is_new_era:
            # Registrations that expire soon after are renewed as after an outage.
            self._last_unreachable_ms = self._clock.now_ms()
        since_unreachable_ms = None
        if self._last_unreachable_ms is not None:
            since_unreachable_ms = self._clock.now_ms() - self._last_unreachable_ms
        grace_ms = departure_grace_ms(
            len(delta.departed), catalog.ready_count(), since_unreachable_ms, is_new_era
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
                "store: unreachable ({}); era {}, revision {} stays active.",
                error,
                *self._world.catalog.position,
            )

    def _record_success(self) -> None:
        self.answered_ms = self._clock.now_ms()
        if self._is_unreachable:
            self._is_unreachable = False
            self._last_unreachable_ms = self._clock.now_ms()
            logger.info("store: reachable again.")


async def _sleep(wait_ms: float) -> None:
    if wait_ms > 0.0:
        await asyncio.sleep(wait_ms / MILLISECONDS_PER_SECOND)
