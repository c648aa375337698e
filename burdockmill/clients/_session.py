"""Open HTTP sessions that never resend a request on their own."""

from __future__ import annotations

from aiohttp import BaseConnector, ClientSession, ClientTimeout, DummyCookieJar

NO_TIMEOUT = ClientTimeout(total=None, connect=None, sock_connect=None)


def open_session(connector: BaseConnector) -> ClientSession:
    """Return a session without retries, cookies, proxies or timeouts."""
    session = ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        timeout=NO_TIMEOUT,
        trust_env=False,
    )
    session._retry_connection = False
    return session
