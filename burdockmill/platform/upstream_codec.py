"""Encode attempts for the platform's upstreams and decode their responses."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from multidict import CIMultiDict

from burdockmill.forwarding.codecs import UpstreamCodec
from burdockmill.forwarding.messages import (
    AttemptEnd,
    AttemptOutcome,
    ForwardedRequest,
    Ownership,
    Registration,
    StatedLoad,
    UpstreamAnswer,
)
from burdockmill.platform.headers import end_to_end, first_value, values_of
from burdockmill.platform.wire_names import (
    DEADLINE_MS,
    EXPECT_UPSTREAM,
    LEAVING,
    LIMIT,
    LOAD,
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
# Longer numbers are taken for a fault of the upstream.
RATE = re.compile(r"[0-9]{1,12}(?:\.[0-9]{0,12})?", re.ASCII)
# Three or four whole numbers; longer ones are taken for a fault of the upstream.
LOAD_PATTERN = re.compile(r"[0-9]{1,6}(?:[ \t]*,[ \t]*[0-9]{1,6}){2,3}", re.ASCII)
USUAL_PACE = 100.0
# No control characters, spaces, or bytes that are not UTF-8; and no commas, which
# separate the stamps of a search.
STAMP_PATTERN = re.compile(r"[^\x00-\x20,\x7f-\xa0\ud800-\udfff]+")
# A malformed header is quoted in logs up to this many characters.
QUOTED_CHARACTERS = 40


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

    def ownership(
        self, request: ForwardedRequest, headers: Mapping[str, str]
    ) -> Ownership:
        """Return whether response headers contain this request's id."""
        stated = headers.get(REQUEST_ID)
        if stated is None:
            return Ownership.UNSTATED
        return Ownership.OWN if stated == request.request_id else Ownership.OTHER

    def outcome(self, exchanged: HttpResponse) -> AttemptOutcome:
        """Return the outcome of an attempt from its complete response."""
        ignored: list[str] = []
        outcome = _decode_end(exchanged, ignored)
        if outcome.end is AttemptEnd.WRONG_INSTANCE:
            # Another upstream answered; what it says of itself is not of this one.
            return outcome
        headers = exchanged.headers
        return outcome._replace(
            is_leaving=first_value(headers, LEAVING) == LEAVING_VALUE,
            pause_ms=_decode_pause_ms(exchanged, ignored),
            limit_per_s=_decode_limit(headers, ignored),
            load=_decode_load(headers, ignored),
            ignored="; ".join(ignored),
        )


def _decode_end(exchanged: HttpResponse, ignored: list[str]) -> AttemptOutcome:
    headers = exchanged.headers
    status = exchanged.status
    detail = f"status {status}"
    if status == MISDIRECTED:
        return AttemptOutcome(AttemptEnd.WRONG_INSTANCE, detail=detail)
    if NOT_RUN in headers:
        return AttemptOutcome(AttemptEnd.NOT_RUN, detail=detail)
    stamps = values_of(headers, STAMP)
    if len(stamps) != 1 or not STAMP_PATTERN.fullmatch(stamps[0]):
        detail += ", without a valid stamp"
        return AttemptOutcome(AttemptEnd.WRONG_ANSWER, detail=detail)
    if "Content-Encoding" in headers:
        return AttemptOutcome(AttemptEnd.WRONG_ANSWER, detail=detail)
    unsendable: list[str] = []
    forwarded = end_to_end(headers, unsendable)
    ignored.extend(f"{name} cannot be sent on" for name in unsendable)
    answer = UpstreamAnswer(status, forwarded, exchanged.body, stamps[0])
    end = AttemptEnd.ANSWERED
    if status not in OK_STATUSES:
        end = AttemptEnd.UPSTREAM_ERROR
    return AttemptOutcome(end, answer, detail)


def _decode_pause_ms(exchanged: HttpResponse, ignored: list[str]) -> float | None:
    """Return for how long the upstream wants no requests; None if it does not say."""
    text = exchanged.headers.get(RETRY_AFTER)
    if exchanged.status != UNAVAILABLE or text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not seconds >= 0.0:
        ignored.append(f"{RETRY_AFTER} {text[:QUOTED_CHARACTERS]!r} is not a time")
        return None
    return min(seconds * MILLISECONDS_PER_SECOND, PAUSE_LIMIT_MS)


def _decode_limit(headers: Mapping[str, str], ignored: list[str]) -> float | None:
    """Return the lowest limit that an answer names; infinite if it names none.

    None if it names malformed ones alone: these neither set nor end a limit.
    """
    texts = [value for name in LIMIT for value in values_of(headers, name)]
    if not texts:
        return math.inf
    limits = []
    for text in texts:
        if RATE.fullmatch(text):
            limits.append(float(text))
        else:
            ignored.append(f"{LIMIT[0]} {text[:QUOTED_CHARACTERS]!r} is not a rate")
    return min(limits, default=None)


def _decode_load(headers: Mapping[str, str], ignored: list[str]) -> StatedLoad | None:
    """Return the load that an answer states; None if it states none, or malformed."""
    texts = values_of(headers, LOAD)
    if not texts:
        return None
    # A header that occurs twice contradicts itself.
    text = ", ".join(texts).strip(" \t")
    figures = []
    if LOAD_PATTERN.fullmatch(text):
        figures = [int(figure) for figure in text.split(",")]
    # No slots, or a pace of 0, describe no upstream that works.
    if not figures or 0 in figures[2:]:
        ignored.append(f"{LOAD} {text[:QUOTED_CHARACTERS]!r} is not a load")
        return None
    running, waiting, slots, *pace = figures
    return StatedLoad(running, waiting, slots, pace[0] / USUAL_PACE if pace else 1.0)
