"""Serve on the platform: `python -m burdockmill.platform`."""

from __future__ import annotations

import gc
import time

from burdockmill.platform.early_signals import handle_early_signals

if __name__ == "__main__":
    handle_early_signals()
    # The clock of BootClock, which is loaded later.
    started_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000.0

    from burdockmill.platform.early_listen import listen_early

    ingress_socket = listen_early()
    # Loaded modules stay in memory: garbage collection during imports only takes time.
    gc.disable()

    from burdockmill.platform.daemon import main

    gc.freeze()
    gc.enable()
    main(ingress_socket, started_ms)
