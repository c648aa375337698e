"""Decode messages to which a later build has added items."""

from __future__ import annotations

from functools import cache
from types import UnionType
from typing import Generic, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec

Message = TypeVar("Message")

_ITEMS_DECODER = msgspec.json.Decoder(list[msgspec.Raw])


class TolerantDecoder(Generic[Message]):
    """Decode JSON into a NamedTuple; items beyond its fields are ignored."""

    def __init__(self, message_type: type[Message]) -> None:
        self._type = message_type
        self._decoder = msgspec.json.Decoder(message_type)

    def decode(self, data: bytes | msgspec.Raw) -> Message:
        """Return the message; raise msgspec.MsgspecError if it is malformed."""
        try:
            return self._decoder.decode(data)
        except msgspec.ValidationError:
            return self._decoder.decode(_trimmed(bytes(data), self._type))


def _trimmed(data: bytes, kind: object) -> bytes:
    """Return data without the items that NamedTuples in `kind` do not have."""
    item_kinds, is_repeated = _item_kinds(kind)
    if not item_kinds or not data.startswith(b"["):
        return data
    items = _ITEMS_DECODER.decode(data)
    if is_repeated:
        item_kinds *= len(items)
    trimmed = (
        _trimmed(bytes(item), one) for item, one in zip(items, item_kinds, strict=False)
    )
    return b"[" + b",".join(trimmed) + b"]"


@cache
def _item_kinds(kind: object) -> tuple[tuple[object, ...], bool]:
    """Return the types of the items of an array, and whether one is that of all."""
    origin, arguments = get_origin(kind), get_args(kind)
    if origin in (Union, UnionType):
        [kind] = [one for one in arguments if one is not type(None)] or [None]
        return _item_kinds(kind)
    if origin is list or (origin is tuple and arguments[-1] is Ellipsis):
        return arguments[:1], True
    if origin is tuple:
        return arguments, False
    if isinstance(kind, type) and issubclass(kind, tuple):
        return tuple(get_type_hints(kind).values()), False
    return (), False
