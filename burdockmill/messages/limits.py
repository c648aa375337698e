"""Define the messages by which hosts share the limit of an upstream."""

from __future__ import annotations

from typing import NamedTuple

from burdockmill.names import DomainId, UpstreamId

# The age reported for a limit that the sender has not heard from the upstream itself.
HEARSAY_AGE_MS = 1e9


class LimitReport(NamedTuple):
    """State what the sender knows of a limit; `limit_per_s` is None if there is none.

    `age_ms` is the time since the upstream's answer that stated it.
    """

    limit_per_s: float | None
    age_ms: float


class TokenRequest(NamedTuple):
    """Request tokens for attempts to one incarnation of an upstream.

    Only the host that allocates the upstream's limit grants any. `asked_ms` is a time
    of the sender's clock, echoed in the grant.
    """

    upstream: UpstreamId
    started_ms: int
    domain: DomainId
    wanted: int
    asked_ms: float
    report: LimitReport


class TokenGrant(NamedTuple):
    """Grant up to the requested tokens; more are expected after `wait_ms`."""

    upstream: UpstreamId
    started_ms: int
    granted: int
    wait_ms: float
    asked_ms: float
    report: LimitReport


class LimitNamed(NamedTuple):
    """Report the first answer by which this host hears of an upstream's limit."""

    upstream: UpstreamId
    started_ms: int


class TokensWanted(NamedTuple):
    """Report that attempts need tokens for an incarnation of a limited upstream."""

    upstream: UpstreamId
    started_ms: int


class TokensChanged(NamedTuple):
    """Report that a request for tokens was granted, refused or not answered."""

    upstream: UpstreamId
    started_ms: int
