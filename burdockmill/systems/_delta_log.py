"""Keep the latest deltas of the rules for hosts that missed some."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from burdockmill.messages.fleet import RulesResponse
from burdockmill.rules.store import DELTA_LIMIT_BYTES, delta_size_bytes

if TYPE_CHECKING:
    from burdockmill.messages.fleet import RulesDelta
    from burdockmill.names import Revision
    from burdockmill.rules.store import RulesStore

DELTAS_KEPT = 64


class DeltaLog:
    """Store a chain of deltas that ends at the active revision."""

    def __init__(self) -> None:
        self._deltas: deque[RulesDelta] = deque(maxlen=DELTAS_KEPT)

    def add(self, delta: RulesDelta) -> None:
        """Append the delta that led to the active revision.

        A delta that is too large empties the log instead.
        """
        if delta.too_large:
            self._deltas.clear()
            return
        self._deltas.append(delta)

    def make_response(self, revision: Revision, store: RulesStore) -> RulesResponse:
        """Return the deltas since a revision, or else the manifest of all chunks.

        The manifest is for a revision that the log does not reach back to, and for
        deltas that are too large together.
        """
        chain = list(self._deltas)
        bases = [delta.base for delta in chain]
        if revision and revision in bases:
            deltas = chain[bases.index(revision) :]
            if sum(map(delta_size_bytes, deltas)) <= DELTA_LIMIT_BYTES * 2:
                return RulesResponse(store.revision, deltas, [])
        return RulesResponse(store.revision, [], list(store.manifest))
