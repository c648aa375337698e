"""Decode requests of clients and encode their responses for the platform."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
from aiohttp import hdrs, web
from loguru import logger
from multidict import CIMultiDict

from burdockmill.errors import BadRequestError
from burdockmill.forwarding.codecs import IngressCodec
from burdockmill.forwarding.field_values import is_sendable
from burdockmill.forwarding.messages import (
    ForwardedRequest,
    MergedAnswer,
    UpstreamAnswer,
)
from burdockmill.platform.headers import end_to_end
from burdockmill.platform.wire_names import (
    AUTHORIZATION,
    DEADLINE_MS,
    EXPECT_UPSTREAM,
    PART_STAMPS,
    PARTS_MISSING,
    REQUEST_ID,
)
from burdockmill.surfaces.body import read_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.errors import BurdockmillError
    from burdockmill.names import RequestId

MILLISECONDS_PER_SECOND = 1_000
REPLACED_HEADERS = frozenset({DEADLINE_MS.lower(), EXPECT_UPSTREAM.lower()})
# How many one-way network delays pass before a request arrives: a new connection costs
# the client a round trip before it sends its request.
NEW_CONNECTION_PATHS = 3
KEPT_CONNECTION_PATHS = 1


class PlatformIngressCodec(IngressCodec):
    """Decode requests and encode responses with the platform's headers."""

    def __init__(self, client_path_ms: float, body_limit: Callable[[], int]) -> None:
        self._client_path_ms = client_path_ms
        self._body_limit = body_limit

    async def read(self, request: web.BaseRequest, now_ms: float) -> ForwardedRequest:
        """Return a request with its whole body.

        Raise a BurdockmillError if the request id is missing or cannot be sent on, the
        deadline is not a number, or the body is too large.
        """
        headers = request.headers
        request_id = headers.get(REQUEST_ID, "")
        if not request_id:
            raise BadRequestError(f"The header {REQUEST_ID} is missing.")
        for name in (REQUEST_ID, hdrs.HOST):
            if not is_sendable(headers.get(name, "")):
                raise BadRequestError(f"The header {name} is not UTF-8.")
        unsendable: list[str] = []
        forwarded = end_to_end(headers, unsendable, REPLACED_HEADERS)
        if unsendable:
            names = ", ".join(unsendable)
            logger.warning("request: {} has unsendable {}.", request_id, names)
        body = b""
        if request.body_exists:
            body = await read_body(request, self._body_limit())
        return ForwardedRequest(
            request_id,
            request.method,
            request.host.partition(":")[0].lower(),
            request.raw_path,
            forwarded,
            body,
            now_ms,
            now_ms + _deadline_ms(headers.get(DEADLINE_MS)),
            self._client_wait_ms(request),
            headers.get(AUTHORIZATION, ""),
        )

    def response(self, result: UpstreamAnswer | MergedAnswer) -> web.Response:
        """Return the response with an upstream's or a merged answer."""
        if isinstance(result, UpstreamAnswer):
            headers = CIMultiDict(result.headers)
            return web.Response(body=result.body, status=result.status, headers=headers)
        headers = CIMultiDict(
            {
                PART_STAMPS: ", ".join(result.stamps),
                PARTS_MISSING: str(result.missing),
            }
        )
        return web.Response(body=result.body, headers=headers)

    def error_response(
        self, error: BurdockmillError, request_id: RequestId
    ) -> web.Response:
        """Return the response for a refused or failed request."""
        response = web.Response(
            body=msgspec.json.encode(error.body(request_id)),
            status=error.status,
            content_type="application/json",
        )
        if error.retry_after_ms is not None:
            seconds = error.retry_after_ms / MILLISECONDS_PER_SECOND
            response.headers["Retry-After"] = f"{seconds:.3f}"
        return response

    def _client_wait_ms(self, request: web.BaseRequest) -> float:
        """Estimate how long the client had waited when its request was received."""
        is_first = request.protocol._request_count <= 1
        paths = NEW_CONNECTION_PATHS if is_first else KEPT_CONNECTION_PATHS
        return self._client_path_ms * paths


def _deadline_ms(text: str | None) -> float:
    """Return the client's deadline in milliseconds from now, infinite if not set."""
    if text is None:
        return math.inf
    try:
        deadline_ms = float(text)
    except ValueError:
        deadline_ms = math.nan
    if math.isnan(deadline_ms):
        raise BadRequestError(f"The header {DEADLINE_MS} is not a number.")
    return max(0.0, deadline_ms)
