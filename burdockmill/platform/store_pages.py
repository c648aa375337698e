"""Decode the range pages and the events of the platform's store."""

from __future__ import annotations

import json
from typing import Annotated, TypeVar

import msgspec

from burdockmill.platform.configuration import HIGHEST_NUMBER, describe

Answer = TypeVar("Answer")
_Revision = Annotated[int, msgspec.Meta(ge=0, le=HIGHEST_NUMBER)]


class MalformedAnswerError(Exception):
    """Signal that an answer of the store is not a page of items or events."""


class Item(msgspec.Struct, rename="kebab"):
    """Store an item as it was written, or its removal."""

    key: str
    # The store revision of the item's last change.
    rev: _Revision
    value: str = ""
    removed: bool = False


class RangePage(msgspec.Struct, rename="kebab"):
    """Store a page of a range read."""

    items: list[Item]
    store_revision: _Revision
    has_more: bool = False


class EventsPage(msgspec.Struct, rename="kebab"):
    """Store the events of a watch."""

    events: list[Item]
    store_revision: _Revision


_RANGE_DECODER = msgspec.json.Decoder(RangePage)
_EVENTS_DECODER = msgspec.json.Decoder(EventsPage)


def decode_range(body: bytes) -> RangePage:
    """Return a page of a range read; raise MalformedAnswerError."""
    return _decode(_RANGE_DECODER, RangePage, body)


def decode_events(body: bytes) -> EventsPage:
    """Return the events of a watch; raise MalformedAnswerError."""
    return _decode(_EVENTS_DECODER, EventsPage, body)


def _decode(
    decoder: msgspec.json.Decoder[Answer], answer_type: type[Answer], body: bytes
) -> Answer:
    try:
        return decoder.decode(body)
    except Exception as error:
        # Which errors a decoder raises depends on the bytes.
        try:
            # A key may hold half of a surrogate pair, which msgspec refuses.
            return msgspec.convert(json.loads(body.decode()), answer_type)
        except Exception:
            raise MalformedAnswerError(describe(error)) from error
