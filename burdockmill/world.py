"""Store the tables that the systems of one host share."""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from typing import TYPE_CHECKING, Any

from burdockmill.policies.rate_limiter import RateLimiter
from burdockmill.policies.refusal_memory import RefusalMemory
from burdockmill.policies.retry_budget import RetryBudget
from burdockmill.tables.catalog import Catalog
from burdockmill.tables.crash_suspects import CrashSuspects
from burdockmill.tables.fleet import FleetTables
from burdockmill.tables.peer_reach import PeerReach
from burdockmill.tables.timer_queue import TimerQueue
from burdockmill.tables.upstream_limits import UpstreamLimits
from burdockmill.tables.upstream_reach import UpstreamReach
from burdockmill.tables.upstream_view import UpstreamViews

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from burdockmill.messages.events import Event
    from burdockmill.names import DomainId, HostId, Revision, UpstreamId
    from burdockmill.rules.model import RuleSet
    from burdockmill.tables.rows import MemberRow, UpstreamRow


# A host has heard from its first peers within this time.
START_PERIOD_MS = 2_000.0


class World:
    """Store the tables, event queues and timers of the systems of one host.

    `run_id` identifies this run of the process; until `cautious_until_ms`, after a
    pause, this host checks that it still owns an upstream before it runs an
    action there. `systems_with_events` are those whose queue is not empty.
    """

    def __init__(self, host: HostId, domain: DomainId, rng: random.Random) -> None:
        self.host = host
        self.domain = domain
        self.rng = rng
        self.run_id = f"{rng.getrandbits(64):016x}"
        self.rules: RuleSet | None = None
        self.member_by_host: dict[HostId, MemberRow] = {}
        self.upstream_by_id: dict[UpstreamId, UpstreamRow] = {}
        self.fleet = FleetTables()
        self.catalog = Catalog()
        self.limits = UpstreamLimits()
        self.suspects = CrashSuspects()
        self.reach = UpstreamReach(domain)
        self.peer_reach = PeerReach()
        self.upstream_views = UpstreamViews()
        self.counter_by_name: Counter[str] = Counter()
        self.rate_limiter = RateLimiter()
        self.refusals = RefusalMemory(self.counter_by_name)
        self.retry_budget = RetryBudget(self.counter_by_name)
        self.holdings_version = 0
        self.members_version = 0
        self.started_ms: float | None = None
        self.cautious_until_ms = float("-inf")
        self._announced: list[Event] = []
        self._live_count_at_version = (-1, 0)
        self.systems_with_events: set[str] = set()
        self._inbox_by_system: dict[str, deque[Event]] = defaultdict(deque)
        self._due_by_system: dict[str, TimerQueue[Any]] = defaultdict(TimerQueue)

    @property
    def revision(self) -> Revision:
        """Return the active revision: of the rules, else of the catalog."""
        return self.catalog.revision if self.rules is None else self.rules.revision

    def live_host_count(self) -> int:
        """Return how many hosts accept requests, as recorded by this host."""
        version, live = self._live_count_at_version
        if version != self.members_version:
            members = self.member_by_host.values()
            live = sum(member.alive and not member.leaving for member in members)
            self._live_count_at_version = (self.members_version, live)
        return live

    def live_hosts(self) -> list[HostId]:
        """Return the hosts that are alive, as recorded by this host."""
        return [row.host for row in self.member_by_host.values() if row.alive]

    def domain_of(self, host: HostId) -> DomainId:
        """Return the failure domain of a host, empty if it is not known."""
        row = self.member_by_host.get(host)
        return "" if row is None else row.domain

    def is_starting(self, now_ms: float) -> bool:
        """Return whether this host started so lately that its state may be behind."""
        return now_ms - (self.started_ms or 0.0) < START_PERIOD_MS

    def put_event(self, system: str, event: Event) -> None:
        """Queue an event for a system."""
        self._inbox_by_system[system].append(event)
        self.systems_with_events.add(system)

    def drain_events(self, system: str) -> Iterator[Event]:
        """Remove and yield a system's events, oldest first.

        Those after one that makes the system fail stay in its queue.
        """
        inbox = self._inbox_by_system[system]
        while inbox:
            yield inbox.popleft()
        self.systems_with_events.discard(system)

    def queued_events(self, system: str) -> int:
        """Return how many events a system has not handled."""
        return len(self._inbox_by_system[system])

    def announce(self, event: Event) -> None:
        """Queue an event for the systems that handle it, and report it as an action."""
        self._announced.append(event)

    def drain_announced(self) -> list[Event]:
        """Remove and return the announced events, oldest first."""
        events = self._announced
        self._announced = []
        return events

    def due(self, system: str) -> TimerQueue[Any]:
        """Return the timers of a system."""
        return self._due_by_system[system]
