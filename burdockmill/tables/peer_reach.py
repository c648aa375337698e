"""Store which upstreams other hosts reach, as they reported lately."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

    from burdockmill.messages.reach import ReachReport
    from burdockmill.names import HostId, ServiceId

# A report is used for this long; it is refreshed more often while it is needed.
REPORT_VALID_MS = 1_200.0
# A host that declined a request, or did not answer one, gets none for this long.
AVOIDED_MS = 500.0


class PeerReachRow(NamedTuple):
    """Store a host's report; `round_trip_ms` includes what the host took to answer."""

    host: HostId
    is_available: bool
    heard: frozenset[ServiceId]
    failing: frozenset[ServiceId]
    round_trip_ms: float
    received_ms: float

    def reaches(self, services: Collection[ServiceId], needs_proof: bool) -> bool:
        """Return whether the host can serve the services, as far as it knows.

        With `needs_proof` it must have heard from each of them lately.
        """
        if not self.is_available or not self.failing.isdisjoint(services):
            return False
        return not needs_proof or self.heard.issuperset(services)


class PeerReach:
    """Store the latest report of each host; times in milliseconds."""

    def __init__(self) -> None:
        self.asked_ms = -math.inf
        self._asked_ms_by_service: dict[ServiceId, float] = {}
        self._row_by_host: dict[HostId, PeerReachRow] = {}
        self._avoided_until_ms_by_host: dict[HostId, float] = {}

    def record(self, host: HostId, report: ReachReport, now_ms: float) -> None:
        """Record a host's answer to a query."""
        self._row_by_host[host] = PeerReachRow(
            host,
            report.is_available,
            frozenset(report.heard),
            frozenset(report.failing),
            max(0.0, now_ms - report.asked_ms),
            now_ms,
        )

    def asked(self, services: Collection[ServiceId], now_ms: float) -> None:
        """Record that hosts were asked for some services, and if they reach any."""
        self.asked_ms = now_ms
        self._asked_ms_by_service = {
            service: asked_ms
            for service, asked_ms in self._asked_ms_by_service.items()
            if now_ms - asked_ms <= REPORT_VALID_MS
        }
        for service in services:
            self._asked_ms_by_service[service] = now_ms

    def asked_ms_for(
        self, services: Collection[ServiceId], now_ms: float
    ) -> float | None:
        """Return when hosts were last asked for all the services; None if long ago."""
        asked_ms = min(
            (self._asked_ms_by_service.get(one, -math.inf) for one in services),
            default=self.asked_ms,
        )
        return None if now_ms - asked_ms > REPORT_VALID_MS else asked_ms

    def has_answer_since(self, asked_ms: float, now_ms: float) -> bool:
        """Return whether any host has answered a query of that time or a later one."""
        return any(row.received_ms >= asked_ms for row in self.rows(now_ms))

    def avoid(self, host: HostId, now_ms: float) -> None:
        """Use a host no more for a while, since it did not serve a request."""
        self._avoided_until_ms_by_host[host] = now_ms + AVOIDED_MS

    def rows(self, now_ms: float) -> list[PeerReachRow]:
        """Return the valid reports; discard the others."""
        for host in list(self._row_by_host):
            if now_ms - self._row_by_host[host].received_ms > REPORT_VALID_MS:
                del self._row_by_host[host]
                self._avoided_until_ms_by_host.pop(host, None)
        return list(self._row_by_host.values())

    def usable_rows(self, now_ms: float) -> list[PeerReachRow]:
        """Return the valid reports of hosts that are not avoided."""
        return [
            row
            for row in self.rows(now_ms)
            if now_ms >= self._avoided_until_ms_by_host.get(row.host, now_ms)
        ]
