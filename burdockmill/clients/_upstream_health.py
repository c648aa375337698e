"""Check the health of an upstream within a timeout."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from aiohttp import ClientError

from burdockmill.clients._upstream_codec import OK, WrongAnswerError
from burdockmill.messages.events import HealthRead
from burdockmill.messages.upstream import UpstreamHealth

if TYPE_CHECKING:
    from collections import Counter

    from burdockmill.clients._upstream_pool import UpstreamPool
    from burdockmill.clients.no_retry_session import NoRetrySession
    from burdockmill.messages.actions import ReadHealth

HEALTH_TIMEOUT_S = 1.0

_DECODER = msgspec.json.Decoder(UpstreamHealth)


async def read_health(
    pool: UpstreamPool | None, action: ReadHealth, counts: Counter[str]
) -> HealthRead:
    """Return an upstream's reported health; `snapshots` is None if the check fails."""
    no_response = HealthRead(action.upstream, "", None, False)
    if pool is None:
        counts["health_failed"] += 1
        return no_response
    try:
        with pool.use() as session:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                health = await _exchange(session)
    except (
        TimeoutError,
        ClientError,
        OSError,
        WrongAnswerError,
        msgspec.MsgspecError,
        UnicodeError,
        RecursionError,
    ):
        counts["health_failed"] += 1
        return no_response
    return HealthRead(
        upstream=action.upstream,
        incarnation=health["incarnation"],
        snapshots=tuple(health["snapshots"]),
        draining=health["draining"],
    )


async def _exchange(session: NoRetrySession) -> UpstreamHealth:
    response = await session.get("/v1/health")
    if response.status != OK:
        raise WrongAnswerError("status")
    return _DECODER.decode(response.body)
