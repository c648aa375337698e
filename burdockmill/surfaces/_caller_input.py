"""Authenticate callers and validate their requests."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
from typing import TYPE_CHECKING, NamedTuple, TypeVar

import msgspec

from burdockmill.errors import (
    BadDeadlineError,
    BadRequestError,
    NotAllowedError,
    NotReadyError,
    SlowRequestError,
    UnknownCallerError,
    UnknownServiceError,
)
from burdockmill.surfaces._json_depth import nests_deeper_than
from burdockmill.surfaces.body import read_body

if TYPE_CHECKING:
    from aiohttp import web

    from burdockmill.names import CallerId, ServiceId
    from burdockmill.rules.model import RequestKind, RuleSet, ServiceRule
    from burdockmill.surfaces.gateway import Gateway

Value = TypeVar("Value", int, str)

BEARER = "Bearer "
DEADLINE_HEADER = "Deadline-Ms"
DEADLINE_LIMIT_MS = 60_000
DEADLINE_MAX_DIGITS = 5
KEY_LIMIT_BYTES = 512
DEFAULT_HITS_LIMIT = 100
MILLISECONDS_PER_SECOND = 1_000


class SearchInput(NamedTuple):
    """Store the validated body of a search."""

    query: msgspec.Raw
    limit: int


class ActionInput(NamedTuple):
    """Store the validated body of an action."""

    key: str
    action: msgspec.Raw


def authenticate(gateway: Gateway, request: web.Request) -> CallerId:
    """Return the caller of the bearer key; raise UnknownCallerError."""
    rules = active_rules(gateway)
    header = request.headers.get("Authorization", "")
    if not header.startswith(BEARER):
        raise UnknownCallerError("The request has no bearer key.")
    key = header.removeprefix(BEARER).encode(errors="surrogateescape")
    digest = hashlib.sha256(key).hexdigest()
    rule = rules.caller_by_digest.get(digest)
    if rule is None or not hmac.compare_digest(rule.key_digest, digest):
        raise UnknownCallerError("No caller rule matches this key.")
    return rule.name


def authorize(
    rules: RuleSet, caller: CallerId, service: ServiceId, kind: RequestKind
) -> ServiceRule:
    """Return the service's rule; raise UnknownServiceError or NotAllowedError."""
    rule = rules.service_by_name.get(service)
    if rule is None:
        raise UnknownServiceError(f"There is no service '{service}'.")
    allow = rules.allow_by_caller_service.get((caller, service))
    if allow is None or kind not in allow.kinds:
        raise NotAllowedError(
            f"'{caller}' is not allowed to use {kind} on '{service}'."
        )
    return rule


def active_rules(gateway: Gateway) -> RuleSet:
    """Return the active rules; raise NotReadyError if there are none yet."""
    rules = gateway.rules
    if rules is None:
        raise NotReadyError("No configuration is active yet.")
    return rules


def read_deadline_ms(request: web.Request, default_ms: int) -> int:
    """Return the time limit of the header, or the default; raise BadDeadlineError."""
    values = request.headers.getall(DEADLINE_HEADER, [])
    if not values:
        return default_ms
    text = values[0].strip()
    is_valid = text.isascii() and text.isdigit() and len(text) <= DEADLINE_MAX_DIGITS
    if len(values) > 1 or not is_valid:
        raise BadDeadlineError(f"{DEADLINE_HEADER} is not a single whole number.")
    if not 1 <= int(text) <= DEADLINE_LIMIT_MS:
        raise BadDeadlineError(f"{DEADLINE_HEADER} {text} is out of range.")
    return int(text)


async def read_search(
    gateway: Gateway, request: web.Request, remaining_ms: float
) -> SearchInput:
    """Return the validated body of a search.

    Raise BadRequestError, BodyTooLargeError, or SlowRequestError after `remaining_ms`.
    """
    fields = await _read_fields(gateway, request, remaining_ms, {"query"}, {"limit"})
    hits_limit = gateway.settings.hits_limit
    limit = min(DEFAULT_HITS_LIMIT, hits_limit)
    if "limit" in fields:
        limit = _convert(fields["limit"], int, "limit")
    if not 1 <= limit <= hits_limit:
        raise BadRequestError(
            f"'limit' is {limit}.",
            remedy=f"Send a limit from 1 to {hits_limit}.",
        )
    return SearchInput(fields["query"], limit)


async def read_action(
    gateway: Gateway, request: web.Request, remaining_ms: float
) -> ActionInput:
    """Return the validated body of an action; raise the errors of `read_search`."""
    required = {"key", "action"}
    fields = await _read_fields(gateway, request, remaining_ms, required, set())
    key = check_key(_convert(fields["key"], str, "key"))
    return ActionInput(key, fields["action"])


async def read_ticket_key(
    gateway: Gateway, request: web.Request, remaining_ms: float
) -> str:
    """Return the record key of a ticket request; raise the errors of `read_search`."""
    fields = await _read_fields(gateway, request, remaining_ms, {"key"}, set())
    return check_key(_convert(fields["key"], str, "key"))


def check_key(key: str) -> str:
    """Return the record key if it is valid; raise BadRequestError."""
    size = len(key.encode(errors="surrogateescape"))
    if not 1 <= size <= KEY_LIMIT_BYTES or not key.isprintable():
        raise BadRequestError(
            "The record key is empty, too long or not printable.",
            remedy=f"Send a printable key of 1 to {KEY_LIMIT_BYTES} bytes.",
        )
    return key


async def _read_body(
    request: web.Request, remaining_ms: float, limit_bytes: int
) -> bytes:
    try:
        async with asyncio.timeout(remaining_ms / MILLISECONDS_PER_SECOND):
            return await read_body(request, limit_bytes)
    except TimeoutError as error:
        message = "The body did not arrive within the deadline."
        raise SlowRequestError(message) from error


async def _read_fields(
    gateway: Gateway,
    request: web.Request,
    remaining_ms: float,
    required: set[str],
    optional: set[str],
) -> dict[str, msgspec.Raw]:
    limit_bytes = gateway.settings.body_limit_bytes
    body = await _read_body(request, remaining_ms, limit_bytes)
    depth = gateway.settings.depth_limit
    if nests_deeper_than(body, depth):
        raise BadRequestError(
            f"The body nests deeper than {depth}.",
            remedy=f"Send JSON of at most {depth} levels.",
        )
    fields = _decode_fields(body)
    _check_names(set(fields), required, optional)
    return fields


def _decode_fields(body: bytes) -> dict[str, msgspec.Raw]:
    try:
        # Raw fields are not fully validated, so the whole body is decoded first.
        msgspec.json.decode(body)
        return msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise BadRequestError(
            f"The body is not a JSON object: {error}.",
            remedy="Send a JSON object in UTF-8.",
        ) from error


def _check_names(present: set[str], required: set[str], optional: set[str]) -> None:
    if missing := sorted(required - present):
        raise BadRequestError(f"The body lacks {', '.join(missing)}.")
    if unknown := sorted(present - required - optional):
        raise BadRequestError(f"The body has unknown fields: {', '.join(unknown)}.")


def _convert(raw: msgspec.Raw, expected_type: type[Value], name: str) -> Value:
    try:
        return msgspec.json.decode(raw, type=expected_type)
    except (msgspec.MsgspecError, UnicodeError) as error:
        raise BadRequestError(f"'{name}' is invalid: {error}.") from error
