"""Hand requests over to other hosts, each written once to one connection."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from aiohttp import ClientError, hdrs
from loguru import logger

from burdockmill.clients._connect_timer import ConnectTimer
from burdockmill.clients._upstream_codec import WrongAnswerError
from burdockmill.clients._upstream_pool import UpstreamPool
from burdockmill.clients.receive_budget import ReceiveBudget
from burdockmill.relay.actions import RelayEnd, RelayOutcome
from burdockmill.relay.messages import (
    PEER_KEY_HEADER,
    RELAY_PATH,
    WAITED_HEADER,
    decode_reply,
    encode,
    relayed_request,
    result_of,
)
from burdockmill.relay.upstream_facts import FACTS_HEADER, decode_facts
from burdockmill.task_frames import free_task_frames

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.clients.no_retry_session import HttpResponse
    from burdockmill.clock import Clock
    from burdockmill.forwarding.messages import ForwardedRequest
    from burdockmill.names import Address, HostId
    from burdockmill.relay.actions import SendRelay
    from burdockmill.relay.messages import CatalogVersion

# Connecting takes one round trip; nothing was sent yet, so giving up is safe.
CONNECT_TIMEOUT_MS = 300.0
CONNECTIONS_PER_HOST = 64
HOSTS_LIMIT = 256
# Time for the reply to come back, beyond half of the round trip.
REPLY_MARGIN_MS = 5.0
OK = 200
# With these statuses a host has processed nothing of the request.
NOT_PROCESSED = frozenset({400, 401, 404, 413, 503})


class InFlightRelay:
    """Track a request at another host, and whether it may have been written."""

    __slots__ = ("is_cancelled", "task", "written")

    def __init__(self) -> None:
        self.is_cancelled = False
        self.written = False
        self.task: asyncio.Task[RelayOutcome] | None = None

    def cancel(self) -> None:
        """Cancel the request; its connection is closed, which stops the host's run."""
        self.is_cancelled = True
        if self.task is not None:
            self.task.cancel()


class RelayClient:
    """Send requests of clients to other hosts, and return the replies."""

    def __init__(
        self,
        host: HostId,
        peer_key: str,
        clock: Clock,
        address_of: Callable[[HostId], Address | None],
        version: Callable[[], int],
        on_catalog: Callable[[HostId, CatalogVersion], None],
        budget: ReceiveBudget | None = None,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._host = host
        self._headers = {PEER_KEY_HEADER: peer_key}
        self._clock = clock
        self._address_of = address_of
        self._version = version
        self._on_catalog = on_catalog
        self._budget = budget or ReceiveBudget()
        self._pool_by_address: dict[Address, UpstreamPool] = {}
        self._in_flight: set[InFlightRelay] = set()

    def send(
        self,
        request: ForwardedRequest,
        action: SendRelay,
        on_end: Callable[[RelayOutcome], None],
        on_taken: Callable[[], None] | None = None,
        on_write: Callable[[], None] | None = None,
    ) -> InFlightRelay:
        """Hand a request over; call `on_end` with its outcome, also if cancelled.

        `on_write` is called before the request is written, which it is not once it was
        cancelled. `on_taken` is called once the host has confirmed that it runs it.
        """
        relay = InFlightRelay()
        self._in_flight.add(relay)
        loop = asyncio.get_running_loop()
        relay.task = loop.create_task(
            self._run(request, action, relay, on_taken, on_write)
        )

        def finish(task: asyncio.Task[RelayOutcome]) -> None:
            self._in_flight.discard(relay)
            outcome = _outcome_of(task, relay)
            free_task_frames(task)
            self.counts[f"relays_{outcome.end.value}"] += 1
            on_end(outcome)

        relay.task.add_done_callback(finish)
        return relay

    async def close(self) -> None:
        """Cancel all requests and close all connections."""
        for relay in list(self._in_flight):
            relay.cancel()
        pools = list(self._pool_by_address.values())
        self._pool_by_address.clear()
        await asyncio.gather(*(pool.close() for pool in pools))

    async def _run(
        self,
        request: ForwardedRequest,
        action: SendRelay,
        relay: InFlightRelay,
        on_taken: Callable[[], None] | None,
        on_write: Callable[[], None] | None,
    ) -> RelayOutcome:
        address = self._address_of(action.host)
        if address is None:
            return RelayOutcome(RelayEnd.NOT_SENT, detail="its address is unknown")
        started_ms = self._clock.now_ms()
        path_ms = action.round_trip_ms / 2.0
        head = relayed_request(request, self._host, self._version())._replace(
            remaining_ms=action.deadline_ms - started_ms - path_ms - REPLY_MARGIN_MS,
            spent_ms=request.spent_ms
            + (started_ms - request.received_ms)
            + action.round_trip_ms,
            attempts_limit=action.attempts_limit,
            is_counted=action.is_counted,
            confirms=action.is_gathered,
        )

        def start_write() -> dict[str, str]:
            if relay.is_cancelled:
                # A connection that was ready by then has swallowed the cancellation.
                raise asyncio.CancelledError
            relay.written = True
            if on_write is not None:
                on_write()
            waited_ms = self._clock.now_ms() - started_ms
            return {**self._headers, WAITED_HEADER: f"{waited_ms:.1f}"}

        def give_up() -> None:
            if not relay.written:
                relay.cancel()

        with self._pool_of(address).use() as session:
            timer = ConnectTimer(CONNECT_TIMEOUT_MS, give_up)
            try:
                body = encode(head, request.body)
                response = await session.post(
                    RELAY_PATH, body, start_write, on_taken, self._budget
                )
            finally:
                timer.cancel()
        return self._outcome(action.host, response)

    def _outcome(self, host: HostId, response: HttpResponse) -> RelayOutcome:
        detail = f"status {response.status}"
        if response.status in NOT_PROCESSED:
            return RelayOutcome(RelayEnd.DECLINED, detail=detail)
        if response.status != OK:
            return RelayOutcome(RelayEnd.LOST, detail=detail)
        if hdrs.CONTENT_LENGTH not in response.headers:
            # Hosts state the length; without it a reply that was cut looks whole.
            raise WrongAnswerError("length")
        reply, body = decode_reply(response.body)
        self._on_catalog(host, reply.catalog)
        facts = decode_facts(response.headers.get(FACTS_HEADER, "[]"))
        result = result_of(reply, body)
        if result is None:
            return RelayOutcome(RelayEnd.DECLINED, None, reply.detail, facts)
        return RelayOutcome(RelayEnd.ANSWERED, result, facts=facts)

    def _pool_of(self, address: Address) -> UpstreamPool:
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = UpstreamPool(address, CONNECTIONS_PER_HOST, self.counts)
            self._pool_by_address[address] = pool
            if len(self._pool_by_address) > HOSTS_LIMIT:
                oldest = next(iter(self._pool_by_address))
                self._pool_by_address.pop(oldest).stop_keeping_idle()
        return pool


def _outcome_of(task: asyncio.Task[RelayOutcome], relay: InFlightRelay) -> RelayOutcome:
    end = RelayEnd.LOST if relay.written else RelayEnd.NOT_SENT
    if task.cancelled():
        return RelayOutcome(end, detail="cancelled")
    error = task.exception()
    if error is None:
        return task.result()
    known = ClientError | OSError | WrongAnswerError | msgspec.MsgspecError
    if not isinstance(error, known):
        logger.opt(exception=error).error("relay: a hand-over failed unexpectedly.")
    return RelayOutcome(end, detail=f"{type(error).__name__}: {error}")
