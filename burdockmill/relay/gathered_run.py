"""Let a strong host gather a search, and search from here if that fails.

The state machine of one search: the strong host confirms at once that it has taken the
search over. Without its confirmation the search is withdrawn there, and another strong
host or this one searches. What a host has confirmed is not searched a second time: it
may have hedged, so that a shard's request would run at a third upstream.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.errors import BurdockmillError
from burdockmill.forwarding.actions import Conclude
from burdockmill.relay.actions import RelayEnd, RelayOutcome, SendRelay, WithdrawRelay
from burdockmill.relay.gather_choice import CONFIRM_WAIT_MS
from burdockmill.relay.handover_run import HandoverRun
from burdockmill.relay.relay_planner import Way
from burdockmill.relay.relay_rows import RelayRow

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.forwarding.actions import RunAction
    from burdockmill.forwarding.request_run import RequestRun
    from burdockmill.names import HostId
    from burdockmill.relay.gather_choice import GatherChoice
    from burdockmill.relay.handover_run import HandoverAction
    from burdockmill.relay.relay_planner import RelayPlanner

# A search is given to at most so many strong hosts.
HOSTS_LIMIT = 2


class GatheredRun(HandoverRun):
    """Carry a search through that other hosts gather if there are strong ones."""

    def __init__(
        self, direct: RequestRun, planner: RelayPlanner, gather: GatherChoice
    ) -> None:
        super().__init__(direct, planner)
        self._gather = gather
        self._is_gathered = False
        self._confirmed: set[int] = set()
        # Until then the host that has the search is to confirm it.
        self._confirm_by_ms: float | None = None

    @property
    def next_due_ms(self) -> float | None:
        """Return the clock time in milliseconds at which `tick` is due, or None."""
        due_ms = super().next_due_ms
        if due_ms is None or self._confirm_by_ms is None:
            return due_ms
        return min(due_ms, self._confirm_by_ms)

    def start(self, now_ms: float) -> list[HandoverAction]:
        """Hand the search over to a strong host, or start it as any other request."""
        if self.direct.request.entry or not self._has_time(now_ms):
            return super().start(now_ms)
        host = self._choose(now_ms)
        if host is None or self._plan(now_ms).way is not Way.HERE:
            return super().start(now_ms)
        suspicion = self.direct.suspicion
        if not suspicion.admit(now_ms) or suspicion.is_cautious:
            return super().start(now_ms)
        self._is_gathered = True
        self._gather.counts["handed_over"] += 1
        return self._send_to(host, now_ms)

    def confirmed(self, relay: int, now_ms: float) -> None:
        """Record that a host has taken the search over, and wait for its answer."""
        row = self.relays[relay]
        if not self._is_gathered:
            return
        self._confirmed.add(relay)
        self._confirm_by_ms = None
        self._gather.confirmed(row.host, now_ms - row.sent_ms)

    def tick(self, now_ms: float) -> list[HandoverAction]:
        """Search in another way if that is due, or do as for any other request."""
        if self._confirm_by_ms is not None and now_ms >= self._confirm_by_ms:
            self._confirm_by_ms = None
            if not self.completed and now_ms < self.direct.final_ms:
                row = self.relays[-1]
                self._gather.failed(row.host, now_ms)
                self._gather.counts["not_confirmed"] += 1
                # It may have ended while the host before it was still withdrawn.
                withdrawals: list[HandoverAction] = []
                if row.outcome is None:
                    withdrawals.append(WithdrawRelay(row.number))
                return self._take_over(now_ms, withdrawals)
        return super().tick(now_ms)

    def relay_ended(
        self, relay: int, outcome: RelayOutcome, now_ms: float
    ) -> list[HandoverAction]:
        """Record how a host ended the search; answer it, or search in another way."""
        if not self._is_gathered:
            return super().relay_ended(relay, outcome, now_ms)
        row = self.relays[relay]
        row.outcome = outcome
        row.took_ms = now_ms - row.sent_ms
        if self.completed:
            return []
        is_answered = outcome.end is RelayEnd.ANSWERED
        if is_answered and not isinstance(outcome.result, BurdockmillError):
            self.direct.completed = True
            return [*self._withdraw_direct(), *self._conclude_relayed(row, now_ms)]
        if not is_answered:
            self._gather.failed(row.host, now_ms)
            self._gather.counts[f"ended_{outcome.end.value}"] += 1
        if self._is_direct_active or self.relays.open:
            return []
        if self._fallback is not None:
            return self._conclude(self._fallback)
        if is_answered:
            return self._conclude_relayed(row, now_ms)
        self._confirm_by_ms = None
        if row.number in self._confirmed:
            return self._refuse()
        return self._take_over(now_ms, [])

    def _choose(self, now_ms: float) -> HostId | None:
        direct = self.direct
        return self._gather.choose(direct.request.request_id, direct.route, now_ms)

    def _send_to(self, host: HostId, now_ms: float) -> list[HandoverAction]:
        number, route = len(self.relays), self.direct.route
        self.relays.append(RelayRow(number, host, route.attempts_limit, now_ms))
        self._confirm_by_ms = now_ms + CONFIRM_WAIT_MS
        return [
            SendRelay(
                number,
                host,
                self.direct.final_ms,
                self._gather.round_trip_ms(host),
                route.attempts_limit,
                is_counted=self.direct.request.is_counted,
                is_gathered=True,
            )
        ]

    def _take_over(
        self, now_ms: float, withdrawals: list[HandoverAction]
    ) -> list[HandoverAction]:
        """Search by another strong host, or from here, instead of the last host.

        These are repeat attempts if a host may have sent some.
        """
        direct = self.direct
        if self.relays.possible_runs:
            services = [part.service for part in direct.parts]
            if not self._planner.pay(services, direct.route, now_ms):
                self._gather.counts["takeovers_unpaid"] += 1
                return [] if self.relays.open else self._refuse()
            # The first host may have sent one attempt for each shard, but no hedges.
            direct.route = direct.route._replace(attempts_limit=1)
            direct.request = direct.request._replace(is_counted=True)
        self._gather.counts["takeovers"] += 1
        host = self._choose(now_ms) if len(self.relays) < HOSTS_LIMIT else None
        if host is not None and host not in self.relays.hosts:
            return withdrawals + self._send_to(host, now_ms)
        return withdrawals + self._start_direct(now_ms)

    def _follow(
        self, actions: Iterable[RunAction], now_ms: float
    ) -> list[HandoverAction]:
        """Pass on the direct run's actions; a failure waits while a host may answer.

        An answer from here ends the search at the hosts.
        """
        if not self._is_gathered or not self.relays.open:
            return super()._follow(actions, now_ms)
        followed: list[HandoverAction] = []
        for action in actions:
            if not isinstance(action, Conclude):
                followed.append(action)
            elif isinstance(action.result, BurdockmillError):
                self._fallback = action
            else:
                followed += self._conclude(action)
        return followed
