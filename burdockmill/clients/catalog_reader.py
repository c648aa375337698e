"""Read the catalog from the store while this host's duty asks for it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from burdockmill.clients.catalog_source import HistoryLostError, StoreError
from burdockmill.messages.events import CatalogConfirmed, CatalogRead
from burdockmill.policies.departure_grace import departure_grace_ms
from burdockmill.policies.store_duty import StoreDuty, store_duty

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

# Watches end this many times within the limit for changes, so that a reader that
# the store no longer hears is noticed with time left for another host to read.
WATCHES_PER_LIMIT = 3
# A catalog that nobody has confirmed for this part of the limit is read here.
UNCONFIRMED_FRACTION = 0.55
# Changes of this part of the limit share a watch, since each call is counted.
GATHERS_PER_LIMIT = 12
DUTY_CHECK_MS = 100.0
RETRY_FIRST_MS = 100.0
MILLISECONDS_PER_SECOND = 1_000.0


class Patience(NamedTuple):
    """Bound one call to the store, and the wait after a failed one, in milliseconds."""

    read_limit_ms: float
    retry_longest_ms: float


# The store answers within some hundred milliseconds even when it is slow.
USUAL = Patience(read_limit_ms=1_500.0, retry_longest_ms=1_000.0)
# A host that knows no catalog serves nobody, so it asks again soon.
WITHOUT_CATALOG = Patience(read_limit_ms=600.0, retry_longest_ms=200.0)


class CatalogReader:
    """Read the catalog while this host's duty asks for it."""

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
        self._wait_ms = int(change_limit_ms / WATCHES_PER_LIMIT)
        self._gather_ms = change_limit_ms / GATHERS_PER_LIMIT
        self._unconfirmed_limit_ms = change_limit_ms * UNCONFIRMED_FRACTION
        self._out_of_reach_ms: float | None = None
        self._is_out_of_reach = False
        self._must_read_all = False
        self._watched: Revision = 0

    async def run(self) -> None:
        """Read until cancelled."""
        retry_ms = RETRY_FIRST_MS
        while True:
            if self._duty() is StoreDuty.NONE:
                await _sleep(DUTY_CHECK_MS)
                continue
            try:
                gather_ms = await self._step()
            except StoreError as error:
                self._note_failure(error)
                await _sleep(retry_ms * self._rng.uniform(0.5, 1.5))
                retry_ms = min(self._patience.retry_longest_ms, 2.0 * retry_ms)
                continue
            retry_ms = RETRY_FIRST_MS
            await _sleep(gather_ms)

    @property
    def _patience(self) -> Patience:
        return WITHOUT_CATALOG if self._world.catalog.tables is None else USUAL

    async def _step(self) -> float:
        """Read or watch once; return how long to wait, in milliseconds."""
        catalog = self._world.catalog
        asked_ms = self._clock.now_ms()
        after = max(catalog.revision, self._watched)
        if self._must_read_all or not after:
            delta = await self._source.read_all(self._patience.read_limit_ms)
            self._must_read_all = False
        else:
            try:
                delta = await self._source.watch(after, self._wait_ms)
            except HistoryLostError:
                logger.info(
                    "store: its history after revision {} is gone; reads all again.",
                    after,
                )
                self._must_read_all = True
                return 0.0
        self._note_success()
        # A whole copy is news even when empty: what follows it leaves no gap.
        is_news = bool(
            delta.is_whole or delta.registered or delta.departed or delta.tables
        )
        confirmed_ms = asked_ms if delta.is_whole else self._clock.now_ms()
        self._watched = max(self._watched, delta.revision)
        if is_news:
            self._emit(CatalogRead(self._with_grace(delta)))
        self._emit(CatalogConfirmed(confirmed_ms))
        return self._gather_ms if is_news else 0.0

    def _with_grace(self, delta: CatalogDelta) -> CatalogDelta:
        known = self._world.catalog.ready_count()
        since_ms = None
        if self._out_of_reach_ms is not None:
            since_ms = self._clock.now_ms() - self._out_of_reach_ms
        grace_ms = departure_grace_ms(len(delta.departed), known, since_ms)
        departed = tuple(one._replace(grace_ms=grace_ms) for one in delta.departed)
        return delta._replace(departed=departed, grace_ms=grace_ms)

    def _duty(self) -> StoreDuty:
        return store_duty(
            self._world, self._ring, self._clock.now_ms(), self._unconfirmed_limit_ms
        )

    def _note_failure(self, error: StoreError) -> None:
        self._out_of_reach_ms = self._clock.now_ms()
        if not self._is_out_of_reach:
            self._is_out_of_reach = True
            logger.warning(
                "store: out of reach ({}); revision {} stays in force.",
                error,
                self._world.catalog.revision,
            )

    def _note_success(self) -> None:
        if self._is_out_of_reach:
            self._is_out_of_reach = False
            self._out_of_reach_ms = self._clock.now_ms()
            logger.info("store: in reach again.")


async def _sleep(wait_ms: float) -> None:
    if wait_ms > 0.0:
        await asyncio.sleep(wait_ms / MILLISECONDS_PER_SECOND)
