"""Define the JSON bodies exchanged with an upstream."""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict

from burdockmill.messages.peer import Hit


class UpstreamSearch(TypedDict):
    """Request a shard's hits: POST /v1/search."""

    request_id: str
    attempt: int
    service: str
    shard: str
    snapshot: int
    slots: list[int]
    limit: int
    query: Any


class UpstreamSearchAnswer(TypedDict):
    """Return a shard's hits; `hit_count` reveals a truncated body."""

    request_id: str
    attempt: int
    shard: str
    snapshot: int
    slots: list[list[int]]
    total: int
    hit_count: int
    hits: list[Hit]
    snapshots: list[int]
    draining: NotRequired[bool]


class UpstreamFetch(TypedDict):
    """Request one record by its key: POST /v1/fetch."""

    request_id: str
    attempt: int
    service: str
    shard: str
    key: str


class UpstreamFetchAnswer(TypedDict):
    """Return a record, or `found` false when the shard holds none."""

    request_id: str
    attempt: int
    shard: str
    key: str
    found: bool
    record: Any
    snapshots: list[int]
    draining: NotRequired[bool]


class UpstreamAction(TypedDict):
    """Request an action, which must not run twice: POST /v1/actions."""

    request_id: str
    attempt: int
    service: str
    shard: str
    key: str
    action: Any


class UpstreamActionAnswer(TypedDict):
    """Confirm that the action ran; `result` is defined by the application."""

    request_id: str
    attempt: int
    shard: str
    key: str
    result: Any
    snapshots: list[int]
    draining: NotRequired[bool]


class UpstreamRefusal(TypedDict):
    """Refuse an attempt before anything ran, with status 503, 409 or 410."""

    request_id: str
    attempt: int
    kind: str
    ran: bool
    retry_after_ms: NotRequired[int]
    snapshots: list[int]
    draining: NotRequired[bool]


class UpstreamCancel(TypedDict):
    """Request the cancellation of an attempt, best effort: POST /v1/cancel."""

    request_id: str
    attempt: int


class UpstreamHealth(TypedDict):
    """Report an upstream's state: GET /v1/health."""

    status: str
    draining: bool
    incarnation: str
    snapshots: list[int]


class UpstreamLoad(TypedDict):
    """Report the load of an upstream: GET /v1/load."""

    slots: int
    busy: int
    queued: int
