"""Define the interface of a host to its surfaces for peers and operators."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockmill.explanation import Explanation
    from burdockmill.messages.peer import PeerBatch
    from burdockmill.names import HostId, RequestId


class HostSettings(Protocol):
    """Define the settings that the surfaces use."""

    @property
    def peer_key(self) -> str:
        """Return the key that all hosts share; it may be empty."""

    @property
    def fault_switch(self) -> bool:
        """Return whether operators may simulate a network partition of this host."""


class HostGateway(ABC):
    """Define what the surfaces for peers and operators need of a host."""

    @property
    @abstractmethod
    def host_settings(self) -> HostSettings:
        """Return the settings that the surfaces use."""

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Return whether this host accepts new requests."""

    @property
    @abstractmethod
    def stopping(self) -> bool:
        """Return whether a planned stop has begun."""

    @abstractmethod
    def count_refusal(self, surface: str, kind: str) -> None:
        """Count a refusal by its surface and error kind."""

    @abstractmethod
    def receive_batch(self, batch: PeerBatch) -> int:
        """Queue a batch's messages and count them; raise StoppingError if stopped."""

    @abstractmethod
    def explain(self, request_id: RequestId) -> Explanation:
        """Return the decisions on a request that this host still has."""

    @abstractmethod
    async def explain_with_owners(self, request_id: RequestId) -> Explanation:
        """Return the decisions of this host, and of owners it asked, on a request."""

    @abstractmethod
    def status(self) -> Mapping[str, object]:
        """Return the status of this host and its view of the fleet."""

    @abstractmethod
    def block_hosts(self, hosts: frozenset[HostId]) -> None:
        """Send no batches to these hosts, to simulate a network partition."""

    @abstractmethod
    def metrics_text(self, accept: tuple[str, ...]) -> tuple[bytes, str]:
        """Return the metrics and their content type."""
