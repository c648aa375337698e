"""Track the turns and trials of one request, and of the shards of a search."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.forwarding.canary_turns import Turn
from burdockmill.forwarding.standing import Standing

if TYPE_CHECKING:
    from burdockmill.forwarding.crash_guard import CrashGuard


class RunTurns:
    """Track for which keys a run has its turn, and of which it is a trial.

    A key is the request's, or that of a shard. Of `awaited_keys` the run becomes a
    trial once another host grants the turn.
    """

    def __init__(self, guard: CrashGuard) -> None:
        self.trial_keys: set[str] = set()
        self.awaited_keys: set[str] = set()
        self._guard = guard
        self._key_by_shard_canary: dict[int, str] = {}

    def standing(self, key: str, now_ms: float) -> Standing:
        """Return how a key is treated; remember if this run is to be its trial."""
        standing = self._guard.standing(key, now_ms)
        if standing is Standing.TRIAL:
            self.trial_keys.add(key)
        elif standing is Standing.TRIAL_AWAITED:
            self.awaited_keys.add(key)
        return standing

    def is_trial(self, key: str) -> bool:
        """Return whether this run is a trial of a key, or awaits to be one."""
        return key in self.trial_keys or key in self.awaited_keys

    def turn(self, key: str, now_ms: float) -> Turn:
        """Return whether an attempt at a key may be sent now."""
        if key in self.trial_keys:
            return Turn.FREE
        return self._guard.turn(key, now_ms)

    def sent(self, key: str) -> None:
        """Record that an attempt at a key is sent: an awaited trial has begun."""
        if key in self.awaited_keys:
            self.awaited_keys.remove(key)
            self.trial_keys.add(key)

    def shard_sent(self, attempt: int, key: str, now_ms: float) -> bool:
        """Record an attempt at a shard; return whether hosts take turns at it."""
        if not self._guard.needs_turn(key):
            return False
        self._guard.canary_sent(key, now_ms)
        self._key_by_shard_canary[attempt] = key
        self.sent(key)
        return True

    def shard_ended(self, attempt: int, is_decided: bool) -> None:
        """Return the turn of a shard if an attempt was sent for it."""
        if (key := self._key_by_shard_canary.pop(attempt, None)) is not None:
            self._guard.canary_ended(key, is_decided)
