"""Close connections that hold too much, or whose peers neither send nor read."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple, Protocol

from loguru import logger

from burdockmill.policies.connection_memory import (
    DECODED_SHARE,
    ConnectionMemory,
    memory_limit,
)
from burdockmill.policies.transfer_watch import TransferLimit
from burdockmill.surfaces._parse_turns import ParseTurns, TakesTurns

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.forwarding.routes import IngressLimits
    from burdockmill.forwarding.settings import ForwardingSettings

DEFAULT_MEMORY_BYTES = 64 * 1024 * 1024
SWEEP_S = 1.0
# Of the memory limit.
PRESSED_SHARE = 0.5
MILLISECONDS_PER_SECOND = 1_000
# Closed connections are logged together, at most this often.
LOG_INTERVAL_S = 10.0


class GuardedConnection(TakesTurns, Protocol):
    """Describe a connection that the guard may close."""

    def check_progress(self, now_s: float) -> None:
        """Close the connection if its peer neither sends nor reads."""

    def abort(self) -> None:
        """Close the connection at once; drop what was not sent."""


class GuardLimits(NamedTuple):
    """Limit what connections hold together, and how slow a transfer may be."""

    memory_bytes: Callable[[], int] = lambda: DEFAULT_MEMORY_BYTES
    transfer: TransferLimit = TransferLimit()


class ClientGuard:
    """Watch the connections of all surfaces that share it.

    All state is of this process. `counts` has the connections closed, by cause.
    """

    def __init__(self, limits: GuardLimits | None = None) -> None:
        self.limits = limits or GuardLimits()
        self.counts: Counter[str] = Counter()
        self.turns = ParseTurns()
        self._memory: ConnectionMemory[GuardedConnection] = ConnectionMemory(
            self.limits.memory_bytes()
        )
        self._connections: set[GuardedConnection] = set()
        self._is_sweeping = False
        self._unlogged: Counter[str] = Counter()
        self._next_log_s = 0.0

    @property
    def held_bytes(self) -> int:
        """Return what all connections hold, as estimated from their bytes."""
        return self._memory.held_bytes

    @property
    def is_pressed(self) -> bool:
        """Return whether connections hold so much that all have to take turns."""
        return self._memory.held_bytes > self._memory.limit_bytes * PRESSED_SHARE

    @property
    def decoded_limit_bytes(self) -> float:
        """Return how much the values of one body may hold once they are decoded."""
        return self._memory.limit_bytes * DECODED_SHARE

    def add(self, connection: GuardedConnection) -> None:
        """Watch a new connection."""
        self._connections.add(connection)
        if not self._is_sweeping:
            self._is_sweeping = True
            asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)

    def remove(self, connection: GuardedConnection) -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)
        self._memory.release(connection)

    def record(self, connection: GuardedConnection, held_bytes: int) -> None:
        """Set what a connection holds; close the heaviest ones above the limit."""
        if connection not in self._connections:
            return
        if not self._memory.record(connection, held_bytes):
            for heaviest in self._memory.take_excess():
                self.close(heaviest, "closed_for_memory")

    def close(self, connection: GuardedConnection, cause: str) -> None:
        """Close a connection, count why and log it now and then."""
        self.remove(connection)
        connection.abort()
        self.count(cause)

    def count(self, cause: str) -> None:
        """Count a connection that is closed, and log it now and then."""
        self.counts[cause] += 1
        self._unlogged[cause] += 1
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_log_s:
            return
        self._next_log_s = now_s + LOG_INTERVAL_S
        logger.warning(
            "client: closed connections outside the limits: {}; all others hold"
            " {} bytes.",
            dict(self._unlogged),
            self._memory.held_bytes,
        )
        self._unlogged.clear()

    def _sweep(self) -> None:
        self._memory.limit_bytes = self.limits.memory_bytes()
        now_s = asyncio.get_running_loop().time()
        for connection in tuple(self._connections):
            connection.check_progress(now_s)
        self._is_sweeping = bool(self._connections)
        if self._is_sweeping:
            asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)


def client_guard_of(
    settings: ForwardingSettings, limits: Callable[[], IngressLimits]
) -> ClientGuard:
    """Return the guard of a host's surfaces; `limits` are the operators' limits."""

    def memory_bytes() -> int:
        return memory_limit(
            settings.memory_mb,
            settings.client_memory_share,
            settings.client_memory_bytes,
            limits().header_bytes,
            limits().body_bytes,
        )

    transfer = TransferLimit(
        settings.client_stall_ms / MILLISECONDS_PER_SECOND,
        settings.client_least_bytes_per_s,
    )
    return ClientGuard(GuardLimits(memory_bytes, transfer))
