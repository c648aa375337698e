"""Send and take the rows of tables that differ between two hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.messages.actions import Action, SendToPeer
from burdockmill.messages.events import PeerReceived
from burdockmill.messages.fleet import News, SyncAsk, SyncRows, TableKind
from burdockmill.systems._intake import apply_updates, disseminate
from burdockmill.systems._news import holdings_update, member_update
from burdockmill.systems._sync import tree_of
from burdockmill.systems.system import System
from burdockmill.tables.hash_tree import DEPTH, NO_DIGEST

if TYPE_CHECKING:
    from burdockmill.names import HostId
    from burdockmill.world import World

ROWS_AT_ONCE = 24
SPREAD_LIMIT = 64


class SyncSystem(System):
    """Send and take the rows of tables that differ between two hosts."""

    name = "sync"
    handles = (SyncAsk, SyncRows)

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Answer each request, and take in rows."""
        actions: list[Action] = []
        for event in world.take_events(self.name):
            match event:
                case PeerReceived(message=SyncAsk() as ask):
                    self._compare(world, event.sender, ask, actions)
                case PeerReceived(message=SyncRows() as rows):
                    self._merge(world, event.sender, rows, now_ms, actions)
        return actions

    def _compare(
        self, world: World, host: HostId, ask: SyncAsk, actions: list[Action]
    ) -> None:
        tree = tree_of(world, ask.kind, ask.domain)
        for part, theirs in enumerate(ask.digests):
            prefix = f"{ask.prefix}{part:x}"
            if tree.digest(prefix) == theirs:
                continue
            keys = tree.keys(prefix)
            deepest = len(prefix) >= DEPTH
            if deepest or theirs == NO_DIGEST or len(keys) <= ROWS_AT_ONCE:
                news = self._rows(world, ask.kind, keys)
                rows = SyncRows(ask.kind, ask.domain, prefix, news, True)
                actions.append(SendToPeer(host, rows))
                continue
            parts = tree.parts(prefix)
            deeper = SyncAsk(ask.kind, ask.domain, prefix, parts)
            actions.append(SendToPeer(host, deeper))

    def _merge(
        self,
        world: World,
        host: HostId,
        rows: SyncRows,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        fresh = apply_updates(world, host, rows.news, now_ms, actions)
        count = len(fresh.members) + len(fresh.holdings)
        world.counter_by_name["sync_rows_learned"] += count
        if count <= SPREAD_LIMIT:
            disseminate(world, fresh)
        if rows.wanted:
            keys = tree_of(world, rows.kind, rows.domain).keys(rows.prefix)
            given = {one.host for one in rows.news.members}
            given |= {one.upstream for one in rows.news.holdings}
            news = self._rows(world, rows.kind, keys)
            answer = rows._replace(news=_without_known(news, rows.news), wanted=False)
            if answer.news != News():
                actions.append(SendToPeer(host, answer))

    def _rows(self, world: World, kind: TableKind, keys: list[str]) -> News:
        if kind is TableKind.MEMBERS:
            rows = world.member_by_host
            return News(members=tuple(member_update(rows[key]) for key in keys))
        held = world.upstream_by_id
        return News(holdings=tuple(holdings_update(held[key]) for key in keys))


def _without_known(news: News, known: News) -> News:
    members = set(known.members)
    holdings = set(known.holdings)
    return News(
        tuple(one for one in news.members if one not in members),
        tuple(one for one in news.holdings if one not in holdings),
    )
