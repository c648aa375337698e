"""Run a host with as little to load as a quick start needs.

A host that is killed serves again only after its process has loaded, so its clients
wait for every import. `service.py` runs hosts whose start nobody waits for.
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
# A stop that takes this much longer than it was given is ended.
CLOSE_LIMIT_MS = 5_000


def run_until_stopped(
    make: Callable[[], Startable], limit_ms: float, on_hangup: Callable[[], None]
) -> None:
    """Run a host until SIGTERM or SIGINT; a stop may take `limit_ms` and a little.

    `on_hangup` is called on SIGHUP. Raise what the host's start or stop raises.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(make, limit_ms, on_hangup))


async def _run(
    make: Callable[[], Startable], limit_ms: float, on_hangup: Callable[[], None]
) -> None:
    loop = asyncio.get_running_loop()
    told_to_stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told_to_stop.set)
    loop.add_signal_handler(signal.SIGHUP, on_hangup)
    host = make()
    starting = loop.create_task(host.start())
    stopping = loop.create_task(told_to_stop.wait())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        starting.result()
        await stopping
    else:
        starting.cancel()
        await asyncio.wait((starting,))
    try:
        async with asyncio.timeout(
            (limit_ms + CLOSE_LIMIT_MS) / MILLISECONDS_PER_SECOND
        ):
            await host.stop()
    except Exception:
        logger.exception("stop: the host did not stop in order.")
        raise
