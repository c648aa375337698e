"""Define the faults that a stand-in upstream can inject."""

from __future__ import annotations

from typing import NamedTuple


class Faults(NamedTuple):
    """Select the faults that an upstream injects; none by default.

    `truncated` closes the connection in the middle of the body; `cut_hits` sends a
    well-formed body without its last hit.
    """

    garbage: bool = False
    truncated: bool = False
    cut_hits: bool = False
    crossed: bool = False
    wrong_snapshot: bool = False
    drop_before_running: bool = False
    drop_after_running: bool = False
    slow_factor: float = 1.0


NO_FAULTS = Faults()
