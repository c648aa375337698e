"""Store the chunks of the active revision and apply deltas to its rules."""

from __future__ import annotations

import hashlib
import zlib
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from returns.result import Failure, Result, Success

from burdockmill.messages.fleet import ChunkChange, ChunkName, RulesDelta
from burdockmill.rules.index import RuleIndex
from burdockmill.rules.lines import parse_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from burdockmill.names import Revision
    from burdockmill.rules._verbs import Rule
    from burdockmill.rules.index import RuleChanges

DELTA_LIMIT_BYTES = 8_192
PROBLEMS_LIMIT = 20


class RulesRefusal(NamedTuple):
    """Describe why a revision is refused; `damaged` if a digest does not match."""

    problems: tuple[str, ...]
    damaged: bool = False


class _ParsedChange(NamedTuple):
    removed: tuple[Rule, ...]
    added: tuple[Rule, ...]
    problems: tuple[str, ...]


class RulesStore:
    """Store the active chunks, compressed, and the index of their rules."""

    def __init__(self) -> None:
        self.revision: Revision = 0
        self._digest_by_name: dict[str, str] = {}
        self._compressed_by_digest: dict[str, bytes] = {}
        self._index = RuleIndex()

    @property
    def manifest(self) -> tuple[ChunkName, ...]:
        """Return the names and digests of the active chunks."""
        return tuple(ChunkName(*pair) for pair in self._digest_by_name.items())

    def has_chunk(self, digest: str) -> bool:
        """Return whether a chunk is stored."""
        return digest in self._compressed_by_digest

    def text(self, digest: str) -> str | None:
        """Return a chunk's text, or None if it is not stored."""
        compressed = self._compressed_by_digest.get(digest)
        if compressed is None:
            return None
        return zlib.decompress(compressed).decode(errors="surrogateescape")

    def delta_to(
        self,
        revision: Revision,
        manifest: Iterable[tuple[str, str]],
        text_by_digest: Mapping[str, str],
    ) -> RulesDelta:
        """Return the delta from the active revision to a manifest."""
        changes: list[ChunkChange] = []
        digest_by_name = dict(manifest)
        for name, digest in digest_by_name.items():
            before = self._digest_by_name.get(name, "")
            if before != digest:
                old = self.text(before) or ""
                new = text_by_digest.get(digest) or self.text(digest) or ""
                changes.append(_compare_chunk(name, before, digest, old, new))
        for name, digest in self._digest_by_name.items():
            if name not in digest_by_name:
                old = self.text(digest) or ""
                changes.append(_compare_chunk(name, digest, "", old, ""))
        return RulesDelta(self.revision, revision, tuple(changes))

    def apply(self, delta: RulesDelta) -> Result[RuleChanges, RulesRefusal]:
        """Activate a delta, or return why it is refused; a refusal changes nothing."""
        loading = RulesLoader(self, delta)
        while not loading.reading_finished:
            loading.read_next()
        return loading.finish()

    def changed_texts(self, change: ChunkChange) -> tuple[str, str] | None:
        """Return a chunk's text before and after; None if a digest does not match."""
        if self._digest_by_name.get(change.name, "") != change.before:
            return None
        old = self.text(change.before) or ""
        lines = _lines(old)
        after = [
            *lines[: change.at],
            *change.added,
            *lines[change.at + change.removed :],
        ]
        new = "\n".join(after)
        if change.after and _digest(new) != change.after:
            return None
        return old, new

    def activate(
        self,
        delta: RulesDelta,
        removed: list[Rule],
        added: list[Rule],
        compressed_by_name: dict[str, bytes],
    ) -> Result[RuleChanges, RulesRefusal]:
        """Activate parsed rules, or return why they are refused and change nothing."""
        applied = self._index.apply(removed, added, delta.revision)
        if not isinstance(applied, Success):
            return Failure(RulesRefusal(applied.failure()[:PROBLEMS_LIMIT]))
        self._replace_chunks(delta, compressed_by_name)
        return Success(applied.unwrap())

    def _replace_chunks(
        self, delta: RulesDelta, compressed_by_name: dict[str, bytes]
    ) -> None:
        for change in delta.changes:
            self._digest_by_name.pop(change.name, None)
        for change in delta.changes:
            if change.after:
                self._digest_by_name[change.name] = change.after
                self._compressed_by_digest[change.after] = compressed_by_name[
                    change.name
                ]
        self._digest_by_name = dict(sorted(self._digest_by_name.items()))
        used = set(self._digest_by_name.values())
        for change in delta.changes:
            if change.before and change.before not in used:
                self._compressed_by_digest.pop(change.before, None)
        self.revision = delta.revision


class RulesLoader:
    """Parse a delta one chunk at a time, then activate it as a whole.

    `delta` is kept to send to peers; above `DELTA_LIMIT_BYTES` it has no added lines
    and `too_large` set, so that it only announces the revision.
    """

    def __init__(self, store: RulesStore, delta: RulesDelta) -> None:
        self.delta = delta
        if delta_size_bytes(delta) > DELTA_LIMIT_BYTES:
            outline = tuple(change._replace(added=()) for change in delta.changes)
            self.delta = delta._replace(changes=outline, too_large=True)
        self._store = store
        self._unread = deque(delta.changes)
        self._removed: list[Rule] = []
        self._added: list[Rule] = []
        self._problems: list[str] = []
        self._compressed_by_name: dict[str, bytes] = {}
        self._damage: RulesRefusal | None = None

    @property
    def reading_finished(self) -> bool:
        """Return whether every chunk was read or one is damaged."""
        return self._damage is not None or not self._unread

    def read_next(self) -> None:
        """Read the next chunk's change and parse its rules."""
        change = self._unread.popleft()
        texts = self._store.changed_texts(change)
        if texts is None:
            problem = f"chunk {change.name}: its digest differs"
            self._damage = RulesRefusal((problem,), damaged=True)
            return
        old, new = texts
        data = new.encode(errors="surrogateescape")
        self._compressed_by_name[change.name] = zlib.compress(data, 1)
        parsed = _parse_change(change, old)
        self._removed.extend(parsed.removed)
        self._added.extend(parsed.added)
        self._problems.extend(parsed.problems)

    def finish(self) -> Result[RuleChanges, RulesRefusal]:
        """Activate what was read, or return why it is refused."""
        if self._damage is not None:
            return Failure(self._damage)
        if self._problems:
            return Failure(RulesRefusal(tuple(self._problems[:PROBLEMS_LIMIT])))
        return self._store.activate(
            self.delta, self._removed, self._added, self._compressed_by_name
        )


def delta_size_bytes(delta: RulesDelta) -> int:
    """Return the approximate size of a delta on the wire in bytes."""
    return sum(
        sum(map(len, change.added)) + 4 * len(change.added) + 160
        for change in delta.changes
    )


def _compare_chunk(
    name: str, before: str, after: str, old: str, new: str
) -> ChunkChange:
    if not old:
        # A new chunk is sent as one string; it is split into lines when it is parsed.
        return ChunkChange(name, before, after, 0, 0, (new,))
    old_lines, new_lines = _lines(old), _lines(new)
    shorter = min(len(old_lines), len(new_lines))
    prefix = 0
    while prefix < shorter and old_lines[prefix] == new_lines[prefix]:
        prefix += 1
    suffix = 0
    while (
        suffix < shorter - prefix and old_lines[-1 - suffix] == new_lines[-1 - suffix]
    ):
        suffix += 1
    added = tuple(new_lines[prefix : len(new_lines) - suffix])
    return ChunkChange(
        name, before, after, prefix, len(old_lines) - prefix - suffix, added
    )


def _parse_change(change: ChunkChange, old: str) -> _ParsedChange:
    lines = _lines(old)[change.at : change.at + change.removed]
    removed = parse_lines(lines).rules
    added = parse_lines(change.added)
    problems = tuple(
        f"chunk {change.name}, {problem._replace(line=problem.line + change.at)}"
        for problem in added.problems
    )
    return _ParsedChange(removed, added.rules, problems)


def _lines(text: str) -> list[str]:
    return text.split("\n") if text else []


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode(errors="surrogateescape")).hexdigest()
