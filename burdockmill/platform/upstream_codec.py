"""Encode attempts for the platform's upstreams and decode their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict

from burdockmill.forwarding.codecs import UpstreamCodec
from burdockmill.forwarding.messages import (
    AttemptEnd,
    AttemptOutcome,
    ForwardedRequest,
    Registration,
    UpstreamAnswer,
)
from burdockmill.platform.headers import end_to_end
from burdockmill.platform.wire_names import (
    DEADLINE_MS,
    EXPECT_UPSTREAM,
    NOT_RUN,
    REQUEST_ID,
    STAMP,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockmill.clients.no_retry_session import HttpResponse

OK_STATUSES = range(200, 300)
MISDIRECTED = 421
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
