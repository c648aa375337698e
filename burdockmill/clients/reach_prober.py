"""Test the links to upstreams with connections while this host seems cut off."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from burdockmill.forwarding.messages import LinkState
from burdockmill.forwarding.reach_monitor import OpenAttempt

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine, Sequence

    from burdockmill.clients.forwarding_client import ForwardingClient
    from burdockmill.clock import Clock
    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.reach_monitor import ReachMonitor

MILLISECONDS_PER_SECOND = 1_000
# A lost cut is noticed within about this time; see ISOLATED_RETURN_MS.
ISOLATED_INTERVAL_MS = 220.0
# Links that are merely in doubt are tested less often.
DOUBT_INTERVAL_MS = 500.0
JITTER_FRACTION = 0.2


class ReachProber:
    """Connect to a few upstreams at a time until nothing needs a test."""

    def __init__(
        self,
        monitor: ReachMonitor,
        client: ForwardingClient,
        clock: Clock,
        targets: Callable[[], Sequence[Registration]],
        rng: random.Random,
    ) -> None:
        self._monitor = monitor
        self._client = client
        self._clock = clock
        self._targets = targets
        self._rng = rng
        self._task: asyncio.Task[None] | None = None
        self._single_tests: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Test from now on until nothing needs a test."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def test_now(
        self, targets: Sequence[Registration], on_end: Callable[[], None]
    ) -> None:
        """Connect to some upstreams once, and call `on_end` after that."""

        async def test() -> None:
            try:
                await asyncio.gather(*(self._test(one) for one in targets))
            finally:
                on_end()

        self._run_once(test())

    def test_silence(
        self,
        upstream: Registration,
        controls: Sequence[Registration],
        on_end: Callable[[Registration, float, LinkState, float], None],
    ) -> None:
        """Connect to an upstream, and to `controls` if nothing is heard meanwhile.

        `on_end` gets the upstream, when the test began, the result, and the time of
        the clock.
        """

        async def test() -> None:
            began_ms = self._clock.now_ms()
            state = await self._client.test_silence(upstream)
            if state is LinkState.ACCEPTED:
                self._monitor.heard(upstream, self._clock.now_ms())
            elif self._monitor.reach.heard_ms <= began_ms:
                await asyncio.gather(*(self._test(one) for one in controls))
            on_end(upstream, began_ms, state, self._clock.now_ms())

        self._run_once(test())

    async def close(self) -> None:
        """Stop testing."""
        tasks = [*self._single_tests, *([self._task] if self._task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _run_once(self, test: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(test)
        self._single_tests.add(task)
        task.add_done_callback(self._single_tests.discard)

    async def _run(self) -> None:
        try:
            while targets := self._targets():
                await asyncio.gather(*(self._test(one) for one in targets))
                is_isolated = self._monitor.reach.is_isolated
                interval_ms = ISOLATED_INTERVAL_MS if is_isolated else DOUBT_INTERVAL_MS
                jitter = self._rng.uniform(-JITTER_FRACTION, JITTER_FRACTION)
                await asyncio.sleep(
                    interval_ms * (1.0 + jitter) / MILLISECONDS_PER_SECOND
                )
        finally:
            self._task = None

    async def _test(self, upstream: Registration) -> None:
        self._client.counts["links_tested"] += 1
        attempt = OpenAttempt(upstream, self._clock.now_ms())
        is_reached = await self._is_reached(upstream)
        now_ms = self._clock.now_ms()
        if is_reached:
            self._monitor.heard(upstream, now_ms)
        else:
            self._monitor.unconnected(attempt, now_ms)

    async def _is_reached(self, upstream: Registration) -> bool:
        try:
            return await self._client.test_link(upstream)
        except Exception as error:
            # The links to other upstreams are tested all the same.
            self._client.counts["link_tests_broken"] += 1
            logger.warning(
                "reach: the link to {} cannot be tested ({}: {:.200}).",
                upstream.upstream,
                type(error).__name__,
                str(error),
            )
            return False
