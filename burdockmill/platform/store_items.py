"""Turn the items of the platform's store into changes of the catalog."""

from __future__ import annotations

import re
from base64 import b64decode
from collections import OrderedDict
from typing import TYPE_CHECKING

from loguru import logger

from burdockmill.messages.catalog import (
    CatalogDelta,
    Departed,
    Evacuation,
    Registered,
)
from burdockmill.platform.configuration import (
    MalformedValueError,
    decode_configuration,
    decode_registration,
    describe,
    upstream_from_key,
)
from burdockmill.platform.wire_names import (
    CONFIGURATION_KEY,
    EVACUATIONS_PREFIX,
    REGISTRATIONS_PREFIX,
)

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterable

    from burdockmill.forwarding.routes import RoutingTables
    from burdockmill.messages.store_position import StorePosition
    from burdockmill.names import Revision, UpstreamId
    from burdockmill.platform.store_pages import Item

# The store's keys have at most 200 bytes; a longer one is cut in logs.
KEY_LIMIT_CHARACTERS = 200
SET_ASIDE_LIMIT = 256
DOMAIN = re.compile(r"[\x21-\x7e]{1,200}")


class StoreItems:
    """Decode items one by one; set those aside that cannot be read."""

    def __init__(self, counts: Counter[str]) -> None:
        self._counts = counts
        self._reason_by_key: OrderedDict[str, str] = OrderedDict()

    @property
    def reason_by_key(self) -> dict[str, str]:
        """Return why each item is set aside, the latest ones last."""
        return dict(self._reason_by_key)

    def build_delta(
        self, base: Revision, position: StorePosition, items: Iterable[Item]
    ) -> CatalogDelta:
        """Return the changes that the items make to the catalog of a base."""
        tables: RoutingTables | None = None
        tables_revision: Revision = 0
        change_by_key: dict[str, Registered | Departed] = {}
        evacuations: list[Evacuation] = []
        for item in items:
            if item.key == CONFIGURATION_KEY and not item.removed:
                newer = self._decode_tables(item)
                if newer is not None:
                    tables, tables_revision = newer, item.rev
            elif item.key.startswith(EVACUATIONS_PREFIX):
                evacuations += self._decode_evacuation(item)
            elif item.key.startswith(REGISTRATIONS_PREFIX):
                change = self._decode_change(item)
                if change is not None:
                    change_by_key[item.key] = change
        changes = change_by_key.values()
        return CatalogDelta(
            base,
            position.revision,
            tables_revision,
            tables,
            tuple(change for change in changes if isinstance(change, Registered)),
            tuple(change for change in changes if isinstance(change, Departed)),
            era=position.era,
            evacuations=tuple(evacuations),
        )

    def _decode_tables(self, item: Item) -> RoutingTables | None:
        try:
            tables = decode_configuration(_decode_value(item))
        except Exception as error:
            self._counts["malformed_configurations"] += 1
            self._set_aside(item, error, "the last valid configuration stays active")
            return None
        self._reason_by_key.pop(item.key, None)
        return tables

    def _decode_evacuation(self, item: Item) -> list[Evacuation]:
        domain = item.key.removeprefix(EVACUATIONS_PREFIX)
        if not DOMAIN.fullmatch(domain):
            self._counts["malformed_evacuations"] += 1
            error = MalformedValueError("the key names no failure domain")
            self._set_aside(item, error, "it evacuates nothing")
            return []
        return [Evacuation(item.rev, domain, not item.removed)]

    def _decode_change(self, item: Item) -> Registered | Departed | None:
        upstream: UpstreamId | None = None
        try:
            upstream = upstream_from_key(item.key)
            if not item.removed:
                registration = decode_registration(item.key, _decode_value(item))
                self._reason_by_key.pop(item.key, None)
                return Registered(item.rev, registration)
            self._reason_by_key.pop(item.key, None)
        except Exception as error:
            # An entry may hold any bytes, and must not affect the others.
            self._counts["malformed_registrations"] += 1
            self._set_aside(item, error, "it counts as removed")
        return None if upstream is None else Departed(item.rev, upstream)

    def _set_aside(self, item: Item, error: Exception, consequence: str) -> None:
        """Log an item that cannot be read once, until it can be read again."""
        key = item.key[:KEY_LIMIT_CHARACTERS]
        is_known = key in self._reason_by_key
        reason = str(error) if isinstance(error, MalformedValueError) else ""
        reason = reason or describe(error)
        self._reason_by_key[key] = reason
        self._reason_by_key.move_to_end(key)
        if len(self._reason_by_key) > SET_ASIDE_LIMIT:
            self._reason_by_key.popitem(last=False)
        if is_known:
            return
        logger.warning(
            "store: the item {} of revision {} is malformed ({}); {}.",
            key,
            item.rev,
            reason,
            consequence,
        )


def _decode_value(item: Item) -> bytes:
    try:
        return b64decode(item.value, validate=True)
    except ValueError as error:
        raise MalformedValueError("the value is not base64") from error
