"""Check addresses of the form IP:PORT."""

from __future__ import annotations

import re
from ipaddress import AddressValueError, IPv4Address, IPv6Address

HIGHEST_PORT = 65_535
ADDRESS_PATTERN = re.compile(r"(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):([0-9]{1,5})")


def is_address(text: str, *, lowest_port: int = 1) -> bool:
    """Return whether the text is IPV4:PORT or [IPV6]:PORT."""
    match = ADDRESS_PATTERN.fullmatch(text)
    if match is None:
        return False
    ipv6, ipv4, port = match.groups()
    if not lowest_port <= int(port) <= HIGHEST_PORT:
        return False
    try:
        IPv4Address(ipv4) if ipv6 is None else IPv6Address(ipv6)
    except AddressValueError:
        return False
    return True
