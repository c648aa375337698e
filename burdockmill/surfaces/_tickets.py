"""Sign tickets for callers and verify those that callers send.

A ticket is an idempotency key that the fleet issues for one action on a record key.
"""

from __future__ import annotations

import hashlib
import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from typing import TYPE_CHECKING, TypedDict

import msgspec

from burdockmill.errors import BadTicketError, OtherActionError
from burdockmill.messages.peer import Ticket

if TYPE_CHECKING:
    from aiohttp import web

    from burdockmill.messages.actions import TicketAnswer
    from burdockmill.messages.events import RequestReceived
    from burdockmill.surfaces.gateway import Gateway

TICKET_HEADER = "Idempotency-Key"
TICKET_LIMIT_BYTES = 2_048
KEY_PURPOSE = b"burdockmill ticket 1"

_DECODER = msgspec.json.Decoder(Ticket)


class TicketBody(TypedDict):
    """Describe an issued ticket."""

    ticket: str
    expires_in_ms: int


def ticket_body(gateway: Gateway, answer: TicketAnswer) -> TicketBody:
    """Return the body of a response with a signed ticket."""
    return TicketBody(
        ticket=sign(answer.ticket, gateway.settings.peer_key),
        expires_in_ms=int(answer.lifetime_ms),
    )


def read_ticket(
    gateway: Gateway, request: web.Request, caller_request: RequestReceived
) -> Ticket | None:
    """Return the request's ticket; raise BadTicketError or OtherActionError."""
    values = request.headers.getall(TICKET_HEADER, [])
    if not values:
        return None
    if len(values) > 1:
        raise BadTicketError(f"There is more than one {TICKET_HEADER}.")
    ticket = verify(values[0], gateway.settings.peer_key)
    bound_to = (ticket.caller, ticket.service, ticket.key)
    if bound_to != (caller_request.caller, caller_request.service, caller_request.key):
        raise OtherActionError("This ticket is for another caller, service or key.")
    return ticket


def sign(ticket: Ticket, peer_key: str) -> str:
    """Return a ticket as text, with a MAC that needs the fleet's peer key."""
    payload = msgspec.json.encode(ticket)
    return f"{_text(payload)}.{_text(_mac(payload, peer_key))}"


def verify(text: str, peer_key: str) -> Ticket:
    """Return the ticket in a signed text; raise BadTicketError."""
    if len(text) > TICKET_LIMIT_BYTES:
        raise BadTicketError(f"The ticket exceeds {TICKET_LIMIT_BYTES} bytes.")
    payload_text, _, mac_text = text.partition(".")
    try:
        payload = urlsafe_b64decode(payload_text)
        mac = urlsafe_b64decode(mac_text)
    except (Base64Error, ValueError) as error:
        raise BadTicketError("The ticket is malformed.") from error
    if not hmac.compare_digest(mac, _mac(payload, peer_key)):
        raise BadTicketError("The ticket was not issued by this fleet.")
    return _DECODER.decode(payload)


def _mac(payload: bytes, peer_key: str) -> bytes:
    key = hmac.digest(peer_key.encode(), KEY_PURPOSE, hashlib.sha256)
    return hmac.digest(key, payload, hashlib.sha256)


def _text(data: bytes) -> str:
    return urlsafe_b64encode(data).decode()
