"""Let exchanges take turns at reading while they have received a lot together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.clients.receiver import SMALL_ANSWER_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.clients.receiver import Receiver

# So many exchanges without anything to read are read, to notice that they ended.
IDLE_TURNS = 4
# An answer of which less than SMALL_ANSWER_BYTES comes in so many admissions is slow.
SLOW_ADMISSIONS = 10


class ReceiveTurns:
    """Hold exchanges whose answers are large until there is room for them.

    Those that began go on in the order in which they did, as their ends make room.
    Small answers do not wait for large ones, and no answer waits for what a slow one
    has not sent.
    """

    def __init__(self, receivers: Iterable[Receiver], limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._waiting: dict[Receiver, None] = {}
        # What each had received when its speed was last looked at.
        self._seen_bytes_by_begun: dict[Receiver, int] = {}
        self._slow: set[Receiver] = set()
        self._admissions = 0
        # Those that have begun, and are read.
        self._reading: set[Receiver] = set()
        for receiver in receivers:
            self.start(receiver)
            self.note_bytes(receiver)

    def start(self, receiver: Receiver) -> None:
        """Add an exchange that has received nothing."""
        self._waiting[receiver] = None
        receiver.hold()

    def note_bytes(self, receiver: Receiver) -> None:
        """Note that an exchange has received some, or expects more."""
        is_large = receiver.expected_bytes > SMALL_ANSWER_BYTES
        if is_large and receiver in self._waiting:
            del self._waiting[receiver]
            self._seen_bytes_by_begun[receiver] = receiver.received_bytes
            self._reading.add(receiver)
            receiver.resume()

    def end(self, receiver: Receiver) -> None:
        """Leave out an exchange that is over."""
        self._waiting.pop(receiver, None)
        self._seen_bytes_by_begun.pop(receiver, None)
        self._slow.discard(receiver)
        self._reading.discard(receiver)
        receiver.resume()

    def close(self) -> None:
        """Let all exchanges read."""
        for receiver in (*self._waiting, *self._seen_bytes_by_begun):
            receiver.resume()

    def give(self) -> None:
        """Let as many of those that began go on as there is room for, at least one."""
        chosen: set[Receiver] = set()
        room_bytes = self._limit_bytes
        for receiver in self._seen_bytes_by_begun:
            room_bytes -= self._needed_bytes(receiver)
            if room_bytes < 0 and chosen:
                break
            chosen.add(receiver)
        for receiver in self._reading - chosen:
            receiver.hold()
        for receiver in chosen - self._reading:
            receiver.resume()
        self._reading = chosen

    def admit(self) -> None:
        """Let more begin as far as there is room for them."""
        self._admissions += 1
        if self._admissions % SLOW_ADMISSIONS == 0:
            self._find_slow()
        taken_bytes = sum(map(self._needed_bytes, self._seen_bytes_by_begun))
        room_bytes = self._limit_bytes - taken_bytes
        mean_bytes = taken_bytes // max(1, len(self._seen_bytes_by_begun))
        idle_turns = IDLE_TURNS
        for receiver in list(self._waiting):
            pending_bytes = receiver.pending_bytes
            is_read = 0 < pending_bytes <= SMALL_ANSWER_BYTES
            if not pending_bytes and idle_turns:
                is_read = True
                idle_turns -= 1
                del self._waiting[receiver]
                self._waiting[receiver] = None
            elif pending_bytes > SMALL_ANSWER_BYTES:
                needed_bytes = max(pending_bytes, mean_bytes)
                is_read = needed_bytes <= room_bytes
                room_bytes -= needed_bytes * is_read
            if is_read:
                receiver.resume()
            else:
                receiver.hold()

    def _needed_bytes(self, receiver: Receiver) -> int:
        if receiver in self._slow:
            return receiver.received_bytes
        return receiver.expected_bytes

    def _find_slow(self) -> None:
        for receiver, seen_bytes in self._seen_bytes_by_begun.items():
            received_bytes = receiver.received_bytes
            self._seen_bytes_by_begun[receiver] = received_bytes
            # What a held connection has to read came as well.
            came_bytes = received_bytes - seen_bytes + receiver.pending_bytes
            if came_bytes < SMALL_ANSWER_BYTES:
                self._slow.add(receiver)
            else:
                self._slow.discard(receiver)
        self.give()
