"""Decode batches of other hosts, which may be of an earlier or a later build."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, cast

import msgspec

from burdockmill.errors import BadRequestError
from burdockmill.messages.batch import FIELD_BY_TYPE
from burdockmill.messages.peer import PeerBatch
from burdockmill.messages.tolerant_decoder import TolerantDecoder

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

_MALFORMED = (msgspec.MsgspecError, UnicodeError, RecursionError)
_BATCH_DECODER = msgspec.json.Decoder(PeerBatch)
_FIELDS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
_SENDER_DECODER = msgspec.json.Decoder(str)
_ITEMS_DECODER = msgspec.json.Decoder(list[msgspec.Raw])
_DECODER_BY_FIELD: dict[str, TolerantDecoder[Any]] = {
    field: TolerantDecoder(message_type)
    for message_type, field in FIELD_BY_TYPE.items()
}


# Hosts send 256 at most.
MESSAGES_LIMIT = 4_096


class DecodedBatch(NamedTuple):
    """Store the messages of a batch that could be decoded.

    `put_aside` are the indexes of all others by their field, `cause` is why the first
    of them could not be decoded.
    """

    batch: PeerBatch
    put_aside: dict[str, list[int]]
    cause: str = ""


def decode_batch(body: bytes) -> DecodedBatch:
    """Return the messages of a batch; raise BadRequestError if it is none.

    That is also one of more than MESSAGES_LIMIT messages.
    """
    try:
        batch = _BATCH_DECODER.decode(body)
    except _MALFORMED:
        return _named(_decode_each(body))
    _check_count(cast("dict[str, list[Any]]", batch))
    return _named(DecodedBatch(batch, {}))


def _decode_each(body: bytes) -> DecodedBatch:
    """Decode each message of a batch by itself."""
    batch: dict[str, Any] = {}
    put_aside: dict[str, list[int]] = {}
    cause = ""
    try:
        fields = _FIELDS_DECODER.decode(body)
        if "sender" in fields:
            batch["sender"] = _SENDER_DECODER.decode(fields["sender"])
    except _MALFORMED as error:
        raise BadRequestError(f"The batch is malformed: {error}.") from error
    items_by_field = {field: _items(fields.get(field)) for field in _DECODER_BY_FIELD}
    _check_count(items_by_field)
    for field, items in items_by_field.items():
        for index, item in enumerate(items):
            try:
                decoded = _DECODER_BY_FIELD[field].decode(item)
                batch.setdefault(field, []).append(decoded)
            except _MALFORMED as error:
                put_aside.setdefault(field, []).append(index)
                cause = cause or f"{field}: {error}"
    return DecodedBatch(cast("PeerBatch", batch), put_aside, cause)


def _items(data: msgspec.Raw | None) -> list[msgspec.Raw]:
    """Return the messages of a field; a field that is no list counts as one."""
    if data is None:
        return []
    try:
        return _ITEMS_DECODER.decode(data)
    except _MALFORMED:
        return [data]


def _check_count(items_by_field: Mapping[str, Sequence[Any]]) -> None:
    count = sum(len(items_by_field.get(field, ())) for field in _DECODER_BY_FIELD)
    if count > MESSAGES_LIMIT:
        raise BadRequestError(f"The batch has more than {MESSAGES_LIMIT} messages.")


def _named(decoded: DecodedBatch) -> DecodedBatch:
    if not decoded.batch.get("sender"):
        raise BadRequestError("The batch has no sender.")
    return decoded
