"""Decide from which position to watch the store, and when to read all of it instead.

Load pattern: other writers change keys that are not of the catalog, at any rate. An
answer may be too large or malformed, and then is so on each retry. A change that the
core could not apply is not sent again by the store.
"""

from __future__ import annotations

from burdockmill.messages.store_position import StorePosition

# A watch that cannot be read this many times in a row is replaced by a whole read.
UNREADABLE_WATCHES_LIMIT = 2
# Steps in a row that find an emitted change not applied; doubled with each whole read
# that does not help.
NOT_APPLIED_STEPS_LIMIT = 2
NOT_APPLIED_STEPS_MAX = 64


class StoreReading:
    """Track which positions this host has watched, emitted and failed to read."""

    def __init__(self, position_interval_ms: float) -> None:
        self._position_interval_ms = position_interval_ms
        self._watched = StorePosition()
        # The catalog has no changes from this position up to `_watched`.
        self._unchanged_since = StorePosition()
        self._emitted = StorePosition()
        self._emitted_ms = 0.0
        # A position that the store itself has turned out not to have reached.
        self._beyond: StorePosition | None = None
        # The store could not tell the changes after this position.
        self._lost: StorePosition | None = None
        self._unreadable_watches = 0
        self._steps_not_applied = 0
        self._not_applied_limit = NOT_APPLIED_STEPS_LIMIT

    def begin_step(self, applied: StorePosition) -> StorePosition:
        """Return the position to watch from, given that of the active catalog."""
        if applied >= self._emitted:
            self._steps_not_applied = 0
            self._not_applied_limit = NOT_APPLIED_STEPS_LIMIT
        else:
            self._steps_not_applied += 1
        if applied == self._beyond:
            return self._watched
        return max(applied, self._watched)

    def needs_whole_read(self, after: StorePosition) -> bool:
        """Return whether a watch from a position would not bring the changes."""
        return (
            not after.revision
            or after == self._lost
            or self._unreadable_watches >= UNREADABLE_WATCHES_LIMIT
            or self._steps_not_applied >= self._not_applied_limit
        )

    def base_of(self, after: StorePosition, applied: StorePosition) -> StorePosition:
        """Return the oldest position that a change watched from `after` continues."""
        unchanged = self._unchanged_since
        is_continued = after == self._watched and unchanged.era == after.era
        return unchanged if is_continued and applied >= unchanged else after

    def is_position_due(self, position: StorePosition, now_ms: float) -> bool:
        """Return whether to emit a position though the catalog has not changed.

        Hosts that take the reading over then need no history of other keys.
        """
        return (
            position > self._emitted
            and now_ms - self._emitted_ms >= self._position_interval_ms
        )

    def emitted(self, position: StorePosition, now_ms: float) -> None:
        """Record that the changes up to a position were emitted."""
        self._unchanged_since = self._emitted = position
        self._watched = max(self._watched, position)
        self._emitted_ms = now_ms
        self._unreadable_watches = 0

    def unchanged(self, base: StorePosition, position: StorePosition) -> None:
        """Record that the catalog has not changed between two positions."""
        self._unchanged_since = base
        self._watched = max(self._watched, position)
        self._unreadable_watches = 0

    def whole_read(self) -> None:
        """Record that all was read, which replaces what went before."""
        self._lost = None
        if self._steps_not_applied:
            self._steps_not_applied = 0
            self._not_applied_limit = min(
                NOT_APPLIED_STEPS_MAX, 2 * self._not_applied_limit
            )

    def store_is_behind(self, after: StorePosition, position: StorePosition) -> None:
        """Record that all was read, at a position before the one to watch from.

        A revision once stated too high would otherwise hide all later changes.
        """
        self._beyond = after
        self._watched = position

    def history_lost(self, after: StorePosition) -> None:
        """Record that the store cannot tell the changes after a position."""
        self._lost = after

    def unreadable(self, *, is_whole_read: bool) -> None:
        """Record an answer that cannot be read; the other call is tried in turn."""
        self._unreadable_watches = 0 if is_whole_read else self._unreadable_watches + 1
