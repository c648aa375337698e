"""Encode requests to upstreams and validate their answers."""

from __future__ import annotations

from typing import NoReturn, TypeAlias

import msgspec

from burdockmill.messages.actions import SendToUpstream
from burdockmill.messages.events import UpstreamAnswered, UpstreamRefused
from burdockmill.messages.peer import NO_BODY, Hit, Reason
from burdockmill.messages.upstream import (
    UpstreamAction,
    UpstreamActionAnswer,
    UpstreamFetch,
    UpstreamFetchAnswer,
    UpstreamRefusal,
    UpstreamSearch,
    UpstreamSearchAnswer,
)
from burdockmill.rules.model import RequestKind
from burdockmill.slots import SLOT_COUNT, SlotRange, slot_of, subtract

OK = 200
# A refusal that names a longer time is taken to mean this one.
RETRY_AFTER_LIMIT_MS = 600_000
REFUSAL_STATUSES = frozenset({409, 410, 503})
PATH_BY_KIND = {
    RequestKind.SEARCH: "/v1/search",
    RequestKind.FETCH: "/v1/fetch",
    RequestKind.ACTION: "/v1/actions",
}


class WrongAnswerError(Exception):
    """Signal which part of an answer does not match its request."""

    def __init__(self, part: str) -> None:
        super().__init__(part)
        self.part = part


_SEARCH_DECODER = msgspec.json.Decoder(UpstreamSearchAnswer)
_FETCH_DECODER = msgspec.json.Decoder(UpstreamFetchAnswer)
_ACTION_DECODER = msgspec.json.Decoder(UpstreamActionAnswer)
_REFUSAL_DECODER = msgspec.json.Decoder(UpstreamRefusal)
_RAW_FIELDS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])

_Answer: TypeAlias = UpstreamSearchAnswer | UpstreamFetchAnswer | UpstreamActionAnswer


def encode_request(action: SendToUpstream) -> bytes:
    """Return the JSON body of an attempt."""
    if action.kind is RequestKind.SEARCH:
        return msgspec.json.encode(_search_body(action))
    if action.kind is RequestKind.FETCH:
        return msgspec.json.encode(_fetch_body(action))
    return msgspec.json.encode(_action_body(action))


def read_answer(
    action: SendToUpstream, status: int, body: bytes
) -> UpstreamAnswered | UpstreamRefused:
    """Return the answer or refusal; raise WrongAnswerError if it does not fit."""
    try:
        if status in REFUSAL_STATUSES:
            return _read_refusal(action, body)
        if status != OK:
            _reject("status")
        if action.kind is RequestKind.SEARCH:
            return _read_search(action, body)
        if action.kind is RequestKind.FETCH:
            return _read_fetch(action, body)
        return _read_action(action, body)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise WrongAnswerError("body") from error


def _search_body(action: SendToUpstream) -> UpstreamSearch:
    return UpstreamSearch(
        request_id=action.request_id,
        attempt=action.attempt,
        service=action.service,
        shard=action.shard,
        snapshot=action.snapshot,
        slots=list(action.slots),
        limit=action.limit,
        query=action.body,
    )


def _fetch_body(action: SendToUpstream) -> UpstreamFetch:
    return UpstreamFetch(
        request_id=action.request_id,
        attempt=action.attempt,
        service=action.service,
        shard=action.shard,
        key=action.key,
    )


def _action_body(action: SendToUpstream) -> UpstreamAction:
    return UpstreamAction(
        request_id=action.request_id,
        attempt=action.attempt,
        service=action.service,
        shard=action.shard,
        key=action.key,
        action=action.body,
    )


def _read_refusal(action: SendToUpstream, body: bytes) -> UpstreamRefused:
    refusal = _REFUSAL_DECODER.decode(body)
    _match("request_id", refusal["request_id"], action.request_id)
    _match("attempt", refusal["attempt"], action.attempt)
    _match("ran", refusal["ran"], False)
    return UpstreamRefused(
        request_id=action.request_id,
        attempt=action.attempt,
        upstream=action.upstream,
        reason=_refusal_reason(refusal["kind"]),
        retry_after_ms=_retry_after_ms(refusal),
        snapshots=tuple(refusal["snapshots"]),
        draining=refusal.get("draining", False),
    )


def _retry_after_ms(refusal: UpstreamRefusal) -> int | None:
    stated_ms = refusal.get("retry_after_ms")
    if stated_ms is None:
        return None
    return min(max(0, stated_ms), RETRY_AFTER_LIMIT_MS)


def _refusal_reason(kind: str) -> Reason:
    try:
        reason = Reason(kind)
    except ValueError:
        return Reason.REJECTED
    return reason if reason is not Reason.NONE else Reason.REJECTED


def _read_search(action: SendToUpstream, body: bytes) -> UpstreamAnswered:
    answer = _SEARCH_DECODER.decode(body)
    _match_attempt(action, answer)
    _match("snapshot", answer["snapshot"], action.snapshot)
    _match("hit_count", answer["hit_count"], len(answer["hits"]))
    if answer["total"] < answer["hit_count"]:
        _reject("total")
    covered = _check_slots(action, answer["slots"])
    _check_hits(covered, answer["hits"])
    return _answered(
        action, answer, covered=covered, total=answer["total"], hits=answer["hits"]
    )


def _read_fetch(action: SendToUpstream, body: bytes) -> UpstreamAnswered:
    answer = _FETCH_DECODER.decode(body)
    _match_attempt(action, answer)
    _match("key", answer["key"], action.key)
    return _answered(
        action, answer, body=_raw_field(body, "record"), found=answer["found"]
    )


def _read_action(action: SendToUpstream, body: bytes) -> UpstreamAnswered:
    answer = _ACTION_DECODER.decode(body)
    _match_attempt(action, answer)
    _match("key", answer["key"], action.key)
    return _answered(action, answer, body=_raw_field(body, "result"))


def _answered(
    action: SendToUpstream,
    answer: _Answer,
    *,
    covered: tuple[SlotRange, ...] = (),
    total: int = 0,
    hits: list[Hit] | None = None,
    body: msgspec.Raw = NO_BODY,
    found: bool = True,
) -> UpstreamAnswered:
    return UpstreamAnswered(
        request_id=action.request_id,
        attempt=action.attempt,
        upstream=action.upstream,
        snapshot=action.snapshot,
        covered=covered,
        total=total,
        hits=hits or [],
        body=body,
        found=found,
        snapshots=tuple(answer["snapshots"]),
        draining=answer.get("draining", False),
    )


def _raw_field(body: bytes, name: str) -> msgspec.Raw:
    return _RAW_FIELDS_DECODER.decode(body)[name]


def _match_attempt(action: SendToUpstream, answer: _Answer) -> None:
    _match("request_id", answer["request_id"], action.request_id)
    _match("attempt", answer["attempt"], action.attempt)
    _match("shard", answer["shard"], action.shard)


def _check_slots(
    action: SendToUpstream, pairs: list[list[int]]
) -> tuple[SlotRange, ...]:
    if len(pairs) == 1 and tuple(pairs[0]) == action.slots:
        return (action.slots,)
    if any(len(pair) != 2 for pair in pairs):
        _reject("slots")
    covered = tuple(SlotRange(first, last) for first, last in pairs)
    if any(not 0 <= first <= last < SLOT_COUNT for first, last in covered):
        _reject("slots")
    if subtract(covered, (action.slots,)):
        _reject("slots")
    return covered


def _check_hits(covered: tuple[SlotRange, ...], hits: list[Hit]) -> None:
    for hit in hits:
        slot = slot_of(hit.key)
        for first, last in covered:
            if first <= slot <= last:
                break
        else:
            _reject("hit_slot")


def _match(part: str, actual: object, expected: object) -> None:
    if actual != expected:
        _reject(part)


def _reject(part: str) -> NoReturn:
    raise WrongAnswerError(part)
