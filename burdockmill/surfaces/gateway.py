"""Define the interface of a host to its surface for callers."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING

from burdockmill.surfaces.host_gateway import HostGateway

if TYPE_CHECKING:
    from burdockmill.clock import Clock
    from burdockmill.messages.actions import (
        ActionAnswer,
        FetchAnswer,
        SearchAnswer,
        TicketAnswer,
    )
    from burdockmill.messages.events import RequestReceived
    from burdockmill.names import RequestId
    from burdockmill.rules.model import RuleSet
    from burdockmill.settings import Settings


class Gateway(HostGateway):
    """Define what the surface for callers needs of a host."""

    settings: Settings
    clock: Clock

    @property
    def host_settings(self) -> Settings:
        """Return the settings of this host."""
        return self.settings

    @property
    @abstractmethod
    def rules(self) -> RuleSet | None:
        """Return the active rules, or None before the first revision."""

    @abstractmethod
    async def handle_request(
        self, asked: RequestReceived
    ) -> SearchAnswer | FetchAnswer | ActionAnswer | TicketAnswer:
        """Return the answer to a request; raise a BurdockmillError if it fails."""

    @abstractmethod
    def leave(self, request_id: RequestId) -> None:
        """Report that a request's caller has disconnected."""
