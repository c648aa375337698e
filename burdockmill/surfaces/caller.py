"""Serve callers: searches, fetches, actions, tickets and explanations."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

from aiohttp import web

from burdockmill.errors import UnknownRequestError
from burdockmill.messages.actions import TicketAnswer
from burdockmill.messages.events import RequestReceived
from burdockmill.messages.peer import NO_BODY
from burdockmill.rules.model import RequestKind
from burdockmill.surfaces._caller_input import (
    active_rules,
    authenticate,
    authorize,
    check_key,
    read_action,
    read_deadline_ms,
    read_search,
    read_ticket_key,
)
from burdockmill.surfaces._caller_output import response_body
from burdockmill.surfaces._http import (
    REQUEST_ID,
    error_middleware,
    health_routes,
    json_response,
)
from burdockmill.surfaces._tickets import read_ticket, ticket_body

if TYPE_CHECKING:
    from burdockmill.names import CallerId, RequestId
    from burdockmill.surfaces.gateway import Gateway

RECENT_REQUESTS_LIMIT = 10_000


def caller_app(gateway: Gateway) -> web.Application:
    """Return the callers' application; it needs a runner with handler_cancellation."""
    surface = _CallerSurface(gateway)
    app = web.Application(
        middlewares=[error_middleware(gateway, "caller")],
    )
    app.add_routes(
        [
            web.post("/v1/services/{service}/search", surface.search),
            web.get("/v1/services/{service}/records/{key}", surface.fetch),
            web.post("/v1/services/{service}/actions", surface.run_action),
            web.post("/v1/services/{service}/tickets", surface.issue_ticket),
            web.get("/v1/requests/{request_id}/explain", surface.explain),
            *health_routes(gateway),
        ]
    )
    return app


class _CallerSurface:
    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._caller_by_request: OrderedDict[RequestId, CallerId] = OrderedDict()

    async def search(self, request: web.Request) -> web.Response:
        caller_request = self._validate(request, RequestKind.SEARCH)
        body = await read_search(
            self._gateway, request, self._remaining_ms(caller_request)
        )
        return await self._respond(
            caller_request._replace(body=body.query, limit=body.limit)
        )

    async def fetch(self, request: web.Request) -> web.Response:
        caller_request = self._validate(request, RequestKind.FETCH)
        key = check_key(request.match_info["key"])
        return await self._respond(caller_request._replace(key=key))

    async def run_action(self, request: web.Request) -> web.Response:
        caller_request = self._validate(request, RequestKind.ACTION)
        body = await read_action(
            self._gateway, request, self._remaining_ms(caller_request)
        )
        caller_request = caller_request._replace(key=body.key, body=body.action)
        ticket = read_ticket(self._gateway, request, caller_request)
        return await self._respond(caller_request._replace(ticket=ticket))

    async def issue_ticket(self, request: web.Request) -> web.Response:
        caller_request = self._validate(request, RequestKind.ACTION)
        key = await read_ticket_key(
            self._gateway, request, self._remaining_ms(caller_request)
        )
        return await self._respond(caller_request._replace(key=key, wants_ticket=True))

    async def explain(self, request: web.Request) -> web.Response:
        caller = authenticate(self._gateway, request)
        request_id = request.match_info["request_id"]
        if self._caller_by_request.get(request_id) != caller:
            raise UnknownRequestError("This caller made no such request here.")
        return json_response(await self._gateway.explain_with_owners(request_id))

    def _validate(self, request: web.Request, kind: RequestKind) -> RequestReceived:
        now_ms = self._gateway.clock.now_ms()
        caller = authenticate(self._gateway, request)
        service = request.match_info["service"]
        rule = authorize(active_rules(self._gateway), caller, service, kind)
        remaining_ms = read_deadline_ms(request, rule.deadline_ms)
        return RequestReceived(
            request_id=request[REQUEST_ID],
            kind=kind,
            service=service,
            caller=caller,
            deadline_ms=now_ms + remaining_ms,
            limit=1,
            key="",
            body=NO_BODY,
        )

    def _remaining_ms(self, caller_request: RequestReceived) -> float:
        return caller_request.deadline_ms - self._gateway.clock.now_ms()

    async def _respond(self, caller_request: RequestReceived) -> web.Response:
        self._record_caller(caller_request)
        try:
            answer = await self._gateway.handle_request(caller_request)
        except asyncio.CancelledError:
            self._gateway.leave(caller_request.request_id)
            raise
        if isinstance(answer, TicketAnswer):
            return json_response(ticket_body(self._gateway, answer))
        return json_response(response_body(caller_request.request_id, answer))

    def _record_caller(self, caller_request: RequestReceived) -> None:
        self._caller_by_request[caller_request.request_id] = caller_request.caller
        if len(self._caller_by_request) > RECENT_REQUESTS_LIMIT:
            self._caller_by_request.popitem(last=False)
