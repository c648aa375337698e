"""Decide which attempts of a request wait after others ended their upstreams."""

from __future__ import annotations

import math
from functools import cached_property
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.forwarding.canary_turns import Turn
from burdockmill.forwarding.messages import AttemptEnd
from burdockmill.forwarding.request_digest import digest_of
from burdockmill.forwarding.run_turns import RunTurns
from burdockmill.forwarding.standing import Standing
from burdockmill.policies.crash_blame import HELD_DEPTH

if TYPE_CHECKING:
    from collections.abc import Collection

    from burdockmill.forwarding.crash_guard import CrashGuard
    from burdockmill.forwarding.messages import (
        AttemptKind,
        AttemptOutcome,
        ForwardedRequest,
    )
    from burdockmill.forwarding.part_run import AttemptRow, PartRun
    from burdockmill.forwarding.request_digest import RequestDigest
    from burdockmill.names import DomainId, ServiceId

# Interval at which a run looks whether the canary of another one has ended.
CANARY_RECHECK_MS = 20.0
# An attempt that has not got its turn after this time is given up.
TURN_WAIT_MS = 2_000.0
# Ends that show that an upstream ran the request and went on.
ANSWERS = frozenset({AttemptEnd.ANSWERED, AttemptEnd.UPSTREAM_ERROR})


class WaitingAttempt(NamedTuple):
    """Store an attempt that waits for the end of another one, since a clock time."""

    part: PartRun
    kind: AttemptKind
    since_ms: float


class RunSuspicion:
    """Track the crashes under one request, and send one attempt at a time after any.

    After a crash without an answer the run is cautious: one attempt, the canary, is in
    flight, and other first attempts and retries wait for its end. Any answer shows that
    the request is innocent, and releases them.
    """

    def __init__(
        self, request: ForwardedRequest, is_search: bool, guard: CrashGuard
    ) -> None:
        self.is_cautious = False
        self.has_given_up = False
        self.canary: int | None = None
        self.waiting: list[WaitingAttempt] = []
        self._request: ForwardedRequest | None = request
        self._is_search = is_search
        self._guard = guard
        self._crashed_domains: set[DomainId] = set()
        self._turns = RunTurns(guard)
        self._refused_services: set[ServiceId] = set()
        self._has_answer = False
        self._canaries: set[int] = set()
        # Whether an attempt in flight has to be replaced since its upstream is silent.
        self._lacks_attempt = False
        self._recheck_ms = math.inf
        self._unanswered_keys: set[str] = set()
        self._known_depth: dict[tuple[int, str], int] = {}

    @cached_property
    def digest(self) -> RequestDigest:
        """Return the digest of the request, computed at its first use."""
        assert self._request is not None
        return digest_of(self._request)

    def release_request(self) -> None:
        """Compute the digest, and keep the request itself no longer."""
        if self.digest:
            self._request = None

    @property
    def has_crashes(self) -> bool:
        """Return whether an upstream seems to have ended under this request."""
        return bool(self._unanswered_keys)

    @property
    def avoided_domains(self) -> Collection[DomainId]:
        """Return the failure domains that the canary does not go to if it can."""
        return self._crashed_domains if self.is_cautious else ()

    @property
    def recheck_ms(self) -> float:
        """Return the clock time at which `take_waiting` is to be called again."""
        return self._recheck_ms if self.waiting else math.inf

    @property
    def is_urgent(self) -> bool:
        """Return whether others should know before this run has ended."""
        return self.is_cautious and self._guard.needs_turn(self.digest)

    @property
    def unanswered_keys(self) -> tuple[str, ...]:
        """Return the keys that crashed upstreams in this run, and got no answer."""
        return tuple(sorted(self._unanswered_keys))

    def admit(self, now_ms: float) -> bool:
        """Return whether the request may be sent at all."""
        if not self._guard.suspects:
            return True
        standing = self._turns.standing(self.digest, now_ms)
        self.is_cautious = standing is not Standing.TRUSTED
        return standing is not Standing.HELD

    def admit_part(self, service: ServiceId, now_ms: float) -> bool:
        """Return whether a shard's part may be sent."""
        if not self._is_search or not self._guard.suspects:
            return True
        standing = self._turns.standing(self._part_key(service), now_ms)
        return standing is not Standing.HELD

    def may_retry(self, service: ServiceId) -> bool:
        """Return whether a failed attempt at a part may be followed by another one."""
        self.follow_news()
        if self.has_given_up or service in self._refused_services:
            return False
        return not (self._is_search and self._guard.is_held(self._part_key(service)))

    def may_hedge(self, service: ServiceId) -> bool:
        """Return whether a part may be sent to a second upstream beside the first."""
        if self.is_cautious and (self.canary is not None or not self._lacks_attempt):
            return False
        return self.may_retry(service)

    def must_wait(self, part: PartRun, kind: AttemptKind, now_ms: float) -> bool:
        """Return whether an attempt has to wait for a canary; it is queued then."""
        self._recheck_ms = math.inf
        if self._turn(part.service, now_ms) is Turn.FREE:
            return False
        self.waiting.append(WaitingAttempt(part, kind, now_ms))
        return True

    def is_canary(self, service: ServiceId) -> bool:
        """Return whether the next attempt at a part is sent because of crashes."""
        if self.is_cautious or not (self._is_search and self._guard.suspects):
            return self.is_cautious
        return self._guard.needs_turn(self._part_key(service))

    def is_refused(self, service: ServiceId) -> bool:
        """Return whether no attempt at a part may be sent any more."""
        return self.has_given_up or service in self._refused_services

    def sent(self, attempt: int, service: ServiceId, now_ms: float) -> None:
        """Record an attempt; it is the canary if the run is cautious."""
        if self.is_cautious:
            self._guard.canary_sent(self.digest, now_ms)
            self.canary = attempt
            self._canaries.add(attempt)
            self._lacks_attempt = False
            self._turns.sent(self.digest)
        if self._guard.suspects:
            key = self._part_key(service)
            if self._is_search and self._turns.shard_sent(attempt, key, now_ms):
                self._canaries.add(attempt)
            for key in self._keys(service):
                if depth := self._guard.depth(key):
                    self._known_depth[attempt, key] = depth

    def take_waiting(self, now_ms: float) -> tuple[PartRun, AttemptKind] | None:
        """Remove and return an attempt that may be sent now, None if there is none.

        One that may not be sent any more is returned as well, as `is_refused` tells.
        """
        self._recheck_ms = math.inf
        self.waiting = [one for one in self.waiting if not one.part.is_complete]
        for index, one in enumerate(self.waiting):
            if not self.has_given_up and not self._is_due(one, now_ms):
                continue
            del self.waiting[index]
            return one.part, one.kind
        return None

    def ended(
        self,
        row: AttemptRow,
        service: ServiceId,
        outcome: AttemptOutcome,
        now_ms: float,
    ) -> None:
        """Record how an attempt ended."""
        # Its upstream may have fallen silent, which shows only later.
        is_decided = outcome.end is not AttemptEnd.SILENT
        was_canary = self._end_canary(row.number, is_decided)
        if outcome.end in ANSWERS:
            self._answered(service, now_ms)
        elif outcome.is_cut_off:
            self._crashed(row, service, was_canary, now_ms)
        elif not outcome.end.certainly_not_run:
            self._end_trials(service, now_ms)

    def fell_silent(self, row: AttemptRow, service: ServiceId, now_ms: float) -> None:
        """Record that an upstream fell silent under an attempt without a reply.

        The attempt may go on, and another one takes its place beside it. Its upstream
        may have ended before it was sent, unless it accepted the connection for it.
        """
        was_canary = self._end_canary(row.number)
        self._lacks_attempt = True
        if row.number not in self._canaries:
            for key in self._keys(service):
                depth = self._known_depth.get((row.number, key), 0)
                self._known_depth[row.number, key] = max(0, depth - 1)
        self._crashed(row, service, was_canary, now_ms, is_silent=True)

    def answered_elsewhere(self, now_ms: float) -> None:
        """Record that the request got an answer by way of another host."""
        if self._guard.suspects:
            self._guard.answered([self.digest], now_ms)

    def follow_news(self) -> None:
        """Give up if other hosts have found meanwhile that the request crashes.

        Caution ends if they have found that it does not.
        """
        if self.is_cautious and not self._turns.is_trial(self.digest):
            self.has_given_up |= self._guard.is_held(self.digest)
            if self.waiting and self.canary is None:
                self.is_cautious = self._guard.crash_count(self.digest) > 0

    def _is_due(self, waiting: WaitingAttempt, now_ms: float) -> bool:
        """Return whether a waiting attempt may be sent, or is given up."""
        service = waiting.part.service
        turn = self._turn(service, now_ms)
        if turn is not Turn.WAIT:
            return True
        if self.canary is not None or now_ms - waiting.since_ms < TURN_WAIT_MS:
            return False
        keys = self._keys(service)
        is_given_up = any(self._guard.needs_turn(key) for key in keys)
        if is_given_up:
            self._refused_services.add(service)
        return is_given_up

    def _turn(self, service: ServiceId, now_ms: float) -> Turn:
        """Return whether an attempt at a part may be sent, or why not.

        Set when to look again, as nothing tells a run of the end of another's canary.
        """
        if self.is_cautious:
            if self.canary is not None:
                return Turn.WAIT
            turn = self._turn_at(self.digest, now_ms)
            self.has_given_up |= turn is Turn.REFUSED
            if turn is not Turn.FREE:
                return turn
        if not self._is_search or not self._guard.suspects:
            return Turn.FREE
        turn = self._turn_at(self._part_key(service), now_ms)
        if turn is Turn.REFUSED:
            self._refused_services.add(service)
        return turn

    def _turn_at(self, key: str, now_ms: float) -> Turn:
        turn = self._turns.turn(key, now_ms)
        if turn is Turn.WAIT:
            self._recheck_ms = now_ms + CANARY_RECHECK_MS
        return turn

    def _end_canary(self, attempt: int, is_decided: bool = True) -> bool:
        """Record that a canary is over; return whether an attempt was the run's."""
        self._turns.shard_ended(attempt, is_decided)
        was_canary = self.canary == attempt
        if was_canary:
            self.canary = None
            self._guard.canary_ended(self.digest, is_decided)
        return was_canary

    def _answered(self, service: ServiceId, now_ms: float) -> None:
        """Record an answer: the request does not crash what runs it."""
        self._has_answer = True
        self.is_cautious = False
        self._turns.trial_keys -= set(self._keys(service))
        if self._guard.suspects:
            keys = self._keys(service)
            self._guard.answered(keys, now_ms)
            self._unanswered_keys -= set(keys)

    def _crashed(
        self,
        row: AttemptRow,
        service: ServiceId,
        was_canary: bool,
        now_ms: float,
        is_silent: bool = False,
    ) -> None:
        """Record that an upstream ended while it ran an attempt."""
        keys = self._keys(service)
        if self._has_answer:
            keys.remove(self.digest)
        else:
            self.is_cautious = True
        self._crashed_domains.add(row.upstream.domain)
        for key in keys:
            self._unanswered_keys.add(key)
            depth = self._known_depth.get((row.number, key), 0)
            self._guard.crashed(key, row.upstream, depth, now_ms, is_silent)
        self._end_trials(service, now_ms)
        if was_canary and self._guard.crash_count(self.digest) >= HELD_DEPTH:
            self.has_given_up = True

    def _end_trials(self, service: ServiceId, now_ms: float) -> None:
        """Record that an attempt which was a trial brought no answer."""
        for key in self._turns.trial_keys.intersection(self._keys(service)):
            self._turns.trial_keys.remove(key)
            self._guard.trial_failed(key, now_ms)
            self.has_given_up |= key == self.digest

    def _keys(self, service: ServiceId) -> list[str]:
        """Return the keys of the request, and of a shard's part of it."""
        return [self.digest, *([self._part_key(service)] if self._is_search else [])]

    def _part_key(self, service: ServiceId) -> str:
        return f"{self.digest}/{service}"
