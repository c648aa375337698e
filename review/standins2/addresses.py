"""Give loopback addresses that nothing else on the machine uses."""

from __future__ import annotations

import os
import socket


def loopback_ip(index: int) -> str:
    """Return a loopback address of this process."""
    pid = os.getpid()
    return f"127.{128 + (pid >> 8) % 64}.{pid % 256}.{index + 1}"


def free_port(ip: str) -> int:
    """Return a port of an address that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]
