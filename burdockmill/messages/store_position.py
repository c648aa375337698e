"""Define the order of the states of the platform's store."""

from __future__ import annotations

from typing import NamedTuple

from burdockmill.names import Era, Revision


class StorePosition(NamedTuple):
    """Order the states of the store by its era, then by its revision in that era.

    The era rises each time the store restarts from a copy that lacks its latest
    changes; revisions after the copy are then assigned again.
    """

    era: Era = 0
    revision: Revision = 0
