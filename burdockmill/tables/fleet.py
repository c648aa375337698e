"""Store one host's view of the fleet, apart from the member and upstream rows."""

from __future__ import annotations

from collections import defaultdict
from functools import cached_property
from typing import TYPE_CHECKING

from burdockmill.messages.fleet import UNCONFIRMED_MS, LeavingList, TableDigest
from burdockmill.tables.gossip_updates import RecentUpdates
from burdockmill.tables.hash_tree import HashTree

if TYPE_CHECKING:
    from burdockmill.names import DomainId, HostId, Revision, UpstreamId
    from burdockmill.rules.store import RulesStore


class FleetTables:
    """Store digests, contact times, revisions and recent updates; times in ms."""

    def __init__(self) -> None:
        self.started = False
        self.leaving = False
        self.refreshing = False
        self.started_ms = 0.0
        self.probes_sent = 0
        self.members_by_domain: dict[DomainId, HashTree] = defaultdict(HashTree)
        self.holdings_by_domain: dict[DomainId, HashTree] = defaultdict(HashTree)
        self.changed_ms_by_domain: dict[DomainId, float] = {}
        self.hosts_by_domain: dict[DomainId, set[HostId]] = defaultdict(set)
        self.upstreams_by_domain: dict[DomainId, set[UpstreamId]] = {}
        self.upstreams_version = 0
        self.last_contact_ms_by_host: dict[HostId, float] = {}
        self.last_contact_ms = 0.0
        self.last_contact_ms_by_domain: dict[DomainId, float] = {}
        self.recent = RecentUpdates()
        self.listed = LeavingList(0, [])
        self.active_since_ms = 0.0
        self.active_source = ""
        self.newest_seen: Revision = 0
        self.refused_revision: Revision = 0
        self.confirmed_ms = -UNCONFIRMED_MS
        # Since when a peer has reported a newer catalog than this host's.
        self.behind_since_ms: float | None = None
        self.refused_problems: tuple[str, ...] = ()

    @cached_property
    def store(self) -> RulesStore:
        """Return the rules store; hosts without rules never import its module."""
        from burdockmill.rules.store import RulesStore

        return RulesStore()

    def digest(self, domain: DomainId) -> TableDigest:
        """Return the digests of the recorded members and upstreams of a domain."""
        return TableDigest(
            domain,
            self.members_by_domain[domain].digest(),
            self.holdings_by_domain[domain].digest(),
        )
