"""Give tests loopback addresses that no other process on the machine binds."""

import os
import socket

# The last number of the address of `free_address`; hosts as processes have lower ones.
FREE_ADDRESS_INDEX = 250
_given = set()


def loopback_ip_of(index):
    """Return a loopback address that no other test run uses."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 8) % 64}.{pid % 256}.{index + 1}"


def free_address(index=FREE_ADDRESS_INDEX):
    """Return an unused port of an address of this process, each one only once.

    Another process that binds any port of 127.0.0.1 cannot take it meanwhile.
    """
    ip = loopback_ip_of(index)
    while True:
        with socket.socket() as sock:
            sock.bind((ip, 0))
            address = f"{ip}:{sock.getsockname()[1]}"
        if address not in _given:
            _given.add(address)
            return address
