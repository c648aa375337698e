"""Run the steps of a stop, so that none keeps the others from being run in time."""

from __future__ import annotations

import asyncio
import inspect
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    Step = Callable[[], Awaitable[None] | None]

MILLISECONDS_PER_SECOND = 1_000


async def run_step(name: str, step: Step, limit_ms: float) -> None:
    """Run one step of a stop within a time limit; log how it failed."""
    try:
        async with asyncio.timeout(limit_ms / MILLISECONDS_PER_SECOND):
            awaitable = step()
            if inspect.isawaitable(awaitable):
                await awaitable
    except Exception:
        logger.exception("stop: {} failed; the stop goes on.", name)


async def run_together(step_by_name: Mapping[str, Step], limit_ms: float) -> None:
    """Run some steps of a stop at the same time, each within a time limit."""
    await asyncio.gather(
        *(run_step(name, step, limit_ms) for name, step in step_by_name.items())
    )
