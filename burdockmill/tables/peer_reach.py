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
# Hosts that others refer to are kept for this long, and so many of them.
REFERRAL_VALID_MS = 1_200.0
REFERRALS_LIMIT = 16
# A host that declined a request, or did not answer one, gets none for this long.
AVOIDED_MS = 500.0


# The key of the question whether any upstream is reached.
ANY_SERVICE = ""


class QuerySeries(NamedTuple):
    """Store the first and last time of queries repeated in short intervals."""

    first_ms: float
    last_ms: float


class PeerReachRow(NamedTuple):
    """Store a host's report; `round_trip_ms` includes what the host took to answer."""

    host: HostId
    is_available: bool
    heard: frozenset[ServiceId]
    failing: frozenset[ServiceId]
    refusing: frozenset[ServiceId]
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
        self._series_by_service: dict[ServiceId, QuerySeries] = {}
        self._row_by_host: dict[HostId, PeerReachRow] = {}
        self._avoided_until_ms_by_host: dict[HostId, float] = {}
        self._awaited_hosts: set[HostId] = set()
        self._referred_ms_by_host: dict[HostId, float] = {}

    def record(self, host: HostId, report: ReachReport, now_ms: float) -> None:
        """Record a host's answer to a query."""
        self._awaited_hosts.discard(host)
        self._referred_ms_by_host.pop(host, None)
        for referred in report.referrals:
            if referred not in self._row_by_host:
                self._referred_ms_by_host.setdefault(referred, now_ms)
        self._row_by_host[host] = PeerReachRow(
            host,
            report.is_available,
            frozenset(report.heard),
            frozenset(report.failing),
            frozenset(report.refusing),
            max(0.0, now_ms - report.asked_ms),
            now_ms,
        )

    @property
    def awaits_answers(self) -> bool:
        """Return whether hosts that were asked first have not answered yet."""
        return bool(self._awaited_hosts)

    def asked(
        self,
        services: Collection[ServiceId],
        hosts: Collection[HostId],
        now_ms: float,
    ) -> None:
        """Record that hosts were asked if they reach upstreams, and some services."""
        self.asked_ms = now_ms
        if self.asked_since_ms(services, now_ms) is None:
            self._awaited_hosts = set(hosts)
        for service in (ANY_SERVICE, *services):
            first_ms = self.asked_since_ms((service,), now_ms)
            first_ms = now_ms if first_ms is None else first_ms
            self._series_by_service[service] = QuerySeries(first_ms, now_ms)
        for service, series in list(self._series_by_service.items()):
            if now_ms - series.last_ms > REPORT_VALID_MS:
                del self._series_by_service[service]

    def asked_since_ms(
        self, services: Collection[ServiceId], now_ms: float
    ) -> float | None:
        """Return since when hosts are asked for all the services, None if they are not.

        Without services, it is since when they are asked if they reach any upstream.
        """
        since_ms = -math.inf
        for service in services or (ANY_SERVICE,):
            series = self._series_by_service.get(service)
            if series is None or now_ms - series.last_ms > REPORT_VALID_MS:
                return None
            since_ms = max(since_ms, series.first_ms)
        return since_ms

    def referred_hosts(self, now_ms: float) -> list[HostId]:
        """Return the hosts that others referred to lately and that did not report."""
        for host, referred_ms in list(self._referred_ms_by_host.items()):
            if now_ms - referred_ms > REFERRAL_VALID_MS:
                del self._referred_ms_by_host[host]
        return list(self._referred_ms_by_host)[:REFERRALS_LIMIT]

    def referred_since_ms(self, now_ms: float) -> float | None:
        """Return since when others refer to hosts that did not report, or None."""
        hosts = self.referred_hosts(now_ms)
        return min((self._referred_ms_by_host[host] for host in hosts), default=None)

    def is_unreachable(self, host: HostId) -> None:
        """Record that a query did not reach a host."""
        self._awaited_hosts.discard(host)
        self._referred_ms_by_host.pop(host, None)
        self._row_by_host.pop(host, None)

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
