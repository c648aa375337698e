"""Gather news by what it is about; the newest of each counts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.messages.catalog import CatalogDelta
from burdockmill.messages.fleet import (
    HoldingsNews,
    LeavingList,
    MemberNews,
    News,
    RulesDelta,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

Item = MemberNews | HoldingsNews | RulesDelta | LeavingList | CatalogDelta


REVISED = (RulesDelta, CatalogDelta)


class Subject(NamedTuple):
    """Name what an item is about."""

    kind: str
    name: str


class GatheredNews:
    """Hold one item a subject."""

    def __init__(self) -> None:
        self._item_by_subject: dict[Subject, Item] = {}

    def __bool__(self) -> bool:
        return bool(self._item_by_subject)

    def add(self, news: News) -> None:
        """Add items; a later one replaces an earlier one of its subject."""
        for item in items_of(news):
            self._item_by_subject[subject_of(item)] = item

    def drop(self, news: News) -> None:
        """Drop the items that are held as given, and any delta to a revision."""
        for item in items_of(news):
            subject = subject_of(item)
            held = self._item_by_subject.get(subject)
            if held == item or (held and isinstance(item, REVISED)):
                del self._item_by_subject[subject]

    def news(self) -> News:
        """Return all items."""
        return news_of(list(self._item_by_subject.values()))


class RecentNews:
    """Hold what was spread lately, with the time in milliseconds."""

    def __init__(self) -> None:
        self._at_by_subject: dict[Subject, tuple[float, Item]] = {}

    def add(self, news: News, now_ms: float) -> None:
        """Note that items were spread now."""
        for item in items_of(news):
            self._at_by_subject.setdefault(subject_of(item), (now_ms, item))
            if self._at_by_subject[subject_of(item)][1] != item:
                self._at_by_subject[subject_of(item)] = (now_ms, item)

    def since(self, after_ms: float) -> News:
        """Return what was spread after a time, and forget the rest."""
        self._at_by_subject = {
            subject: held
            for subject, held in self._at_by_subject.items()
            if held[0] > after_ms
        }
        return news_of([item for _, item in self._at_by_subject.values()])

    def split(self, news: News, after_ms: float) -> tuple[News, News]:
        """Part news into what was spread after a time and what was not."""
        known: list[Item] = []
        rest: list[Item] = []
        for item in items_of(news):
            held = self._at_by_subject.get(subject_of(item))
            seen = held is not None and held[0] > after_ms and held[1] == item
            (known if seen else rest).append(item)
        return news_of(known), news_of(rest)


def items_of(news: News) -> Iterator[Item]:
    """Yield each item of news."""
    yield from news.members
    yield from news.holdings
    yield from news.rules
    if news.listed is not None:
        yield news.listed
    yield from news.catalog


def news_of(items: list[Item]) -> News:
    """Return items as news."""
    listed = [item for item in items if isinstance(item, LeavingList)]
    catalog = [item for item in items if isinstance(item, CatalogDelta)]
    rules = [item for item in items if isinstance(item, RulesDelta)]
    return News(
        tuple(item for item in items if isinstance(item, MemberNews)),
        tuple(item for item in items if isinstance(item, HoldingsNews)),
        tuple(sorted(rules, key=lambda delta: delta.revision)),
        listed[-1] if listed else None,
        tuple(sorted(catalog, key=lambda delta: delta.revision)),
    )


def subject_of(item: Item) -> Subject:
    """Return what an item is about."""
    match item:
        case MemberNews():
            return Subject("member", item.host)
        case HoldingsNews():
            return Subject("holdings", item.upstream)
        case RulesDelta():
            return Subject("rules", str(item.revision))
        case CatalogDelta():
            return Subject("catalog", str(item.revision))
    return Subject("listed", "")
