"""Identify a request by what an upstream runs, so that it is known when it returns.

Each time a client sends a request it has another id; its method, host, target, caller
and body stay the same.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from burdockmill.forwarding.messages import ForwardedRequest

RequestDigest = NewType("RequestDigest", str)

# Nobody can construct a request that has the digest of another client's request.
DIGEST_BYTES = 16
LENGTH_BYTES = 8


def digest_of(request: ForwardedRequest) -> RequestDigest:
    """Return the digest of what makes a request the same one, in hexadecimal."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for text in (request.method, request.host, request.target, request.caller):
        _add(digest, text.encode(errors="surrogateescape"))
    _add(digest, request.body)
    return RequestDigest(digest.hexdigest())


def _add(digest: blake2b, field: bytes) -> None:
    # The length keeps two fields apart from the same bytes divided otherwise.
    digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
    digest.update(field)
