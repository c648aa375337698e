"""Define the documents that the platform publishes."""

from __future__ import annotations

from typing import TypedDict


class ChunkEntry(TypedDict):
    """Store the name of a chunk of the rules and the SHA-256 digest of its bytes."""

    name: str
    digest: str


class Manifest(TypedDict):
    """List the chunks of a revision: GET /v1/config/manifest.

    The rules text is the chunks' texts joined in this order. A watch is
    GET /v1/config/watch?after=REVISION&wait_ms=N: it answers with a manifest as
    soon as its revision differs from `after`, or 204 after `wait_ms`.
    A chunk is GET /v1/config/chunks/DIGEST.
    """

    revision: int
    chunks: list[ChunkEntry]


class ListedHost(TypedDict):
    """Describe one host of the fleet; `peer_address` is IP:PORT."""

    host: str
    domain: str
    region: str
    peer_address: str
    leaving: bool


class HostList(TypedDict):
    """List hosts and leaving upstreams: GET /v1/hosts; it may be out of date.

    A watch is GET /v1/hosts/watch?after=VERSION&wait_ms=N, as for manifests.
    """

    version: int
    hosts: list[ListedHost]
    leaving_upstreams: list[str]
