"""Read the catalog from the platform's store."""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple, NoReturn, TypeVar
from urllib.parse import urlencode

from aiohttp import TCPConnector

from burdockmill.clients._session import open_session
from burdockmill.clients.catalog_source import (
    CatalogSource,
    HistoryLostError,
    StoreError,
    UnreadableAnswerError,
)
from burdockmill.messages.store_position import StorePosition
from burdockmill.platform.configuration import REASON_LIMIT_CHARACTERS, describe
from burdockmill.platform.headers import first_value
from burdockmill.platform.store_items import StoreItems
from burdockmill.platform.store_pages import (
    MalformedAnswerError,
    decode_events,
    decode_range,
)
from burdockmill.platform.wire_names import (
    OPERATOR_PREFIX,
    REGISTRATIONS_PREFIX,
    STORE_ERA,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from aiohttp import ClientResponse, ClientSession

    from burdockmill.messages.catalog import CatalogDelta
    from burdockmill.names import Address, Era
    from burdockmill.platform.store_pages import Item

    Page = TypeVar("Page")

# Added to a watch's wait for its timeout; a slow store answers within a few hundred
# milliseconds.
WATCH_MARGIN_MS = 1_500.0
# Pages and events hold about a megabyte, or one value of that size in base64.
ANSWER_LIMIT_BYTES = 8 * 1024 * 1024
# An answer that arrives more slowly than this is abandoned.
MIN_BYTES_PER_S = 25_000
OK, NOT_FOUND, GONE = 200, 404, 410
MILLISECONDS_PER_SECOND = 1_000
ERA = re.compile(r"[0-9]{1,18}")


class _Answer(NamedTuple):
    """Store the body of a successful answer, and the era that it belongs to."""

    body: bytes
    era: Era


class StoreSource(CatalogSource):
    """Read the configuration and the upstreams' registrations, and watch both."""

    def __init__(self, address: Address) -> None:
        self.counts: Counter[str] = Counter()
        self._address = address
        self._items = StoreItems(self.counts)
        self._session: ClientSession | None = None
        self._era: Era = 0

    async def read_all(self, timeout_ms: float) -> CatalogDelta:
        """Return the whole catalog; raise StoreError.

        `timeout_ms` bounds the wait for each answer, and for each further piece of it.
        """
        first: StorePosition | None = None
        items: list[Item] = []
        for prefix in (OPERATOR_PREFIX, REGISTRATIONS_PREFIX):
            after = ""
            while True:
                query = {"prefix": prefix} | ({"after": after} if after else {})
                answer = await self._get("/kv-range", query, timeout_ms)
                page = self._decode(decode_range, answer.body)
                # Pages are read one after the other, so together they are certainly
                # complete only up to the revision of the first page.
                if first is None:
                    first = StorePosition(answer.era, page.store_revision)
                if answer.era != first.era:
                    self._raise_error(
                        f"era {answer.era} began while era {first.era} was read"
                    )
                for item in page.items:
                    # A second copy of an earlier answer is not the page asked for.
                    if not item.key.startswith(prefix) or item.key <= after:
                        self._raise_unreadable(
                            f"the key {item.key!r} is of another page"
                        )
                items.extend(page.items)
                if not page.has_more:
                    break
                if not page.items:
                    # Taken for the last page, it would remove all that follows.
                    self._raise_unreadable("an empty page that is not the last")
                after = page.items[-1].key
        assert first is not None
        delta = self._items.build_delta(0, first, items)
        return delta._replace(is_whole=True)

    async def watch(self, after: StorePosition, wait_ms: int) -> CatalogDelta:
        """Return the changes after a position, or none after `wait_ms`.

        Raise StoreError; HistoryLostError if the store cannot tell these changes.
        """
        query = {"prefix": "", "after": after.revision, "wait-ms": wait_ms}
        answer = await self._get("/kv-watch", query, WATCH_MARGIN_MS + wait_ms)
        if answer.era > after.era:
            # The revision was assigned again, perhaps to another change.
            raise HistoryLostError(f"era {answer.era} followed era {after.era}")
        if answer.era < after.era:
            self._raise_error(f"an answer of era {answer.era} after era {after.era}")
        response = self._decode(decode_events, answer.body)
        position = StorePosition(answer.era, response.store_revision)
        return self._items.build_delta(after.revision, position, response.events)

    def set_aside(self) -> Mapping[str, str]:
        """Return why each item that cannot be read is set aside, by its key."""
        return self._items.reason_by_key

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _get(
        self, path: str, query: dict[str, Any], timeout_ms: float
    ) -> _Answer:
        self.counts["calls"] += 1
        timeout_s = timeout_ms / MILLISECONDS_PER_SECOND
        url = f"http://{self._address}{path}?{urlencode(query)}"
        body = bytearray()
        try:
            async with (
                asyncio.timeout(timeout_s) as timeout,
                self._get_session().get(url, allow_redirects=False) as response,
            ):
                await self._read_body(response, body, timeout, timeout_s)
                status = response.status
                headers = response.headers
        except TimeoutError as error:
            self._raise_error(
                f"no answer within {timeout_s:.1f} s, {len(body)} bytes received",
                error,
            )
        except StoreError:
            raise
        except Exception as error:
            # Beside ClientError and OSError, aiohttp and uvloop raise RuntimeError,
            # ValueError and others for connections that break and odd answers.
            self._raise_error(describe(error), error)
        era = self._read_era(headers)
        if status == GONE:
            self.counts["history_gone"] += 1
            raise HistoryLostError("the history is no longer kept")
        if status != OK:
            self._raise_error(f"status {status}")
        return _Answer(bytes(body), era)

    async def _read_body(
        self,
        response: ClientResponse,
        body: bytearray,
        timeout: asyncio.Timeout,
        timeout_s: float,
    ) -> None:
        """Append to `body`; each piece extends the timeout, as links may be slow."""
        loop = asyncio.get_running_loop()
        latest_s = loop.time() + timeout_s
        async for chunk in response.content.iter_any():
            body += chunk
            self.received_s = loop.time()
            if len(body) > ANSWER_LIMIT_BYTES:
                response.close()
                self._raise_unreadable(
                    f"an answer of more than {ANSWER_LIMIT_BYTES} bytes"
                )
            slowest_s = latest_s + len(body) / MIN_BYTES_PER_S
            timeout.reschedule(min(loop.time() + timeout_s, slowest_s))

    def _read_era(self, headers: Mapping[str, str]) -> Era:
        """Return the era of an answer, the last one received if it states none.

        Raise StoreError for an answer of an older era, which was delayed.
        """
        text = first_value(headers, STORE_ERA)
        if text is None:
            return self._era
        if not ERA.fullmatch(text):
            self._raise_unreadable(f"malformed era {text!r}")
        era = int(text)
        if era < self._era:
            self.counts["answers_of_older_eras"] += 1
            self._raise_error(f"an answer of era {era} after one of era {self._era}")
        self._era = era
        return era

    def _get_session(self) -> ClientSession:
        if self._session is None:
            self._session = open_session(TCPConnector(use_dns_cache=False))
        return self._session

    def _raise_error(self, reason: str, cause: Exception | None = None) -> NoReturn:
        self.counts["failed_calls"] += 1
        raise StoreError(reason[:REASON_LIMIT_CHARACTERS]) from cause

    def _raise_unreadable(
        self, reason: str, cause: Exception | None = None
    ) -> NoReturn:
        self.counts["failed_calls"] += 1
        self.counts["unreadable_answers"] += 1
        raise UnreadableAnswerError(reason[:REASON_LIMIT_CHARACTERS]) from cause

    def _decode(self, decode: Callable[[bytes], Page], body: bytes) -> Page:
        try:
            return decode(body)
        except MalformedAnswerError as error:
            self._raise_unreadable(f"malformed answer: {error}", error)
