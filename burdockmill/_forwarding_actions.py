"""Carry out what the core of a forwarding host decides."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from burdockmill.errors import Ran
from burdockmill.forwarding.upstream_notices import Incarnation
from burdockmill.messages.actions import Announce, LogDecision, SendToPeer
from burdockmill.messages.events import CatalogChanged, PeerUnreachable
from burdockmill.messages.limits import TokensChanged
from burdockmill.messages.reach import LinkTestWanted, ReachChanged

if TYPE_CHECKING:
    from burdockmill.forwarding_node import ForwardingNode
    from burdockmill.messages.actions import Action

MILLISECONDS_PER_SECOND = 1_000
# Interval at which the buffered decisions are written to the log.
FLUSH_INTERVAL_MS = 100.0
# Failures of actions of the same type are logged this often at most.
FAILURE_LOG_INTERVAL_MS = 10_000.0


class ForwardingActions:
    """Send messages, log decisions, and tell the data path what has changed."""

    def __init__(self, node: ForwardingNode) -> None:
        self._node = node
        self._flush_timer: asyncio.TimerHandle | None = None
        self._logged_ms_by_type: dict[type, float] = {}

    def run(self, actions: list[Action], now_ms: float) -> None:
        """Carry out the actions of a tick, each though another one may fail."""
        for action in actions:
            try:
                self._run_action(action, now_ms)
            except Exception:
                self._node.counts["actions_failed"] += 1
                self._log_failure(action, now_ms)
        self._node.data_path.follow_hosts(now_ms)

    def log_decision(self, decision: LogDecision, now_ms: float) -> None:
        """Add a decision to the log, which is written soon."""
        self._node.decisions.add(decision, now_ms)
        self.schedule_flush()

    def schedule_flush(self) -> None:
        """Write the buffered decisions to the log within FLUSH_INTERVAL_MS."""
        if self._flush_timer is None:
            self._flush_timer = asyncio.get_running_loop().call_later(
                FLUSH_INTERVAL_MS / MILLISECONDS_PER_SECOND, self.flush
            )

    def flush(self) -> None:
        """Write the buffered decisions to the log now."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        self._node.decisions.flush()

    def _run_action(self, action: Action, now_ms: float) -> None:
        data_path = self._node.data_path
        match action:
            case LogDecision():
                self.log_decision(action, now_ms)
            case SendToPeer():
                self._send_to_peer(action)
            case Announce(event=CatalogChanged() as change):
                data_path.follow_catalog(change, now_ms)
            case Announce(event=LinkTestWanted(services=services)):
                data_path.test_links(services)
            case Announce(event=ReachChanged()):
                data_path.forwarder.reconsider()
            case Announce(event=TokensChanged() as tokens):
                data_path.gate.on_change(Incarnation(*tokens), now_ms)

    def _send_to_peer(self, action: SendToPeer) -> None:
        member = self._node.engine.world.member_by_host.get(action.host)
        if member is None:
            self._node.post(PeerUnreachable(action.host, action.message, Ran.NO))
            return
        self._node.peers.send(action.host, member.peer_address, action.message)

    def _log_failure(self, action: Action, now_ms: float) -> None:
        logged_ms = self._logged_ms_by_type.get(type(action))
        if logged_ms is None or now_ms - logged_ms >= FAILURE_LOG_INTERVAL_MS:
            self._logged_ms_by_type[type(action)] = now_ms
            logger.exception("core: an action failed ({}).", type(action).__name__)
