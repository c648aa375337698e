"""Choose free loopback addresses."""

from __future__ import annotations

import os
import socket

STANDIN_INDEX = 200

_given: set[str] = set()


def host_ip(index: int) -> str:
    """Return a loopback IP that differs by process and index."""
    return f"127.{60 + os.getpid() % 120}.{os.getpid() // 120 % 250}.{10 + index}"


def standin_address() -> str:
    """Return an address for a stand-in, on an IP that no connection starts from."""
    return free_address(host_ip(STANDIN_INDEX))


def free_address(ip: str) -> str:
    """Return an address that is free now and was not given before."""
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            address = f"{ip}:{probe.getsockname()[1]}"
        if address not in _given:
            _given.add(address)
            return address


def parts(address: str) -> tuple[str, int]:
    """Return the IP and the port of an address."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
