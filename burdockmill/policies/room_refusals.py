"""Tell attempts that found no room at an upstream from those that failed.

Load pattern: many hosts open connections to an upstream that takes few, and it refuses
those above its limit while it serves the rest; beside it, an upstream ends and refuses
every connection. Only the reply to a request that it was running then tells the two
apart.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.forwarding.messages import NO_CONNECTION, AttemptEnd
from burdockmill.forwarding.upstream_notices import Incarnation

if TYPE_CHECKING:
    from burdockmill.forwarding.messages import AttemptOutcome, Registration

# Refusals without proof are discarded after this time.
PENDING_MS = 1_000.0
# Upstreams with unexplained refusals beyond this number are discarded, oldest first.
PENDING_LIMIT = 4_096
# More refusals of one upstream before its next reply tell nothing more.
PENDING_PER_UPSTREAM = 16

_REPLIES = frozenset(
    {AttemptEnd.ANSWERED, AttemptEnd.UPSTREAM_ERROR, AttemptEnd.NOT_RUN}
)
_ATTEMPTED = _REPLIES | {
    AttemptEnd.BROKEN,
    AttemptEnd.WRONG_ANSWER,
    AttemptEnd.SILENT,
}


class RoomRefusals:
    """Classify how attempts ended; refused connections wait for proof."""

    def __init__(self) -> None:
        self._pending: dict[Incarnation, list[float]] = {}

    def classify(
        self, upstream: Registration, outcome: AttemptOutcome, now_ms: float
    ) -> list[bool]:
        """Return for each attempt that is known now whether it found no room.

        There are several if the reply proves that connections were refused before: the
        request was sent earlier, so that the upstream and the link worked meanwhile.
        """
        incarnation = Incarnation.of(upstream)
        if outcome.end is AttemptEnd.NOT_SENT:
            if outcome.is_refused or outcome.detail == NO_CONNECTION:
                self._wait(incarnation, now_ms)
            return []
        if outcome.end not in _ATTEMPTED:
            return []
        proven = 0
        if outcome.end in _REPLIES and incarnation in self._pending:
            sent_ms = now_ms if outcome.sent_ms is None else outcome.sent_ms
            since_ms = max(sent_ms, now_ms - PENDING_MS)
            proven = sum(one > since_ms for one in self._pending.pop(incarnation))
        is_refused = outcome.end is AttemptEnd.NOT_RUN or outcome.pause_ms is not None
        return [True] * proven + [is_refused]

    def _wait(self, incarnation: Incarnation, now_ms: float) -> None:
        refused_ms = self._pending.setdefault(incarnation, [])
        refused_ms.append(now_ms)
        del refused_ms[:-PENDING_PER_UPSTREAM]
        if len(self._pending) > PENDING_LIMIT:
            del self._pending[next(iter(self._pending))]
