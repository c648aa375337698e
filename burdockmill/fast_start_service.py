"""Run a host with few imports, for a quick start.

After a crash, a host serves again only once its process has loaded, so its clients
wait for every import. `service.py` runs hosts whose start-up time does not matter.
"""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import uvloop
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.startable import Startable

MILLISECONDS_PER_SECOND = 1_000
# A stop is aborted when it exceeds its limit by this time.
CLOSE_LIMIT_MS = 5_000


def run_until_stopped(
    make: Callable[[], Startable], limit_ms: float, on_hangup: Callable[[], None]
) -> None:
    """Run a host until SIGTERM or SIGINT, then stop it within a time limit.

    The limit is `limit_ms` and CLOSE_LIMIT_MS more. `on_hangup` is called on SIGHUP.
    Errors of the host's start or stop are raised.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(make, limit_ms, on_hangup))


async def _run(
    make: Callable[[], Startable], limit_ms: float, on_hangup: Callable[[], None]
) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, on_hangup)
    host = make()
    starting = loop.create_task(host.start())
    stopping = loop.create_task(stop_requested.wait())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    if not starting.done():
        starting.cancel()
        await asyncio.wait((starting,))
    start_error = None if starting.cancelled() else starting.exception()
    if start_error is not None:
        logger.opt(exception=start_error).error("node: the host failed to start.")
    elif not starting.cancelled():
        await stopping
    try:
        async with asyncio.timeout(
            (limit_ms + CLOSE_LIMIT_MS) / MILLISECONDS_PER_SECOND
        ):
            await host.stop()
    except Exception:
        logger.exception("stop: the host failed to stop cleanly.")
        raise
    if start_error is not None:
        raise start_error
