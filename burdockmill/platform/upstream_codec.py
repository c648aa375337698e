"""Write attempts to the platform's upstreams and read what they answer."""

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

    from burdockmill.clients.write_once_session import Exchanged

OK_STATUSES = range(200, 300)
MISDIRECTED = 421
LEAST_LEFT_MS = 1


class PlatformUpstreamCodec(UpstreamCodec):
    """Address each attempt to one incarnation of an upstream."""

    def headers(
        self, request: ForwardedRequest, upstream: Registration, left_ms: float
    ) -> CIMultiDict[str]:
        """Return the headers of an attempt that has `left_ms` milliseconds left."""
        headers = CIMultiDict(request.headers)
        headers[DEADLINE_MS] = str(max(LEAST_LEFT_MS, int(left_ms)))
        headers[EXPECT_UPSTREAM] = upstream.upstream
        if request.body or request.method not in ("GET", "HEAD"):
            headers["Content-Length"] = str(len(request.body))
        return headers

    def is_own(self, request: ForwardedRequest, headers: Mapping[str, str]) -> bool:
        """Tell whether response headers name this request, or none."""
        return headers.get(REQUEST_ID, request.request_id) == request.request_id

    def outcome(self, exchanged: Exchanged) -> AttemptOutcome:
        """Return what a whole response means."""
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
