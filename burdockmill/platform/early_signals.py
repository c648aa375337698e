"""Handle signals before the rest of the program is loaded.

Without a handler a signal ends the process at once, with a failure. This module imports
nothing that is slow to load.
"""

from __future__ import annotations

# The signal module loads others, which would delay the listening for clients.
import _signal
import os


def handle_early_signals() -> None:
    """End cleanly on SIGTERM and ignore SIGHUP, until the host has its own handlers.

    A change of the settings that was indicated meanwhile is found by polling.
    """
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    _signal.signal(_signal.SIGTERM, _end)


def _end(_signal_number: int, _frame: object) -> None:
    # No client was read from yet; an exception could be lost in the import under way.
    os._exit(os.EX_OK)
