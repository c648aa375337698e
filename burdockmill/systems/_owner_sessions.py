"""Track the process run of each owner and a lower bound of its clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.messages.actions import Action, SendToPeer
from burdockmill.messages.peer import SessionRequest

if TYPE_CHECKING:
    from burdockmill.messages.peer import SessionResponse
    from burdockmill.names import HostId
    from burdockmill.world import World

SESSION_MAX_AGE_MS = 10_000.0
SESSION_REFRESH_MS = 1_000.0
REQUEST_INTERVAL_MS = 50.0
CLOCK_DRIFT_MARGIN_MS = 2.0


class Session(NamedTuple):
    """Identify a process run of an owner, and relate its clock to the local one.

    The owner's clock is at least the local clock plus `offset_ms`.
    """

    run_id: str
    offset_ms: float
    received_ms: float
    asked_ms: float
    round_trip_ms: float

    def to_owner_clock(self, at_ms: float) -> float:
        """Convert a local time to a lower bound of the owner's clock at that time."""
        return at_ms + self.offset_ms - CLOCK_DRIFT_MARGIN_MS


class OwnerSessions:
    """Store one session per host, and request it again as it ages."""

    def __init__(self) -> None:
        self._session_by_host: dict[HostId, Session] = {}
        self._requested_ms_by_host: dict[HostId, float] = {}
        self._incarnation_by_host: dict[HostId, int] = {}

    def find(self, world: World, host: HostId, now_ms: float) -> Session | None:
        """Return a host's session; None if unknown or older than SESSION_MAX_AGE_MS.

        It is discarded when the host announces itself again, as after a restart.
        """
        member = world.member_by_host.get(host)
        incarnation = 0 if member is None else member.incarnation
        if self._incarnation_by_host.get(host, incarnation) != incarnation:
            self.discard(host)
        self._incarnation_by_host[host] = incarnation
        session = self._session_by_host.get(host)
        if session is None or now_ms - session.received_ms > SESSION_MAX_AGE_MS:
            return None
        return session

    def request_if_due(self, world: World, host: HostId, now_ms: float) -> list[Action]:
        """Request a host's session unless it is fresh or was just requested."""
        session = self.find(world, host, now_ms)
        if session is not None and now_ms - session.asked_ms < SESSION_REFRESH_MS:
            return []
        requested_ms = self._requested_ms_by_host.get(host)
        if requested_ms is not None and now_ms - requested_ms < REQUEST_INTERVAL_MS:
            return []
        self._requested_ms_by_host[host] = now_ms
        return [SendToPeer(host, SessionRequest(now_ms))]

    def apply_response(
        self, host: HostId, response: SessionResponse, now_ms: float
    ) -> None:
        """Apply a session response; ignore one to an older request.

        One to a request from the future was meant for an earlier process of this host,
        whose clock was ahead.
        """
        if response.asked_ms > now_ms:
            return
        current = self._session_by_host.get(host)
        if current is not None and response.asked_ms < current.asked_ms:
            return
        offset_ms = response.clock_ms - now_ms
        if current is not None and current.run_id == response.run_id:
            age_ms = now_ms - current.received_ms
            # The larger offset is the tighter bound; keep it for half the maximum age.
            if age_ms < SESSION_MAX_AGE_MS / 2 and current.offset_ms > offset_ms:
                self._session_by_host[host] = current._replace(
                    asked_ms=response.asked_ms
                )
                return
        self._session_by_host[host] = Session(
            response.run_id,
            offset_ms,
            now_ms,
            response.asked_ms,
            now_ms - response.asked_ms,
        )

    def discard(self, host: HostId) -> None:
        """Discard a host's session, so that it is requested again."""
        self._session_by_host.pop(host, None)
        self._requested_ms_by_host.pop(host, None)
