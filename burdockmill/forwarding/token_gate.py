"""Hold attempts to limited upstreams until they have a token."""

from __future__ import annotations

import heapq
import math
from collections import Counter
from itertools import count
from typing import TYPE_CHECKING

from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.messages.limits import LimitNamed, TokensWanted

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.forwarding.messages import AttemptOutcome, Registration
    from burdockmill.messages.events import Event
    from burdockmill.tables.upstream_limits import UpstreamLimits

# The expected wait for a token that has to be requested first.
TOKEN_WAIT_MS = 25.0
# A hedge is sent only if this many tokens would remain for other attempts.
SPARE_TOKENS = 1


class WaitingAttempt:
    """Represent an attempt that waits for a token; nothing of it was written."""

    __slots__ = ("_gate", "incarnation", "is_open", "on_decided")

    written = False

    def __init__(
        self,
        gate: TokenGate,
        incarnation: Incarnation,
        on_decided: Callable[[bool | None], None],
    ) -> None:
        self.incarnation = incarnation
        self.on_decided = on_decided
        self.is_open = True
        self._gate = gate

    def cancel(self) -> None:
        """Stop waiting; `on_decided` is called with None."""
        if self.is_open:
            self._gate.close(self)
            self.on_decided(None)


class TokenGate:
    """Decide which attempts to limited upstreams may be sent, and which must wait."""

    def __init__(self, limits: UpstreamLimits, post: Callable[[Event], None]) -> None:
        self.counts: Counter[str] = Counter()
        self.limits = limits
        self._post = post
        self._order = count()
        self._waiting_by_incarnation: dict[
            Incarnation, list[tuple[int, int, WaitingAttempt]]
        ] = {}

    def record(
        self, upstream: Registration, outcome: AttemptOutcome, now_ms: float
    ) -> bool:
        """Record what an answer states of a limit; return whether to report it."""
        if outcome.sent_ms is None:
            return False
        was_limited = self.is_limited(upstream)
        is_reported = self.limits.record(
            upstream, outcome.limit_per_s, outcome.sent_ms, now_ms
        )
        if not was_limited and self.is_limited(upstream):
            self._post(LimitNamed(upstream.upstream, upstream.started_ms))
        return is_reported

    def is_limited(self, upstream: Registration) -> bool:
        """Return whether an upstream has named a limit."""
        return self.limits.of(upstream) is not None

    def wait_ms(self, upstream: Registration, now_ms: float) -> float:
        """Return how long an attempt waits for a token, infinite if there is none."""
        row = self.limits.of(upstream)
        if row is None or row.stock.count(now_ms) > row.stock.waiting:
            return 0.0
        return math.inf if now_ms < row.stock.dry_until_ms else TOKEN_WAIT_MS

    def pause_ms(self, upstream: Registration, now_ms: float) -> float:
        """Return in how many milliseconds tokens are expected; 0 if there are some."""
        row = self.limits.of(upstream)
        if row is None or row.stock.count(now_ms) > row.stock.waiting:
            return 0.0
        return max(0.0, row.stock.dry_until_ms - now_ms)

    def has_spare(self, upstream: Registration, now_ms: float) -> bool:
        """Return whether a hedge may use an upstream without delaying others."""
        row = self.limits.of(upstream)
        return row is None or row.stock.count(now_ms) > row.stock.waiting + SPARE_TOKENS

    def want(self, upstream: Registration, now_ms: float) -> None:
        """Record that an attempt prefers a limited upstream, with or without tokens."""
        row = self.limits.of(upstream)
        if row is None:
            return
        row.stock.want(now_ms)
        if not row.stock.is_active:
            row.stock.is_active = True
            self._post(TokensWanted(upstream.upstream, upstream.started_ms))

    def take(self, upstream: Registration, now_ms: float) -> bool:
        """Take a token if the upstream is limited; return whether it may be used."""
        row = self.limits.of(upstream)
        if row is None:
            return True
        if row.stock.waiting or not row.stock.take(now_ms):
            return False
        self.counts["tokens_used"] += 1
        return True

    def wait(
        self,
        upstream: Registration,
        rank: int,
        on_decided: Callable[[bool | None], None],
    ) -> WaitingAttempt:
        """Wait for a token, requests of the highest rank (0) first.

        `on_decided` is called with True once there is one, False if none is expected.
        """
        incarnation = Incarnation.of(upstream)
        waiting = WaitingAttempt(self, incarnation, on_decided)
        entries = self._waiting_by_incarnation.setdefault(incarnation, [])
        heapq.heappush(entries, (rank, next(self._order), waiting))
        row = self.limits.row(incarnation)
        if row is not None:
            row.stock.waiting += 1
        self.counts["waits"] += 1
        self._post(TokensWanted(*incarnation))
        return waiting

    def close(self, waiting: WaitingAttempt) -> None:
        """Remove an attempt from those that wait."""
        waiting.is_open = False
        row = self.limits.row(waiting.incarnation)
        if row is not None:
            row.stock.waiting -= 1

    def on_change(self, incarnation: Incarnation, now_ms: float) -> None:
        """Decide waiting attempts after a reply to a request for tokens, or none."""
        entries = self._waiting_by_incarnation.get(incarnation, [])
        row = self.limits.row(incarnation)
        decided: list[tuple[WaitingAttempt, bool]] = []
        while entries:
            waiting = entries[0][2]
            if waiting.is_open:
                may_send = row is None or not row.is_limited or row.stock.take(now_ms)
                if not may_send and row is not None:
                    if row.stock.requested_ms is not None:
                        break
                    self.counts["waits_refused"] += 1
                self.close(waiting)
                decided.append((waiting, may_send))
            heapq.heappop(entries)
        if not entries:
            self._waiting_by_incarnation.pop(incarnation, None)
        for waiting, may_send in decided:
            waiting.on_decided(may_send)
