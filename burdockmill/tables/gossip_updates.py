"""Merge gossip updates by key, and track which were disseminated lately."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.messages.catalog import CatalogDelta
from burdockmill.messages.fleet import (
    GossipUpdates,
    HoldingsNews,
    LeavingList,
    LimitHint,
    MemberUpdate,
    RulesDelta,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

Update = (
    MemberUpdate | HoldingsNews | RulesDelta | LeavingList | CatalogDelta | LimitHint
)

# Updates whose key is their revision: any one stands for that revision.
REVISION_DELTAS = (RulesDelta, CatalogDelta)


class UpdateKey(NamedTuple):
    """Identify what an update is about; a newer update of a key replaces an older."""

    kind: str
    name: str


class PendingUpdates:
    """Store the latest pending update for each key."""

    def __init__(self) -> None:
        self._update_by_key: dict[UpdateKey, Update] = {}

    def __bool__(self) -> bool:
        return bool(self._update_by_key)

    def add(self, bundle: GossipUpdates) -> None:
        """Add updates; a later one replaces an earlier one with the same key."""
        for update in updates_in(bundle):
            self._update_by_key[update_key(update)] = update

    def remove_unchanged(self, bundle: GossipUpdates) -> None:
        """Remove updates that are stored unchanged.

        A delta is removed by its revision alone, even where its content differs.
        """
        for update in updates_in(bundle):
            key = update_key(update)
            stored = self._update_by_key.get(key)
            if stored == update or (stored and isinstance(update, REVISION_DELTAS)):
                del self._update_by_key[key]

    def updates(self) -> GossipUpdates:
        """Return all pending updates."""
        return bundle_updates(list(self._update_by_key.values()))


class RecentUpdates:
    """Store recently disseminated updates with their times in milliseconds."""

    def __init__(self) -> None:
        self._sent_by_key: dict[UpdateKey, tuple[float, Update]] = {}

    def add(self, bundle: GossipUpdates, now_ms: float) -> None:
        """Record updates as disseminated now; an unchanged one keeps its first time."""
        for update in updates_in(bundle):
            self._sent_by_key.setdefault(update_key(update), (now_ms, update))
            if self._sent_by_key[update_key(update)][1] != update:
                self._sent_by_key[update_key(update)] = (now_ms, update)

    def since(self, after_ms: float) -> GossipUpdates:
        """Return the updates disseminated after a time, and discard older ones."""
        self._sent_by_key = {
            key: stored
            for key, stored in self._sent_by_key.items()
            if stored[0] > after_ms
        }
        return bundle_updates([update for _, update in self._sent_by_key.values()])

    def split(
        self, bundle: GossipUpdates, after_ms: float
    ) -> tuple[GossipUpdates, GossipUpdates]:
        """Split updates into those disseminated after a time and all others."""
        recent: list[Update] = []
        others: list[Update] = []
        for update in updates_in(bundle):
            stored = self._sent_by_key.get(update_key(update))
            is_recent = (
                stored is not None and stored[0] > after_ms and stored[1] == update
            )
            (recent if is_recent else others).append(update)
        return bundle_updates(recent), bundle_updates(others)


def updates_in(bundle: GossipUpdates) -> Iterator[Update]:
    """Yield each update."""
    yield from bundle.members
    yield from bundle.holdings
    yield from bundle.rules
    if bundle.listed is not None:
        yield bundle.listed
    yield from bundle.catalog
    yield from bundle.limits


def bundle_updates(updates: list[Update]) -> GossipUpdates:
    """Return updates in one message; deltas in the order of their revisions."""
    listed = [update for update in updates if isinstance(update, LeavingList)]
    catalog = [update for update in updates if isinstance(update, CatalogDelta)]
    rules = [update for update in updates if isinstance(update, RulesDelta)]
    return GossipUpdates(
        tuple(update for update in updates if isinstance(update, MemberUpdate)),
        tuple(update for update in updates if isinstance(update, HoldingsNews)),
        tuple(sorted(rules, key=lambda delta: delta.revision)),
        listed[-1] if listed else None,
        tuple(sorted(catalog, key=lambda delta: delta.position)),
        tuple(update for update in updates if isinstance(update, LimitHint)),
    )


def update_key(update: Update) -> UpdateKey:
    """Return the key under which a newer update replaces this one."""
    match update:
        case MemberUpdate():
            return UpdateKey("member", update.host)
        case HoldingsNews():
            return UpdateKey("holdings", update.upstream)
        case RulesDelta():
            return UpdateKey("rules", str(update.revision))
        case CatalogDelta():
            return UpdateKey("catalog", f"{update.era}/{update.revision}")
        case LimitHint():
            return UpdateKey("limit", f"{update.upstream}/{update.started_ms}")
    return UpdateKey("listed", "")
