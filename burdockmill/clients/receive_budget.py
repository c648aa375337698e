"""Bound the bytes of all answers that one process is receiving."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from burdockmill.clients.receive_turns import ReceiveTurns
from burdockmill.clients.receiver import SMALL_ANSWER_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.clients.receiver import Receiver

# Without a stated memory, answers that are being received take this much at most.
RECEIVING_LIMIT_BYTES = 64 * 1024 * 1024
# Received bytes are copied when they are parsed and joined, and leave gaps when freed.
MEMORY_SHARE = 1.0 / 16.0
LEAST_LIMIT_BYTES = 3 * 1024 * 1024
# While all others take less than this share of the limit, one answer may exceed it.
OTHERS_SHARE = 0.5
BYTES_PER_MEGABYTE = 1024 * 1024
# Exchanges that expect more than this share of the limit take turns, until they expect
# less than the second one.
TURNS_SHARE = 0.5
RELIEVED_SHARE = 0.25
# How often it is looked which exchanges may begin.
ADMISSION_S = 0.01


class ReceiveBudget:
    """Count the bytes that upstreams have sent in exchanges that are not over.

    `received_bytes` is how many these are. `counts` says how often exchanges started
    to take turns, and how many were cut off.
    """

    def __init__(
        self,
        limit_bytes: int = RECEIVING_LIMIT_BYTES,
        call_later: Callable[[float, Callable[[], None]], object] | None = None,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._call_later = call_later
        self._expected_bytes_by_receiver: dict[Receiver, int] = {}
        self._expected_bytes = 0
        self._turns: ReceiveTurns | None = None
        self._is_scheduled = False
        self.received_bytes = 0
        self.counts: Counter[str] = Counter()

    @classmethod
    def of_memory(cls, memory_mb: float) -> ReceiveBudget:
        """Return the budget of a process with a stated memory, 0 if it is unknown."""
        if not memory_mb:
            return cls()
        limit_bytes = int(memory_mb * BYTES_PER_MEGABYTE * MEMORY_SHARE)
        return cls(max(LEAST_LIMIT_BYTES, limit_bytes))

    def start(self, receiver: Receiver) -> None:
        """Count the bytes of an exchange from now on."""
        self._expected_bytes_by_receiver[receiver] = 0
        if self._turns is not None:
            self._turns.start(receiver)

    def add(self, receiver: Receiver, size_bytes: int) -> None:
        """Count bytes that are received; hold or cut off exchanges if they are many."""
        self.received_bytes += size_bytes
        while self.received_bytes > self._limit_bytes and self._cut_off_largest():
            pass
        self.expect(receiver)

    def expect(self, receiver: Receiver) -> None:
        """Count what an exchange expects now; hold exchanges if it is much."""
        known_bytes = self._expected_bytes_by_receiver.get(receiver)
        if known_bytes is None:
            return
        expected_bytes = receiver.expected_bytes
        self._expected_bytes_by_receiver[receiver] = expected_bytes
        self._expected_bytes += expected_bytes - known_bytes
        if self._turns is not None:
            self._turns.note_bytes(receiver)
            self._turns.give()
        elif self._expected_bytes > self._limit_bytes * TURNS_SHARE:
            self.counts["turns_started"] += 1
            self._turns = ReceiveTurns(
                self._expected_bytes_by_receiver, self._limit_bytes
            )
            self._turns.give()
            self._schedule()

    def end(self, receiver: Receiver) -> None:
        """Discount the bytes of an exchange that is over; it may have been cut off."""
        expected_bytes = self._expected_bytes_by_receiver.pop(receiver, None)
        if expected_bytes is None:
            return
        self._expected_bytes -= expected_bytes
        self.received_bytes -= receiver.received_bytes
        if self._turns is None:
            return
        self._turns.end(receiver)
        if self._expected_bytes > self._limit_bytes * RELIEVED_SHARE:
            self._turns.give()
            return
        self._turns.close()
        self._turns = None

    def _cut_off_largest(self) -> bool:
        """Cut off the answer that is most likely to have no end, if one has to be."""
        largest = max(
            self._expected_bytes_by_receiver, key=lambda one: one.received_bytes
        )
        others_bytes = self.received_bytes - largest.received_bytes
        is_alone = others_bytes <= self._limit_bytes * OTHERS_SHARE
        if is_alone or largest.received_bytes <= SMALL_ANSWER_BYTES:
            return False
        self.counts["cut_off"] += 1
        largest.cut_off()
        self.end(largest)
        return True

    def _schedule(self) -> None:
        if self._is_scheduled:
            return
        self._is_scheduled = True
        call_later = self._call_later or asyncio.get_running_loop().call_later
        call_later(ADMISSION_S, self._admit)

    def _admit(self) -> None:
        self._is_scheduled = False
        if self._turns is None:
            return
        self._turns.admit()
        self._schedule()
