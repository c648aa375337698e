"""Send requests to hosts as a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

from burdockmill.demo.fleet import CALLER_KEY, SERVICE

if TYPE_CHECKING:
    from burdockmill.names import Address

HEADERS = {"Authorization": f"Bearer {CALLER_KEY}", "Deadline-Ms": "2000"}


class Reply(NamedTuple):
    """Store an HTTP status and a decoded body."""

    status: int
    body: dict[str, Any]


class DemoClient:
    """Send requests to hosts with the demo caller's key and deadline."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(headers=HEADERS)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def search(self, address: Address, query: object, limit: int) -> Reply:
        """Search the demo's service."""
        body = {"query": query, "limit": limit}
        return await self._post(address, f"/v1/services/{SERVICE}/search", body)

    async def act(self, address: Address, key: str, action: object) -> Reply:
        """Run an action on a record."""
        body = {"key": key, "action": action}
        return await self._post(address, f"/v1/services/{SERVICE}/actions", body)

    async def fetch(self, address: Address, key: str) -> Reply:
        """Fetch a record by its key."""
        return await self._get(address, f"/v1/services/{SERVICE}/records/{key}")

    async def explain(self, address: Address, request_id: str) -> Reply:
        """Return the decisions made for a request."""
        return await self._get(address, f"/v1/requests/{request_id}/explain")

    async def _post(self, address: Address, path: str, body: object) -> Reply:
        url = f"http://{address}{path}"
        async with self._session.post(url, json=body) as response:
            return Reply(response.status, await response.json())

    async def _get(self, address: Address, path: str) -> Reply:
        async with self._session.get(f"http://{address}{path}") as response:
            return Reply(response.status, await response.json())
