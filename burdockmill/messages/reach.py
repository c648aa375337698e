"""Define how hosts tell each other which upstreams they reach."""

from __future__ import annotations

from typing import NamedTuple

from burdockmill.names import HostId, ServiceId


class ReachQuery(NamedTuple):
    """Ask a host whether it reaches upstreams, and those of some services.

    It is to have heard from them within `failing_ms`, since when the sender does not
    reach them. `asked_ms` is a time of the sender's clock, echoed in the report.
    """

    services: tuple[ServiceId, ...]
    failing_ms: float
    asked_ms: float


class ReachReport(NamedTuple):
    """State whether the sender runs requests of others, and what it reaches.

    `heard` are the services of the query that it heard from as lately as asked for,
    `failing` all those of which every upstream fails to respond to it, `refusing` those
    of which some refuse new connections. A sender that is isolated itself adds
    `referrals`: hosts that reported to it to be available.
    """

    asked_ms: float
    is_available: bool
    heard: tuple[ServiceId, ...]
    failing: tuple[ServiceId, ...]
    refusing: tuple[ServiceId, ...] = ()
    referrals: tuple[HostId, ...] = ()


class ReachWanted(NamedTuple):
    """Report that this host needs to know who reaches some services, or any."""

    services: tuple[ServiceId, ...] = ()


class ReachChanged(NamedTuple):
    """Report that a host has answered which upstreams it reaches."""


class LinkTestWanted(NamedTuple):
    """Report that another host needs fresh evidence of what this host reaches."""

    services: tuple[ServiceId, ...]


class LinksTested(NamedTuple):
    """Report that the tests that `LinkTestWanted` asked for have ended."""
