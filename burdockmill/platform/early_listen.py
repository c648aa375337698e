"""Listen for clients before the rest of the program is loaded.

Loading takes a few hundred milliseconds. When many hosts start at once, a client whose
connection is refused finds no other host; one whose connection is accepted waits and
is answered once this host is ready. This module imports nothing that is slow to load.
"""

from __future__ import annotations

import os
import socket

from burdockmill.platform.wire_names import SETTINGS_VARIABLE

INGRESS_SETTING = "listen.front="
# About one second of new connections at the highest load; more would wait past their
# deadlines.
BACKLOG = 1_024


def listen_early() -> socket.socket | None:
    """Return a listening socket for clients, or None if that is not possible yet.

    Invalid settings are reported later, when all settings are checked.
    """
    address = _ingress_address()
    if address is None:
        return None
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
    except (OSError, OverflowError, ValueError):
        sock.close()
        return None
    sock.setblocking(False)
    return sock


def _ingress_address() -> str | None:
    try:
        with open(os.environ[SETTINGS_VARIABLE], encoding="utf-8") as lines:
            for line in lines:
                if line.startswith(INGRESS_SETTING):
                    return line.removeprefix(INGRESS_SETTING).strip()
    except (KeyError, OSError, UnicodeDecodeError):
        return None
    return None
