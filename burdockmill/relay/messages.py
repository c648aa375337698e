"""Define a request that is handed over to another host, and the reply to it.

Each is a line of JSON, followed by the bytes of the body as they are.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from burdockmill.clients.no_retry_session import FINAL_STATUSES
from burdockmill.errors import BadRequestError, BurdockmillError, Ran
from burdockmill.forwarding.field_values import is_sendable
from burdockmill.forwarding.messages import Headers, MergedAnswer, UpstreamAnswer
from burdockmill.messages.tolerant_decoder import TolerantDecoder
from burdockmill.names import HostId, RequestId

if TYPE_CHECKING:
    from burdockmill.forwarding.messages import ForwardedRequest

Result = UpstreamAnswer | MergedAnswer | BurdockmillError

RELAY_PATH = "/peer/v1/requests"
PEER_KEY_HEADER = "Peer-Key"
# Tells the entry that its request was taken over; an answer follows.
CONFIRMATION = b"HTTP/1.1 102 Processing\r\n\r\n"
# How long a request waited for its connection, in milliseconds.
WAITED_HEADER = "Waited-Ms"


class RelayedRequest(NamedTuple):
    """Carry a client's request, without its body, to the host that is to run it.

    `remaining_ms` is left until the reply has to be on its way, and `spent_ms` is what
    the client waits beyond the time that the receiver takes. `attempts_limit` is how
    many upstreams may still run each part. `is_counted` is whether the entry has
    counted the request for the repeat budgets. `version` is of the entry's
    configuration. `confirms` is whether the entry waits for a word that the request was
    taken over.
    """

    entry: HostId
    version: int
    request_id: RequestId
    method: str
    host: str
    target: str
    headers: Headers
    caller: str
    remaining_ms: float
    spent_ms: float
    attempts_limit: int
    is_counted: bool
    confirms: bool = False


class ReplyKind(StrEnum):
    """Enumerate the replies to a request that was handed over."""

    ANSWER = "answer"
    MERGED = "merged"
    ERROR = "error"
    DECLINED = "declined"


class CatalogVersion(NamedTuple):
    """State the catalog of the host that replies."""

    version: int
    era: int
    revision: int


class RelayReply(NamedTuple):
    """Carry the result of a request without its body, or why it was not run at all.

    `stamps` are one for an upstream's answer, else one for each merged part. `detail`
    is the error's message, or the reason for declining.
    """

    kind: ReplyKind
    catalog: CatalogVersion
    status: int = 200
    headers: Headers = ()
    stamps: tuple[str, ...] = ()
    missing: int = 0
    error_kind: str = ""
    detail: str = ""
    remedy: str = ""
    ran: Ran = Ran.NO
    retry_after_ms: int | None = None


# A malformed value is quoted up to this many characters.
QUOTED_CHARACTERS = 40
RETRY_AFTER_LIMIT_MS = 86_400_000
_STAMPED = frozenset({ReplyKind.ANSWER, ReplyKind.MERGED})

_REQUEST_DECODER = TolerantDecoder(RelayedRequest)
_REPLY_DECODER = TolerantDecoder(RelayReply)


def encode(head: RelayedRequest | RelayReply, body: bytes) -> bytes:
    """Return the bytes that carry a request or a reply with its body."""
    return msgspec.json.encode(head) + b"\n" + body


def decode_request(data: bytes) -> tuple[RelayedRequest, bytes]:
    """Return a request and its body; raise BadRequestError if it is malformed."""
    head, _, body = data.partition(b"\n")
    try:
        request = _REQUEST_DECODER.decode(head)
        _check_sendable(request.request_id, request.method)
        _check_headers(request.headers)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise BadRequestError(f"The relayed request is malformed: {error}.") from error
    return request, body


def decode_reply(data: bytes) -> tuple[RelayReply, bytes]:
    """Return a reply and its body; raise msgspec.MsgspecError if it is malformed."""
    head, _, body = data.partition(b"\n")
    try:
        reply = _REPLY_DECODER.decode(head)
    except (UnicodeError, RecursionError) as error:
        raise msgspec.DecodeError(str(error)) from error
    _check_headers(reply.headers)
    _check_sendable(*reply.stamps)
    if reply.kind in _STAMPED and not (reply.stamps and all(reply.stamps)):
        raise msgspec.ValidationError("an answer has no stamp")
    if reply.kind is ReplyKind.ANSWER and reply.status not in FINAL_STATUSES:
        raise msgspec.ValidationError(f"{reply.status} is no answer's status")
    if not 0 <= (reply.retry_after_ms or 0) <= RETRY_AFTER_LIMIT_MS:
        raise msgspec.ValidationError("the time to retry after is out of range")
    return reply, body


def relayed_request(
    request: ForwardedRequest, entry: HostId, version: int
) -> RelayedRequest:
    """Return a client's request as its entry hands it over, without its limits."""
    return RelayedRequest(
        entry,
        version,
        request.request_id,
        request.method,
        request.host,
        request.target,
        _plain(request.headers),
        request.caller,
        remaining_ms=0.0,
        spent_ms=0.0,
        attempts_limit=1,
        is_counted=False,
    )


def reply_of(result: Result, catalog: CatalogVersion) -> tuple[RelayReply, bytes]:
    """Return the reply that carries a result, and its body."""
    match result:
        case UpstreamAnswer():
            reply = RelayReply(
                ReplyKind.ANSWER,
                catalog,
                result.status,
                _plain(result.headers),
                stamps=(result.stamp,),
            )
            return reply, result.body
        case MergedAnswer():
            reply = RelayReply(
                ReplyKind.MERGED,
                catalog,
                stamps=result.stamps,
                missing=result.missing,
            )
            return reply, result.body
    reply = RelayReply(
        ReplyKind.ERROR,
        catalog,
        result.status,
        error_kind=result.kind,
        detail=result.message,
        remedy=result.remedy_text,
        ran=result.ran,
        retry_after_ms=result.retry_after_ms,
    )
    return reply, b""


def result_of(reply: RelayReply, body: bytes) -> Result | None:
    """Return the result that a reply carries, or None if the request was declined."""
    match reply.kind:
        case ReplyKind.ANSWER:
            stamp = reply.stamps[0] if reply.stamps else ""
            return UpstreamAnswer(reply.status, reply.headers, body, stamp)
        case ReplyKind.MERGED:
            return MergedAnswer(body, reply.stamps, reply.missing)
        case ReplyKind.ERROR:
            error = _error_class(reply.error_kind)
            return error(
                reply.detail,
                remedy=reply.remedy,
                ran=reply.ran,
                retry_after_ms=reply.retry_after_ms,
            )
    return None


def _plain(headers: Headers) -> Headers:
    """Return headers as plain strings; their names may be of a subclass of str."""
    return tuple((str(name), str(value)) for name, value in headers)


def _check_headers(headers: Headers) -> None:
    for name, value in headers:
        _check_sendable(name, value)


def _check_sendable(*values: str) -> None:
    """Raise msgspec.ValidationError if a value cannot be sent in a head."""
    for value in values:
        if not is_sendable(value):
            raise msgspec.ValidationError(f"{value[:QUOTED_CHARACTERS]!r} is no value")


def _error_class(kind: str) -> type[BurdockmillError]:
    classes: list[type[BurdockmillError]] = [BurdockmillError]
    for one in classes:
        if one.kind == kind:
            return one
        classes.extend(one.__subclasses__())
    return BurdockmillError
