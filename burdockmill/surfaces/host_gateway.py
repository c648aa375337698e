"""State what the peers' and operators' surfaces need of the host they serve."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockmill.explanation import Explanation
    from burdockmill.messages.peer import PeerBatch
    from burdockmill.names import HostId, RequestId


class HostSettings(Protocol):
    """Hold the settings that the surfaces look at."""

    @property
    def peer_key(self) -> str:
        """Return the key that all hosts share; it may be empty."""

    @property
    def fault_switch(self) -> bool:
        """Tell whether operators may cut this host off from others."""


class HostGateway(ABC):
    """State what the peers' and operators' surfaces need of a host."""

    @property
    @abstractmethod
    def host_settings(self) -> HostSettings:
        """Return the settings that the surfaces look at."""

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Tell whether new requests may be sent here."""

    @property
    @abstractmethod
    def stopping(self) -> bool:
        """Tell whether a planned stop has begun."""

    @abstractmethod
    def count_refusal(self, surface: str, kind: str) -> None:
        """Count what a surface refused, by the kind of its error."""

    @abstractmethod
    def receive(self, batch: PeerBatch) -> int:
        """Take a peer's batch; return how many messages it held."""

    @abstractmethod
    def explain(self, request_id: RequestId) -> Explanation:
        """Return the decisions this host still remembers of a request."""

    @abstractmethod
    async def explain_all(self, request_id: RequestId) -> Explanation:
        """Return the decisions of this host and of the owners it used."""

    @abstractmethod
    def status(self) -> Mapping[str, object]:
        """Return the status of this host and what it sees of the fleet."""

    @abstractmethod
    def block_hosts(self, hosts: frozenset[HostId]) -> None:
        """Send nothing to these hosts, as if the network were cut."""

    @abstractmethod
    def metrics_text(self, accept: tuple[str, ...]) -> tuple[bytes, str]:
        """Return the metrics and their content type."""
