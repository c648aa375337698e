"""Send batches of messages to other hosts."""

from __future__ import annotations

import asyncio
import zlib
from collections import Counter, OrderedDict, deque
from typing import TYPE_CHECKING, cast

import msgspec
from aiohttp import ClientConnectorError, ClientError
from loguru import logger

from burdockmill.clients._reuse_checking_connector import ReuseCheckingConnector
from burdockmill.clients._upstream_codec import WrongAnswerError
from burdockmill.clients.no_retry_session import NoRetrySession
from burdockmill.errors import Ran
from burdockmill.explanation import Explanation
from burdockmill.messages.batch import BatchReply, make_batch
from burdockmill.messages.events import PeerDelivered, PeerUnreachable
from burdockmill.messages.fleet import Probe, RelayUpdates
from burdockmill.messages.peer import TicketHandover

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.clients.no_retry_session import HttpResponse
    from burdockmill.messages.events import Event
    from burdockmill.messages.peer import PeerMessage
    from burdockmill.names import Address, HostId, RequestId

BATCH_PATH = "/peer/v1/batch"
MESSAGES_PER_BATCH_LIMIT = 256
CONNECTIONS_PER_PEER = 2
SESSIONS_LIMIT = 1_024
QUEUED_MESSAGES_LIMIT = 16_384
BATCH_TIMEOUT_MS = 1_000
EXPLAIN_TIMEOUT_MS = 500
MILLISECONDS_PER_SECOND = 1_000
# Unexpected failures of batches are logged this often at most.
FAILURE_LOG_INTERVAL_S = 10.0
OK = 200
# The status of a peer that refused a batch before processing any message.
NOTHING_ACCEPTED = 503
PEER_KEY_HEADER = "Peer-Key"
# Batches above this size carry configuration, which compresses well.
COMPRESSION_THRESHOLD_BYTES = 4_096
COMPRESSION_LEVEL = 1
# The slowest links carry at least this much; large batches get a longer timeout.
MIN_BYTES_PER_MS = 200
DELIVERY_CONFIRMED_TYPES = (Probe, RelayUpdates, TicketHandover)

_REPLY_DECODER = msgspec.json.Decoder(BatchReply)
_EXPLANATION_DECODER = msgspec.json.Decoder(Explanation)


class _PeerQueue:
    """Queue the messages to one host."""

    def __init__(self, host: HostId, address: Address) -> None:
        self.host = host
        self.address = address
        self.pending: deque[PeerMessage] = deque()
        self.flusher: asyncio.Task | None = None


class PeerClient:
    """Queue messages by host and send the pending ones, one batch at a time."""

    def __init__(
        self, sender: HostId, peer_key: str, emit: Callable[[Event], None]
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.blocked_hosts: frozenset[HostId] = frozenset()
        self._sender = sender
        self._headers = {PEER_KEY_HEADER: peer_key}
        self._emit = emit
        self._queue_by_host: dict[HostId, _PeerQueue] = {}
        self._session_by_address: OrderedDict[Address, NoRetrySession] = OrderedDict()
        self._closing_tasks: set[asyncio.Task] = set()
        self._closed = False
        self._log_failures_from_s = 0.0

    def send(self, host: HostId, address: Address, message: PeerMessage) -> None:
        """Queue a message; report it as undelivered if the queue is full."""
        if self._closed:
            self.counts["sent_after_close"] += 1
            self._report_undelivered_soon(host, message)
            return
        queue = self._queue_by_host.get(host)
        if queue is None:
            queue = self._queue_by_host[host] = _PeerQueue(host, address)
        queue.address = address
        if len(queue.pending) >= QUEUED_MESSAGES_LIMIT:
            self.counts["queue_full"] += 1
            self._report_undelivered_soon(host, message)
            return
        queue.pending.append(message)
        if queue.flusher is None:
            loop = asyncio.get_running_loop()
            queue.flusher = loop.create_task(self._flush(queue))

    async def explain(
        self, address: Address, request_id: RequestId
    ) -> Explanation | None:
        """Return a host's decisions on a request, or None without a valid response."""
        path = f"/peer/v1/explain/{request_id}"
        try:
            async with asyncio.timeout(EXPLAIN_TIMEOUT_MS / MILLISECONDS_PER_SECOND):
                response = await self._session_of(address).get(path, self._headers)
                return _EXPLANATION_DECODER.decode(response.body)
        except (
            TimeoutError,
            ClientError,
            OSError,
            WrongAnswerError,
            msgspec.MsgspecError,
            UnicodeError,
            RecursionError,
        ):
            self.counts["explain_failed"] += 1
            return None

    @property
    def is_idle(self) -> bool:
        """Return whether no message is pending or being sent."""
        return not self._queue_by_host

    async def close(self) -> None:
        """Stop sending, report what was not delivered, and close all connections."""
        self._closed = True
        queues = list(self._queue_by_host.values())
        flushers = [queue.flusher for queue in queues if queue.flusher is not None]
        for flusher in flushers:
            flusher.cancel()
        await asyncio.gather(*flushers, return_exceptions=True)
        for queue in queues:
            self._report_undelivered(queue.host, list(queue.pending), Ran.NO)
        self._queue_by_host.clear()
        await asyncio.gather(*self._closing_tasks)
        for session in list(self._session_by_address.values()):
            await session.close()

    async def _flush(self, queue: _PeerQueue) -> None:
        try:
            while queue.pending:
                await self._send_batch(queue)
        finally:
            queue.flusher = None
        if self._queue_by_host.get(queue.host) is queue:
            del self._queue_by_host[queue.host]

    async def _send_batch(self, queue: _PeerQueue) -> None:
        size = min(MESSAGES_PER_BATCH_LIMIT, len(queue.pending))
        messages = [queue.pending.popleft() for _ in range(size)]
        try:
            body = self._encode(queue.host, messages)
            self._finish(queue.host, messages, await self._post(queue, body))
        except ClientConnectorError:
            self.counts["connect_failed"] += 1
            self._report_undelivered(queue.host, messages, Ran.NO)
        except (TimeoutError, ClientError, OSError, WrongAnswerError):
            self.counts["broken"] += 1
            self._report_undelivered(queue.host, messages, Ran.UNKNOWN)
        except asyncio.CancelledError:
            self.counts["stopped"] += 1
            self._report_undelivered(queue.host, messages, Ran.UNKNOWN)
            raise
        except Exception as error:
            # The next batch must not wait for good behind this one.
            self.counts["failed"] += 1
            self._log_failure(error)
            self._report_undelivered(queue.host, messages, Ran.UNKNOWN)

    def _log_failure(self, error: Exception) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._log_failures_from_s:
            self._log_failures_from_s = now_s + FAILURE_LOG_INTERVAL_S
            logger.opt(exception=error).error("peer: a batch failed unexpectedly.")

    def _finish(
        self, host: HostId, messages: list[PeerMessage], response: HttpResponse
    ) -> None:
        self.counts["batches"] += 1
        self.counts["messages"] += len(messages)
        if response.status == OK:
            self._confirm(host, messages, response.body)
        else:
            self.counts["refused"] += 1
            is_certain = response.status == NOTHING_ACCEPTED
            ran = Ran.NO if is_certain else Ran.UNKNOWN
            self._report_undelivered(host, messages, ran)

    def _encode(self, host: HostId, messages: list[PeerMessage]) -> bytes:
        """Encode a batch; leave out and report the messages that cannot be encoded."""
        try:
            return msgspec.json.encode(make_batch(self._sender, messages))
        except Exception:
            # Which errors an encoder raises depends on the values.
            all_messages = list(messages)
            messages[:] = [one for one in all_messages if self._is_encodable(one)]
            left_out = [one for one in all_messages if one not in messages]
            self._report_undelivered(host, left_out, Ran.NO)
            return msgspec.json.encode(make_batch(self._sender, messages))

    def _is_encodable(self, message: PeerMessage) -> bool:
        try:
            msgspec.json.encode(make_batch(self._sender, [message]))
        except Exception as error:
            self.counts["not_encodable"] += 1
            logger.error(
                "peer: a {} cannot be encoded ({}: {:.200}).",
                type(message).__name__,
                type(error).__name__,
                str(error),
            )
            return False
        return True

    async def _post(self, queue: _PeerQueue, body: bytes) -> HttpResponse:
        headers = self._headers
        if len(body) > COMPRESSION_THRESHOLD_BYTES:
            body = zlib.compress(body, COMPRESSION_LEVEL)
            headers = headers | {"Content-Encoding": "deflate"}
        timeout_ms = BATCH_TIMEOUT_MS + len(body) / MIN_BYTES_PER_MS
        async with asyncio.timeout(timeout_ms / MILLISECONDS_PER_SECOND):
            if queue.host in self.blocked_hosts:
                await asyncio.Event().wait()
            return await self._session_of(queue.address).post(
                BATCH_PATH, body, lambda: headers
            )

    def _confirm(self, host: HostId, messages: list[PeerMessage], body: bytes) -> None:
        """Report messages as delivered, and those that the host put aside as not.

        A probe was delivered in any case: the host answered.
        """
        put_aside = self._put_aside(messages, body)
        self.counts["put_aside"] += len(put_aside)
        for message in messages:
            if id(message) in put_aside and not isinstance(message, Probe):
                self._report_undelivered(host, [message], Ran.NO)
            elif isinstance(message, DELIVERY_CONFIRMED_TYPES):
                self._emit(PeerDelivered(host, message))

    def _put_aside(self, messages: list[PeerMessage], body: bytes) -> frozenset[int]:
        """Return the identities of messages that the receiver could not decode."""
        try:
            indexes_by_field = _REPLY_DECODER.decode(body).get("put_aside", {})
        except (msgspec.MsgspecError, UnicodeError, RecursionError):
            self.counts["reply_malformed"] += 1
            return frozenset()
        if not indexes_by_field:
            return frozenset()
        batch = cast("dict[str, list[PeerMessage]]", make_batch(self._sender, messages))
        return frozenset(
            id(message)
            for field, indexes in indexes_by_field.items()
            for index, message in enumerate(batch.get(field, ()))
            if index in indexes
        )

    def _session_of(self, address: Address) -> NoRetrySession:
        session = self._session_by_address.get(address)
        if session is None:
            connector = ReuseCheckingConnector(
                limit=CONNECTIONS_PER_PEER, use_dns_cache=False
            )
            session = NoRetrySession(address, connector)
            self._session_by_address[address] = session
            self._evict_sessions()
        self._session_by_address.move_to_end(address)
        return session

    def _evict_sessions(self) -> None:
        while len(self._session_by_address) > SESSIONS_LIMIT:
            _, oldest = self._session_by_address.popitem(last=False)
            self.counts["sessions_forgotten"] += 1
            closing = asyncio.get_running_loop().create_task(oldest.close())
            self._closing_tasks.add(closing)
            closing.add_done_callback(self._closing_tasks.discard)

    def _report_undelivered(
        self, host: HostId, messages: list[PeerMessage], ran: Ran
    ) -> None:
        for message in messages:
            self.counts["undelivered"] += 1
            self._emit(PeerUnreachable(host, message, ran))

    def _report_undelivered_soon(self, host: HostId, message: PeerMessage) -> None:
        loop = asyncio.get_running_loop()
        loop.call_soon(self._report_undelivered, host, [message], Ran.NO)
