"""Define how requests are read from clients and written to upstreams."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from aiohttp import web
    from multidict import CIMultiDict

    from burdockmill.clients.no_retry_session import HttpResponse
    from burdockmill.errors import BurdockmillError
    from burdockmill.forwarding.messages import (
        AttemptOutcome,
        ForwardedRequest,
        MergedAnswer,
        Ownership,
        Registration,
        UpstreamAnswer,
    )
    from burdockmill.names import RequestId


class IngressCodec(ABC):
    """Read clients' requests and write their answers."""

    @abstractmethod
    async def read(self, request: web.BaseRequest, now_ms: float) -> ForwardedRequest:
        """Return a request read in full; raise a BurdockmillError if it is invalid."""

    @abstractmethod
    def response(self, result: UpstreamAnswer | MergedAnswer) -> web.Response:
        """Return the response for an answered request."""

    @abstractmethod
    def error_response(
        self, error: BurdockmillError, request_id: RequestId
    ) -> web.Response:
        """Return the response for a refused or failed request."""


class UpstreamCodec(ABC):
    """Write attempts to upstreams, and read their responses."""

    @abstractmethod
    def headers(
        self, request: ForwardedRequest, upstream: Registration, remaining_ms: float
    ) -> CIMultiDict[str]:
        """Return the headers of an attempt; `remaining_ms` is its remaining time."""

    @abstractmethod
    def ownership(
        self, request: ForwardedRequest, headers: Mapping[str, str]
    ) -> Ownership:
        """Return whether response headers state that they belong to a request."""

    @abstractmethod
    def outcome(self, exchanged: HttpResponse) -> AttemptOutcome:
        """Return the outcome that a complete response stands for."""
