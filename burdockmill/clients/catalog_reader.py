"""Read the catalog from the store while `store_role` assigns that to this host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from burdockmill.clients._store_health import StoreHealth
from burdockmill.clients.catalog_source import (
    HistoryLostError,
    StoreError,
    UnreadableAnswerError,
)
from burdockmill.messages.events import CatalogConfirmed, CatalogRead
from burdockmill.policies.departure_grace import departure_grace_ms
from burdockmill.policies.store_reading import StoreReading
from burdockmill.policies.store_role import StoreRole, store_role

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from burdockmill.clients.catalog_source import CatalogSource
    from burdockmill.clock import Clock
    from burdockmill.messages.catalog import CatalogDelta
    from burdockmill.messages.events import Event
    from burdockmill.messages.store_position import StorePosition
    from burdockmill.systems._ring import Ring
    from burdockmill.world import World

# A watch (long poll) of the store lasts at most `change_limit_ms` divided by this. If
# the reader cannot reach the store, other hosts then miss its confirmations early
# enough to read a change themselves within `change_limit_ms`.
WATCHES_PER_LIMIT = 3
# A host reads for itself once no host has confirmed the catalog for this fraction of
# `change_limit_ms`.
UNCONFIRMED_FRACTION = 0.55
# After an update, or a watch that returned within this delay, the next watch is
# delayed by `change_limit_ms` divided by this. Changes within the delay share a watch,
# since the store counts each call.
BATCHES_PER_LIMIT = 12
# A host that is not its domain's reader delays a read of the whole catalog by up to
# `change_limit_ms` divided by this; the reader relays its copy meanwhile.
READ_DELAYS_PER_LIMIT = 3
ROLE_CHECK_MS = 100.0
# A call that lasts this much longer than a watch has not ended at its own timeout.
STUCK_MARGIN_MS = 1_600.0
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
        self.health = StoreHealth(clock)
        self._reading = StoreReading(change_limit_ms)
        self._watch_ms = int(change_limit_ms / WATCHES_PER_LIMIT)
        self._batching_delay_ms = change_limit_ms / BATCHES_PER_LIMIT
        self._unconfirmed_limit_ms = change_limit_ms * UNCONFIRMED_FRACTION
        self._read_delay_ms = change_limit_ms / READ_DELAYS_PER_LIMIT
        # Raised by each run, so that a run that was stuck does not continue.
        self._generation = 0
        self._progressed_s = 0.0

    async def run(self) -> None:
        """Read and watch until cancelled; retry failed calls with backoff."""
        self._generation += 1
        generation = self._generation
        loop = asyncio.get_running_loop()
        retry_ms = RETRY_FIRST_MS
        while generation == self._generation:
            self._progressed_s = loop.time()
            if self._role() is StoreRole.NONE:
                self.health.not_read()
                await _sleep(ROLE_CHECK_MS)
                continue
            try:
                wait_ms = await self._step(generation)
                retry_ms = RETRY_FIRST_MS
            except Exception as error:
                if generation != self._generation:
                    return
                # Whatever a call raises, this host depends on the next one.
                self.health.failed(error, self._world.catalog.position)
                wait_ms = retry_ms * self._rng.uniform(0.5, 1.5)
                retry_ms = min(self._timeouts.retry_max_ms, 2.0 * retry_ms)
            self._progressed_s = loop.time()
            await _sleep(wait_ms)

    def time_left_ms(self) -> float:
        """Return the time until a run that makes no progress counts as stuck."""
        now_s = asyncio.get_running_loop().time()
        # A slow answer is progress as long as it arrives.
        progressed_s = max(self._progressed_s, self._source.received_s)
        idle_ms = (now_s - progressed_s) * MILLISECONDS_PER_SECOND
        return self._watch_ms + STUCK_MARGIN_MS - idle_ms

    @property
    def _timeouts(self) -> StoreTimeouts:
        return (
            NO_CATALOG_TIMEOUTS
            if self._world.catalog.tables is None
            else USUAL_TIMEOUTS
        )

    async def _step(self, generation: int) -> float:
        """Read or watch once; return how long to wait afterwards, in milliseconds."""
        reading = self._reading
        requested_ms = self._clock.now_ms()
        after = reading.begin_step(self._world.catalog.position)
        is_whole_read = reading.needs_whole_read(after)
        try:
            if is_whole_read:
                delta = await self._read_all()
            else:
                delta = await self._source.watch(after, self._watch_ms)
        except HistoryLostError as error:
            # Another whole read at once would fail the same way.
            if is_whole_read or generation != self._generation:
                raise
            return self._plan_whole_read(after, error)
        except UnreadableAnswerError:
            if generation == self._generation:
                reading.unreadable(is_whole_read=is_whole_read)
            raise
        if generation != self._generation:
            # The answer came to a run that was left behind, and may be old.
            return 0.0
        if delta.position < after and not is_whole_read:
            reading.history_lost(after)
            raise StoreError(
                f"the store is at revision {delta.revision}, "
                f"before revision {after.revision}"
            )
        if is_whole_read:
            reading.whole_read()
        self.health.succeeded()
        now_ms = self._clock.now_ms()
        # A read of the whole catalog is emitted even if it is empty: later changes then
        # follow without a gap.
        has_updates = bool(
            delta.is_whole
            or delta.registered
            or delta.departed
            or delta.tables
            or delta.evacuations
        )
        base = reading.base_of(after, self._world.catalog.position)
        if has_updates or reading.is_position_due(delta.position, now_ms):
            if not delta.is_whole:
                delta = delta._replace(base=base.revision)
            self._emit(CatalogRead(self._with_grace(delta)))
            reading.emitted(delta.position, now_ms)
            if delta.position < after:
                reading.store_is_behind(after, delta.position)
        else:
            reading.unchanged(base, delta.position)
        self._emit(CatalogConfirmed(requested_ms if delta.is_whole else now_ms))
        # A watch may also return at once because of keys that are not of the catalog.
        is_early = now_ms - requested_ms < self._batching_delay_ms
        return self._batching_delay_ms if has_updates or is_early else 0.0

    async def _read_all(self) -> CatalogDelta:
        delta = await self._source.read_all(self._timeouts.read_timeout_ms)
        era = self._world.catalog.era
        if delta.era < era:
            raise StoreError(f"era {delta.era} after era {era}")
        return delta

    def _plan_whole_read(self, after: StorePosition, error: HistoryLostError) -> float:
        """Return how long to wait before the whole catalog is read, in milliseconds.

        Hosts that all lost their watch at once leave the read to their domain's reader;
        one that receives a newer catalog from it meanwhile does not read at all.
        """
        self._reading.history_lost(after)
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
            self.health.last_unreachable_ms = self._clock.now_ms()
        since_unreachable_ms = None
        if self.health.last_unreachable_ms is not None:
            since_unreachable_ms = (
                self._clock.now_ms() - self.health.last_unreachable_ms
            )
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


async def _sleep(wait_ms: float) -> None:
    if wait_ms > 0.0:
        await asyncio.sleep(wait_ms / MILLISECONDS_PER_SECOND)
