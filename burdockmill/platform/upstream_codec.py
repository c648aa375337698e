"""Encode attempts for the platform's upstreams and decode their responses."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from loguru import logger
from multidict import CIMultiDict

from burdockmill.forwarding.codecs import UpstreamCodec
from burdockmill.forwarding.messages import (
    AttemptEnd,
    AttemptOutcome,
    ForwardedRequest,
    Registration,
    UpstreamAnswer,
)
from burdockmill.platform.headers import end_to_end, first_value
from burdockmill.platform.wire_names import (
    DEADLINE_MS,
    EXPECT_UPSTREAM,
    LEAVING,
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    STAMP,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockmill.clients.no_retry_session import HttpResponse

OK_STATUSES = range(200, 300)
MISDIRECTED = 421
UNAVAILABLE = 503
LEAVING_VALUE = "1"
MILLISECONDS_PER_SECOND = 1_000.0
# A longer pause is taken for a fault of the upstream.
PAUSE_LIMIT_MS = 600_000.0
MIN_DEADLINE_MS = 1


class PlatformUpstreamCodec(UpstreamCodec):
    """Encode each attempt for one incarnation of an upstream."""

    def headers(
        self, request: ForwardedRequest, upstream: Registration, remaining_ms: float
    ) -> CIMultiDict[str]:
        """Return the headers of an attempt; its deadline is `remaining_ms` from now."""
        headers = CIMultiDict(request.headers)
        headers[DEADLINE_MS] = str(max(MIN_DEADLINE_MS, int(remaining_ms)))
        headers[EXPECT_UPSTREAM] = upstream.upstream
        if request.body or request.method not in ("GET", "HEAD"):
            headers["Content-Length"] = str(len(request.body))
        return headers

    def belongs_to(self, request: ForwardedRequest, headers: Mapping[str, str]) -> bool:
        """Return whether response headers contain this request's id, or no id."""
        return headers.get(REQUEST_ID, request.request_id) == request.request_id

    def outcome(self, exchanged: HttpResponse) -> AttemptOutcome:
        """Return the outcome of an attempt from its complete response."""
        outcome = _decode_end(exchanged)
        if outcome.end is AttemptEnd.WRONG_INSTANCE:
            # Another upstream answered; what it says of itself is not of this one.
            return outcome
        headers = exchanged.headers
        return outcome._replace(
            is_leaving=first_value(headers, LEAVING) == LEAVING_VALUE,
            pause_ms=_decode_pause_ms(exchanged),
        )


def _decode_end(exchanged: HttpResponse) -> AttemptOutcome:
    headers = exchanged.headers
    status = exchanged.status
    detail = f"status {status}"
    if status == MISDIRECTED:
        return AttemptOutcome(AttemptEnd.WRONG_INSTANCE, detail=detail)
    if NOT_RUN in headers:
        return AttemptOutcome(AttemptEnd.NOT_RUN, detail=detail)
    stamp = headers.get(STAMP, "")
    if "Content-Encoding" in headers or not stamp:
        return AttemptOutcome(AttemptEnd.WRONG_ANSWER, detail=detail)
    answer = UpstreamAnswer(status, end_to_end(headers), exchanged.body, stamp)
    end = AttemptEnd.ANSWERED
    if status not in OK_STATUSES:
        end = AttemptEnd.UPSTREAM_ERROR
    return AttemptOutcome(end, answer, detail)


def _decode_pause_ms(exchanged: HttpResponse) -> float | None:
    """Return for how long the upstream wants no requests; None if it does not say."""
    text = exchanged.headers.get(RETRY_AFTER)
    if exchanged.status != UNAVAILABLE or text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not seconds >= 0.0:
        logger.warning("upstream: {} {!r} is not a time; ignored.", RETRY_AFTER, text)
        return None
    return min(seconds * MILLISECONDS_PER_SECOND, PAUSE_LIMIT_MS)
