"""Run a host of the users' platform that reaches its upstreams through proxies.

PROXIES maps the address of each upstream to that of its proxy, as JSON.
"""

import json
import os

from burdockmill.clients import forwarding_client
from burdockmill.clients._upstream_pool import UpstreamPool
from burdockmill.platform.daemon import main

PROXIES = "PROXIES"


class ProxiedPool(UpstreamPool):
    """Connect to the proxy of an address."""

    proxy_by_address = json.loads(os.environ.get(PROXIES, "{}"))

    def __init__(self, address, limit, counts):
        super().__init__(self.proxy_by_address.get(address, address), limit, counts)
        self.address = address


if __name__ == "__main__":
    forwarding_client.UpstreamPool = ProxiedPool
    main()
