"""Define the faults that a stand-in upstream can inject."""

from __future__ import annotations

from typing import NamedTuple


class Faults(NamedTuple):
    """Select the faults that an upstream injects; none by default.

    `garbage` sends a body that is not JSON; `truncated` closes the connection in the
    middle of the body; `cut_hits` sends a well-formed body without its last hit.
    `crossed` answers with the id of another request, `wrong_snapshot` with another
    snapshot. `drop_before_running` and `drop_after_running` abort the connection before
    or after the attempt runs. `slow_factor` multiplies the service time.
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
