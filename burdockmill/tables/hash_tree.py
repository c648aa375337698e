"""Digest a table as a hash tree, so that two hosts can compare it in few bytes."""

from __future__ import annotations

import xxhash

DIGEST_BITS = 48
FANOUT = 16
DEPTH = 2
NO_DIGEST = 0


def digest_of(text: str) -> int:
    """Return the digest of one row."""
    return xxhash.xxh64_intdigest(text.encode()) >> (64 - DIGEST_BITS)


def tree_path(key: str) -> str:
    """Return a key's path in the tree, one hexadecimal digit for each level."""
    return xxhash.xxh32_hexdigest(key.encode())[:DEPTH]


class HashTree:
    """Store one digest for each key, and their XOR for every path prefix."""

    def __init__(self) -> None:
        self._digest_by_key: dict[str, int] = {}
        self._keys_by_path: dict[str, set[str]] = {}
        self._digest_by_prefix: dict[str, int] = {}

    def set_digest(self, key: str, digest: int) -> None:
        """Set a key's digest; NO_DIGEST leaves it out of every prefix's digest."""
        previous = self._digest_by_key.get(key, NO_DIGEST)
        path = tree_path(key)
        self._digest_by_key[key] = digest
        self._keys_by_path.setdefault(path, set()).add(key)
        change = previous ^ digest
        for length in range(DEPTH + 1):
            prefix = path[:length]
            stored = self._digest_by_prefix.get(prefix, NO_DIGEST)
            self._digest_by_prefix[prefix] = stored ^ change

    def remove(self, key: str) -> None:
        """Remove a key; do nothing when it is absent."""
        if key in self._digest_by_key:
            self.set_digest(key, NO_DIGEST)
            del self._digest_by_key[key]
            self._keys_by_path[tree_path(key)].discard(key)

    def digest(self, prefix: str = "") -> int:
        """Return the digest of all keys below a prefix."""
        return self._digest_by_prefix.get(prefix, NO_DIGEST)

    def child_digests(self, prefix: str) -> list[int]:
        """Return the digests of the sixteen children of a prefix."""
        return [self.digest(f"{prefix}{digit:x}") for digit in range(FANOUT)]

    def keys(self, prefix: str) -> list[str]:
        """Return the keys below a prefix, sorted."""
        return sorted(
            key
            for path, keys in self._keys_by_path.items()
            if path.startswith(prefix)
            for key in keys
        )
