"""Run the actions that the core returns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from burdockmill.errors import Ran
from burdockmill.messages.actions import (
    Answer,
    CancelAtUpstream,
    ClosePool,
    LogDecision,
    ReadHealth,
    SendToPeer,
    SendToUpstream,
)
from burdockmill.messages.events import PeerUnreachable
from burdockmill.messages.peer import ActionRequest, WorkRequest

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Iterable

    from burdockmill._waiters import Waiters
    from burdockmill.clients.peer_client import PeerClient
    from burdockmill.clients.upstream_client import UpstreamClient
    from burdockmill.decision_log import DecisionLog
    from burdockmill.messages.actions import Action
    from burdockmill.messages.events import Event
    from burdockmill.world import World


class ActionRunner:
    """Run actions through the clients, the decision log and the waiters."""

    def __init__(
        self,
        world: World,
        upstreams: UpstreamClient,
        peers: PeerClient,
        waiters: Waiters,
        decisions: DecisionLog,
        post: Callable[[Event], None],
        counts: Counter[str],
    ) -> None:
        self._world = world
        self._upstreams = upstreams
        self._peers = peers
        self._waiters = waiters
        self._decisions = decisions
        self._post = post
        self._counts = counts

    def run(self, actions: Iterable[Action], now_ms: float) -> None:
        """Run each action; log and count an action that fails, and go on."""
        for action in actions:
            try:
                self._run_one(action, now_ms)
            except Exception:
                self._counts["actions_failed"] += 1
                logger.exception("core: action {} failed.", type(action).__name__)
        self._decisions.flush()

    def _run_one(self, action: Action, now_ms: float) -> None:
        match action:
            case LogDecision():
                self._decisions.add(action, now_ms)
            case Answer():
                self._waiters.complete(action)
            case SendToPeer():
                self._send_to_peer(action)
            case SendToUpstream():
                self._upstreams.send(action)
            case CancelAtUpstream():
                self._upstreams.cancel(action)
            case ReadHealth():
                self._upstreams.read_health(action)
            case ClosePool():
                self._upstreams.close_pool(action)

    def _send_to_peer(self, action: SendToPeer) -> None:
        member = self._world.member_by_host.get(action.host)
        if member is None:
            self._post(PeerUnreachable(action.host, action.message, Ran.NO))
            return
        match action.message:
            case WorkRequest(request_id=request_id):
                self._decisions.record_owner(request_id, action.host)
            case ActionRequest(request=request):
                self._decisions.record_owner(request.request_id, action.host)
        self._peers.send(action.host, member.peer_address, action.message)
