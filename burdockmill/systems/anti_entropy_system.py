"""Exchange the table rows that differ between two hosts (anti-entropy)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import Action, SendToPeer
from burdockmill.messages.events import PeerReceived
from burdockmill.messages.fleet import GossipUpdates, SyncRequest, SyncRows, TableKind
from burdockmill.systems._anti_entropy import tree_of
from burdockmill.systems._apply_updates import apply_updates, disseminate
from burdockmill.systems._fleet_rows import holdings_update, member_update
from burdockmill.systems.system import System
from burdockmill.tables.hash_tree import DEPTH, NO_DIGEST

if TYPE_CHECKING:
    from burdockmill.names import HostId
    from burdockmill.world import World

ROWS_AT_ONCE = 24
# More rows than this in one message are not disseminated; the other hosts get them
# by anti-entropy.
DISSEMINATE_LIMIT_ROWS = 64


class AntiEntropySystem(System):
    """Descend two hosts' hash trees to the rows that differ, and exchange these."""

    name = "sync"
    handles = (SyncRequest, SyncRows)

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Respond to digests with rows or deeper digests, and apply received rows."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            match event:
                case PeerReceived(message=SyncRequest() as request):
                    self._compare_digests(world, event.sender, request, actions)
                case PeerReceived(message=SyncRows() as rows):
                    self._merge(world, event.sender, rows, now_ms, actions)
        return actions

    def _compare_digests(
        self, world: World, host: HostId, request: SyncRequest, actions: list[Action]
    ) -> None:
        tree = tree_of(world, request.kind, request.domain)
        for part, remote_digest in enumerate(request.digests):
            prefix = f"{request.prefix}{part:x}"
            if tree.digest(prefix) == remote_digest:
                continue
            keys = tree.keys(prefix)
            deepest = len(prefix) >= DEPTH
            if deepest or remote_digest == NO_DIGEST or len(keys) <= ROWS_AT_ONCE:
                updates = self._updates_of(world, request.kind, keys)
                rows = SyncRows(request.kind, request.domain, prefix, updates, True)
                actions.append(SendToPeer(host, rows))
                continue
            parts = tree.child_digests(prefix)
            deeper = SyncRequest(request.kind, request.domain, prefix, parts)
            actions.append(SendToPeer(host, deeper))

    def _merge(
        self,
        world: World,
        host: HostId,
        rows: SyncRows,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        applied = apply_updates(world, host, rows.updates, now_ms, actions)
        count = len(applied.members) + len(applied.holdings)
        world.counter_by_name["sync_rows_learned"] += count
        if count <= DISSEMINATE_LIMIT_ROWS:
            disseminate(world, applied)
        if rows.wants_rows:
            keys = tree_of(world, rows.kind, rows.domain).keys(rows.prefix)
            received = {update.host for update in rows.updates.members}
            received |= {update.upstream for update in rows.updates.holdings}
            updates = self._updates_of(world, rows.kind, keys)
            answer = rows._replace(
                updates=_exclude(updates, rows.updates), wants_rows=False
            )
            if answer.updates != GossipUpdates():
                actions.append(SendToPeer(host, answer))

    def _updates_of(
        self, world: World, kind: TableKind, keys: list[str]
    ) -> GossipUpdates:
        if kind is TableKind.MEMBERS:
            rows = world.member_by_host
            return GossipUpdates(
                members=tuple(member_update(rows[key]) for key in keys)
            )
        upstreams = world.upstream_by_id
        return GossipUpdates(
            holdings=tuple(holdings_update(upstreams[key]) for key in keys)
        )


def _exclude(updates: GossipUpdates, excluded: GossipUpdates) -> GossipUpdates:
    members = set(excluded.members)
    holdings = set(excluded.holdings)
    return GossipUpdates(
        tuple(update for update in updates.members if update not in members),
        tuple(update for update in updates.holdings if update not in holdings),
    )
