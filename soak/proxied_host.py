"""Run a host of the users' platform whose connections go through proxies.

PROXIES maps the addresses that it connects to, as JSON. The first line tells which
folder the code is from.
"""

import json
import os
import socket
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiohappyeyeballs
from aiohappyeyeballs import AddrInfoType

import burdockmill
from burdockmill.platform.daemon import main

PROXIES = "PROXIES"
connect = aiohappyeyeballs.start_connection
proxy_by_address = json.loads(os.environ.get(PROXIES, "{}"))


async def connect_to_proxy(
    addr_infos: Sequence[AddrInfoType],
    **options: Any,  # noqa: ANN401
) -> socket.socket:
    """Connect to the proxies of addresses."""
    replaced = []
    for family, kind, protocol, name, address in addr_infos:
        proxy = proxy_by_address.get(f"{address[0]}:{address[1]}")
        if proxy is not None:
            ip, port = proxy.split(":")
            address = (ip, int(port))
        replaced.append((family, kind, protocol, name, address))
    return await connect(replaced, **options)


def run() -> None:
    """Run the host until it is stopped."""
    code = Path(burdockmill.__file__).parents[1]
    print(json.dumps({"code": str(code)}), flush=True)
    aiohappyeyeballs.start_connection = connect_to_proxy
    main()
