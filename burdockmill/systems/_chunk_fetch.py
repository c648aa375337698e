"""Fetch the chunks of a revision's rules text from one host."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockmill.messages.fleet import ChunkText, RulesResponse
    from burdockmill.names import HostId
    from burdockmill.rules.store import RulesStore

CHUNKS_PER_REQUEST = 4


class ChunkFetch:
    """Track the chunks of an offered revision; request damaged ones again."""

    def __init__(
        self, host: HostId, response: RulesResponse, store: RulesStore
    ) -> None:
        self.host = host
        self.response = response
        self.text_by_digest: dict[str, str] = {}
        digests = dict.fromkeys(chunk.digest for chunk in response.chunks)
        self._missing = [digest for digest in digests if not store.has_chunk(digest)]
        self._requested: set[str] = set()

    @property
    def is_complete(self) -> bool:
        """Return whether no chunk is missing."""
        return not self._missing

    def accept(self, chunk: ChunkText) -> bool:
        """Store a missing chunk unless it is damaged; return whether it was missing."""
        if chunk.digest not in self._missing:
            return False
        data = chunk.text.encode(errors="surrogateescape")
        self._requested.discard(chunk.digest)
        if hashlib.sha256(data).hexdigest() == chunk.digest:
            self._missing.remove(chunk.digest)
            self.text_by_digest[chunk.digest] = chunk.text
        return True

    def next_request(self) -> list[str]:
        """Return the digests to request next; none while a request is open."""
        if self._requested:
            return []
        digests = self._missing[:CHUNKS_PER_REQUEST]
        self._requested.update(digests)
        return digests
