"""Serve on the platform: `python -m burdockmill.platform`."""

from __future__ import annotations

from burdockmill.platform.early_listen import listen_early

if __name__ == "__main__":
    ingress_socket = listen_early()

    from burdockmill.platform.daemon import main

    main(ingress_socket)
