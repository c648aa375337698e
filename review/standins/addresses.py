"""Choose free loopback addresses."""

from __future__ import annotations

import os
import socket


def host_ip(index: int) -> str:
    """Return a loopback IP that differs by process and index."""
    return f"127.{60 + os.getpid() % 120}.{os.getpid() // 120 % 250}.{10 + index}"


def free_address(ip: str) -> str:
    """Return an address with a port that is free now."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return f"{ip}:{probe.getsockname()[1]}"


def parts(address: str) -> tuple[str, int]:
    """Return the IP and the port of an address."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
