"""Open connections in advance to upstreams that searches will need."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from burdockmill.clients.forwarding_client import ForwardingClient
    from burdockmill.forwarding.messages import Registration

# Connections are opened one after the other, so that upstreams and this host have
# processor time left for requests.
CONNECT_INTERVAL_S = 0.01
# Strong hosts that gather the searches of others have time, and need them soon after
# all hosts have started again.
GATHERER_INTERVAL_S = 0.003
ROUND_INTERVAL_S = 1.0
# Hosts receive new upstreams at the same moment; jitter keeps them from connecting all
# at once.
ROUND_JITTER_FRACTION = 0.5


class ConnectionWarmer:
    """Open a connection to each target that has none."""

    def __init__(
        self,
        client: ForwardingClient,
        targets: Callable[[], Iterable[Registration]],
        rng: random.Random,
        is_gatherer: Callable[[], bool] = lambda: False,
    ) -> None:
        self._client = client
        self._targets = targets
        self._rng = rng
        self._is_gatherer = is_gatherer

    async def run(self) -> None:
        """Check all targets periodically until cancelled."""
        while True:
            for target in list(self._targets()):
                if self._open(target):
                    await asyncio.sleep(self._interval_s)
            jitter = self._rng.uniform(-ROUND_JITTER_FRACTION, ROUND_JITTER_FRACTION)
            await asyncio.sleep(ROUND_INTERVAL_S * (1.0 + jitter))

    @property
    def _interval_s(self) -> float:
        return GATHERER_INTERVAL_S if self._is_gatherer() else CONNECT_INTERVAL_S

    def _open(self, target: Registration) -> bool:
        """Open a connection to a target that has none; return whether one opens."""
        try:
            if not self._client.is_disconnected(target):
                return False
            self._client.open_in_background(target)
        except Exception as error:
            # The other targets are warmed all the same.
            self._client.counts["warm_up_broken"] += 1
            logger.warning(
                "upstream: no connection to {} can be opened ({}: {:.200}).",
                target.upstream,
                type(error).__name__,
                str(error),
            )
            return False
        return True
