"""Read the catalog from the platform's store."""

from __future__ import annotations

import asyncio
import binascii
from base64 import b64decode
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple, NoReturn
from urllib.parse import urlencode

import msgspec
from aiohttp import ClientError, TCPConnector
from loguru import logger

from burdockmill.clients._session import open_session
from burdockmill.clients.catalog_source import (
    CatalogSource,
    HistoryLostError,
    StoreError,
)
from burdockmill.messages.catalog import CatalogDelta, Departed, Registered
from burdockmill.messages.store_position import StorePosition
from burdockmill.platform.configuration import (
    decode_configuration,
    decode_registration,
    upstream_from_key,
)
from burdockmill.platform.headers import first_value
from burdockmill.platform.wire_names import (
    CONFIGURATION_KEY,
    REGISTRATIONS_PREFIX,
    STORE_ERA,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from aiohttp import ClientResponse, ClientSession

    from burdockmill.forwarding.routes import RoutingTables
    from burdockmill.names import Address, Era, Revision

# Added to a watch's wait for its timeout; a slow store answers within a few hundred
# milliseconds.
WATCH_MARGIN_MS = 1_500.0
# Pages and events hold about a megabyte, or one value of that size in base64.
ANSWER_LIMIT_BYTES = 8 * 1024 * 1024
# An answer that arrives more slowly than this is abandoned.
MIN_BYTES_PER_S = 25_000
OK, NOT_FOUND, GONE = 200, 404, 410
MILLISECONDS_PER_SECOND = 1_000


class _Item(msgspec.Struct, rename="kebab"):
    key: str
    # The store revision of the item's last change.
    rev: int
    value: str = ""
    removed: bool = False


class _Range(msgspec.Struct, rename="kebab"):
    items: list[_Item]
    store_revision: int
    has_more: bool = False


class _Events(msgspec.Struct, rename="kebab"):
    events: list[_Item]
    store_revision: int


class _Answer(NamedTuple):
    """Store the body of a successful answer, and the era that it belongs to."""

    body: bytes
    era: Era


_RANGE_DECODER = msgspec.json.Decoder(_Range)
_EVENTS_DECODER = msgspec.json.Decoder(_Events)


class StoreSource(CatalogSource):
    """Read the configuration and the upstreams' registrations, and watch both."""

    def __init__(self, address: Address) -> None:
        self.counts: Counter[str] = Counter()
        self._address = address
        self._session: ClientSession | None = None
        self._era: Era = 0

    async def read_all(self, timeout_ms: float) -> CatalogDelta:
        """Return the whole catalog; raise StoreError.

        `timeout_ms` bounds the wait for each answer, and for each further piece of it.
        """
        first: StorePosition | None = None
        items: list[_Item] = []
        for prefix in (CONFIGURATION_KEY, REGISTRATIONS_PREFIX):
            after = ""
            while True:
                query = {"prefix": prefix} | ({"after": after} if after else {})
                answer = await self._get("/kv-range", query, timeout_ms)
                page = self._decode(_RANGE_DECODER, answer.body)
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
                        self._raise_error(f"the key {item.key!r} is of another page")
                items.extend(page.items)
                if not page.has_more or not page.items:
                    break
                after = page.items[-1].key
        assert first is not None
        delta = self._build_delta(0, first, items)
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
        response = self._decode(_EVENTS_DECODER, answer.body)
        position = StorePosition(answer.era, response.store_revision)
        return self._build_delta(after.revision, position, response.events)

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
                self._get_session().get(url) as response,
            ):
                await self._read_body(response, body, timeout, timeout_s)
                status = response.status
                headers = response.headers
        except TimeoutError as error:
            self._raise_error(
                f"no answer within {timeout_s:.1f} s, {len(body)} bytes received",
                error,
            )
        except (ClientError, OSError) as error:
            self._raise_error(f"{type(error).__name__}: {error}", error)
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
            if len(body) > ANSWER_LIMIT_BYTES:
                response.close()
                self._raise_error(f"an answer of more than {ANSWER_LIMIT_BYTES} bytes")
            slowest_s = latest_s + len(body) / MIN_BYTES_PER_S
            timeout.reschedule(min(loop.time() + timeout_s, slowest_s))

    def _read_era(self, headers: Mapping[str, str]) -> Era:
        """Return the era of an answer, the last one received if it states none.

        Raise StoreError for an answer of an older era, which was delayed.
        """
        text = first_value(headers, STORE_ERA)
        if text is None:
            return self._era
        if not (text.isascii() and text.isdigit()):
            self._raise_error(f"malformed era {text!r}")
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
        raise StoreError(reason) from cause

    def _decode(self, decoder: msgspec.json.Decoder, body: bytes) -> Any:  # noqa: ANN401
        try:
            return decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeError) as error:
            self._raise_error(f"malformed answer: {error}", error)

    def _build_delta(
        self, base: Revision, position: StorePosition, items: Iterable[_Item]
    ) -> CatalogDelta:
        tables: RoutingTables | None = None
        tables_revision: Revision = 0
        change_by_key: dict[str, Registered | Departed] = {}
        for item in items:
            if item.key == CONFIGURATION_KEY and not item.removed:
                newer = self._decode_tables(item)
                if newer is not None:
                    tables, tables_revision = newer, item.rev
            elif item.key.startswith(REGISTRATIONS_PREFIX):
                change_by_key[item.key] = self._decode_change(item)
        changes = change_by_key.values()
        return CatalogDelta(
            base,
            position.revision,
            tables_revision,
            tables,
            tuple(change for change in changes if isinstance(change, Registered)),
            tuple(change for change in changes if isinstance(change, Departed)),
            era=position.era,
        )

    def _decode_tables(self, item: _Item) -> RoutingTables | None:
        try:
            return decode_configuration(_decode_value(item))
        except (msgspec.MsgspecError, ValueError) as error:
            self.counts["malformed_configurations"] += 1
            logger.error(
                "store: the configuration of revision {} is malformed ({}); "
                "the last valid one stays active.",
                item.rev,
                error,
            )
            return None

    def _decode_change(self, item: _Item) -> Registered | Departed:
        departed = Departed(item.rev, upstream_from_key(item.key))
        if item.removed:
            return departed
        try:
            registration = decode_registration(item.key, _decode_value(item))
        except ValueError:
            registration = None
        if registration is None:
            self.counts["malformed_registrations"] += 1
            logger.warning(
                "store: the registration {} of revision {} is malformed; "
                "it counts as removed.",
                item.key,
                item.rev,
            )
            return departed
        return Registered(item.rev, registration)


def _decode_value(item: _Item) -> bytes:
    """Return the decoded value of an item; raise ValueError."""
    try:
        return b64decode(item.value, validate=True)
    except binascii.Error as error:
        raise ValueError("the value is not base64") from error
