"""Write an upstream's replies with the selected faults."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

from burdockmill.standins.server import break_connection, json_response

if TYPE_CHECKING:
    from burdockmill.standins.faults import Faults

GARBAGE = b'{"hits": [[739'


class ReplyWriter:
    """Write replies; keep the last answer, which the fault `crossed` sends again."""

    def __init__(self) -> None:
        self._last: dict[str, Any] | None = None

    async def write(
        self, request: web.BaseRequest, answer: dict[str, Any], faults: Faults
    ) -> web.StreamResponse:
        """Return the response with an answer, changed by the faults."""
        previous, self._last = self._last, answer
        if faults.drop_after_running:
            return break_connection(request)
        if faults.garbage:
            return web.Response(body=GARBAGE, content_type="application/json")
        if faults.crossed:
            answer = _crossed(answer, previous)
        if faults.wrong_snapshot and "snapshot" in answer:
            answer = answer | {"snapshot": answer["snapshot"] + 1}
        if faults.cut_hits and "hits" in answer:
            answer = answer | {"hits": answer["hits"][:-1]}
        if faults.truncated:
            return await _truncated(request, msgspec.json.encode(answer))
        return json_response(answer)


def _crossed(answer: dict[str, Any], previous: dict[str, Any] | None) -> dict[str, Any]:
    if previous is None or previous["request_id"] == answer["request_id"]:
        return answer | {"request_id": answer["request_id"] + "-other"}
    return previous


async def _truncated(request: web.BaseRequest, body: bytes) -> web.StreamResponse:
    response = web.StreamResponse()
    response.content_type = "application/json"
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    if request.transport is not None:
        request.transport.close()
    return response
