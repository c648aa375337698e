"""Ask other hosts which upstreams they reach, while this host does not reach some."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from burdockmill.messages.actions import SendToPeer
from burdockmill.messages.events import PeerReceived, PeerUnreachable
from burdockmill.messages.reach import (
    LinksTested,
    LinkTestWanted,
    ReachChanged,
    ReachQuery,
    ReachReport,
    ReachWanted,
)
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.messages.actions import Action
    from burdockmill.messages.events import Event
    from burdockmill.names import HostId, ServiceId
    from burdockmill.tables.rows import MemberRow
    from burdockmill.world import World

REFRESH, TESTED = "refresh", "tested"
# Reports are refreshed at this interval while requests need them.
REFRESH_MS = 400.0
# Hosts are not asked more often than this.
MIN_INTERVAL_MS = 100.0
# Without a request that needs the reports for this long, they are refreshed no more.
WANTED_MS = 2_000.0
OWN_DOMAIN_HOSTS = 4
OTHER_DOMAIN_HOSTS = 2
# Hosts asked in a round; those that reach upstreams are asked again.
HOSTS_LIMIT = 12
KEPT_HOSTS = 6
REFERRALS_IN_REPORT = 3
SERVICES_LIMIT = 32
# A host that heard from upstreams so lately reaches them, however long the asking host
# has not.
HEARD_LATELY_MS = 1_000.0
# Links without fresh evidence are tested for at most this long before a report is sent.
TEST_LIMIT_MS = 200.0


class ReachSystem(System):
    """Query hosts near and far, and answer their queries."""

    name = "reach"
    handles = (ReachWanted, ReachQuery, ReachReport, LinksTested, PeerUnreachable)

    def __init__(self) -> None:
        self._wanted_ms_by_service: dict[ServiceId, float] = {}
        self._wanted_ms = -math.inf
        self._unanswered: list[tuple[HostId, ReachQuery]] = []

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Answer queries, record reports, and send the queries that are due."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            self._handle(world, event, now_ms, actions)
        for key in world.due(self.name).pop_due(now_ms):
            if key == REFRESH:
                self._refresh(world, now_ms, actions)
            else:
                self._answer_all(world, now_ms, actions)
        return actions

    def _handle(
        self, world: World, event: Event, now_ms: float, actions: list[Action]
    ) -> None:
        match event:
            case ReachWanted(services=services):
                self._want(world, services, now_ms, actions)
            case PeerReceived(message=ReachQuery() as query):
                self._answer(world, event.sender, query, now_ms, actions)
            case LinksTested():
                self._answer_all(world, now_ms, actions)
            case PeerReceived(message=ReachReport() as report):
                self._record(world, event.sender, report, now_ms)
            case PeerUnreachable(message=ReachQuery()):
                world.peer_reach.is_unreachable(event.host)
                world.announce(ReachChanged())

    def _answer(
        self,
        world: World,
        host: HostId,
        query: ReachQuery,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        """Report what this host reaches, after a test if it has no fresh evidence."""
        report = _report(world, query, now_ms)
        is_heard = world.reach.heard_ms >= _fresh_ms(query, now_ms)
        unheard = tuple(one for one in query.services if one not in report.heard)
        is_known = is_heard and not unheard
        if is_known or not _may_become_available(world):
            actions.append(SendToPeer(host, report))
        else:
            if not self._unanswered:
                world.announce(LinkTestWanted(unheard))
                world.due(self.name).schedule(TESTED, now_ms + TEST_LIMIT_MS)
            self._unanswered.append((host, query))

    def _record(
        self, world: World, host: HostId, report: ReachReport, now_ms: float
    ) -> None:
        """Record a report; ask the hosts it refers to soon if none is available yet."""
        peers = world.peer_reach
        referrals = tuple(one for one in report.referrals if one != world.host)
        peers.record(host, report._replace(referrals=referrals), now_ms)
        world.announce(ReachChanged())
        if peers.referred_hosts(now_ms) and not _available_hosts(world, now_ms):
            due_ms = max(now_ms, peers.asked_ms + MIN_INTERVAL_MS)
            world.due(self.name).schedule(REFRESH, due_ms)

    def _answer_all(self, world: World, now_ms: float, actions: list[Action]) -> None:
        """Answer the queries that waited for a test."""
        unanswered, self._unanswered = self._unanswered, []
        world.due(self.name).cancel(TESTED)
        for host, query in unanswered:
            actions.append(SendToPeer(host, _report(world, query, now_ms)))

    def _want(
        self,
        world: World,
        services: tuple[ServiceId, ...],
        now_ms: float,
        actions: list[Action],
    ) -> None:
        is_new = any(one not in self._wanted_ms_by_service for one in services)
        self._wanted_ms = now_ms
        for service in services:
            self._wanted_ms_by_service[service] = now_ms
        waited_ms = now_ms - world.peer_reach.asked_ms
        if waited_ms >= REFRESH_MS or (is_new and waited_ms >= MIN_INTERVAL_MS):
            self._ask(world, now_ms, actions)
        elif is_new:
            due_ms = world.peer_reach.asked_ms + MIN_INTERVAL_MS
            world.due(self.name).schedule(REFRESH, due_ms)

    def _refresh(self, world: World, now_ms: float, actions: list[Action]) -> None:
        for service, wanted_ms in list(self._wanted_ms_by_service.items()):
            if now_ms - wanted_ms > WANTED_MS:
                del self._wanted_ms_by_service[service]
        if world.reach.is_isolated or now_ms - self._wanted_ms <= WANTED_MS:
            self._ask(world, now_ms, actions)

    def _ask(self, world: World, now_ms: float, actions: list[Action]) -> None:
        world.due(self.name).schedule(REFRESH, now_ms + REFRESH_MS)
        registered = world.catalog.registration_by_upstream.values()
        failing = world.reach.failing_services(registered)
        refusing = world.reach.refusing_services(registered, now_ms)
        asked_for = failing | refusing.keys()
        services = tuple(one for one in self._wanted_ms_by_service if one in asked_for)
        services = services[-SERVICES_LIMIT:]
        if not services and not world.reach.is_isolated:
            return
        hosts = _hosts_to_ask(world, now_ms)
        world.peer_reach.asked(services, hosts, now_ms)
        reach = world.reach
        since_ms = reach.failing_since_ms(services)
        if not reach.is_isolated:
            since_ms = max(
                reach.failing_since_ms([one]) if one in failing else refusing[one]
                for one in services
            )
        failing_ms = max(0.0, now_ms - since_ms)
        query = ReachQuery(services, failing_ms, now_ms)
        for host in hosts:
            actions.append(SendToPeer(host, query))
        world.counter_by_name["reach_queries"] += 1


def _report(world: World, query: ReachQuery, now_ms: float) -> ReachReport:
    reach = world.reach
    fresh_ms = _fresh_ms(query, now_ms)
    upstreams_by_service = world.catalog.upstreams_by_service
    heard = tuple(
        service
        for service in query.services
        if any(
            reach.heard_of_ms(upstream) >= fresh_ms
            and not reach.is_failing(upstream)
            and not reach.is_refusing(upstream, now_ms)
            for upstream in upstreams_by_service.get(service, ())
        )
    )
    registered = world.catalog.registration_by_upstream.values()
    failing = tuple(sorted(reach.failing_services(registered)))
    refusing = tuple(sorted(reach.refusing_services(registered, now_ms)))
    is_available = _may_become_available(world) and reach.heard_ms >= fresh_ms
    referrals: tuple[HostId, ...] = ()
    if reach.is_isolated:
        referrals = tuple(_available_hosts(world, now_ms)[:REFERRALS_IN_REPORT])
    return ReachReport(
        query.asked_ms, is_available, heard, failing, refusing, referrals
    )


def _fresh_ms(query: ReachQuery, now_ms: float) -> float:
    """Return the time since when an upstream must have been heard."""
    return now_ms - min(query.failing_ms, HEARD_LATELY_MS)


def _may_become_available(world: World) -> bool:
    is_ready = world.catalog.tables is not None and not world.fleet.leaving
    return is_ready and not world.reach.is_isolated


def _available_hosts(world: World, now_ms: float) -> list[HostId]:
    """Return the hosts that reported lately to be available."""
    return [row.host for row in world.peer_reach.rows(now_ms) if row.is_available]


def _hosts_to_ask(world: World, now_ms: float) -> list[HostId]:
    """Return available hosts, those referred to, and random ones of each domain.

    Room that the domains leave is filled with any others, so that a small fleet is
    asked as a whole.
    """
    chosen = _available_hosts(world, now_ms)[:KEPT_HOSTS]
    for host in world.peer_reach.referred_hosts(now_ms)[: KEPT_HOSTS - len(chosen)]:
        row = world.member_by_host.get(host)
        if row is not None and _may_ask(world, row, chosen):
            chosen.append(host)
    others: list[HostId] = []
    domains = sorted(world.fleet.hosts_by_domain)
    world.rng.shuffle(domains)
    domains.sort(key=lambda domain: domain != world.domain)
    for domain in domains:
        rows = (
            world.member_by_host[one] for one in world.fleet.hosts_by_domain[domain]
        )
        hosts = sorted(row.host for row in rows if _may_ask(world, row, chosen))
        world.rng.shuffle(hosts)
        wanted = OWN_DOMAIN_HOSTS if domain == world.domain else OTHER_DOMAIN_HOSTS
        wanted = min(wanted, HOSTS_LIMIT - len(chosen))
        chosen += hosts[:wanted]
        others += hosts[wanted:]
    world.rng.shuffle(others)
    return chosen + others[: HOSTS_LIMIT - len(chosen)]


def _may_ask(world: World, row: MemberRow, chosen: list[HostId]) -> bool:
    is_serving = row.alive and not row.leaving and not row.suspect
    return is_serving and row.host != world.host and row.host not in chosen
