"""Split the rules text into chunks for publishing, and join them again."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

import xxhash
from returns.result import Failure, Result, Success

from burdockmill.messages.platform import ChunkEntry, Manifest
from burdockmill.rules.grammar import tokenise

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from burdockmill.names import Revision

MAX_CHUNK_BYTES = 999_999
MIN_CHUNK_BYTES = 32_768
LINES_PER_BOUNDARY = 256
COMMON_CHUNK = "common"


class Chunk(NamedTuple):
    """Store a named part of the rules text, encoded as UTF-8."""

    name: str
    data: bytes

    @property
    def digest(self) -> str:
        """Return the SHA-256 digest of the bytes in hexadecimal."""
        return hashlib.sha256(self.data).hexdigest()


class ChunkProblem(NamedTuple):
    """Describe why a chunk cannot be used, and the remedy."""

    name: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"chunk {self.name}: {self.message}; {self.remedy}"


def split_rules(text: str) -> tuple[Chunk, ...]:
    """Split text that `parse_rules` accepts into common and per-service chunks."""
    lines_by_name: dict[str, list[bytes]] = {}
    for line in text.split("\n"):
        rule_line = line.removesuffix("\r")
        if rule_line:
            name = _chunk_name(rule_line)
            lines_by_name.setdefault(name, []).append(f"{rule_line}\n".encode())
    return tuple(
        chunk
        for name in sorted(lines_by_name)
        for chunk in _pack(name, lines_by_name[name])
    )


def make_manifest(text: str, revision: Revision) -> tuple[Manifest, dict[str, bytes]]:
    """Return the manifest of a revision and its chunks' bytes by digest."""
    chunks = split_rules(text)
    entries = [ChunkEntry(name=chunk.name, digest=chunk.digest) for chunk in chunks]
    data_by_digest = {chunk.digest: chunk.data for chunk in chunks}
    return Manifest(revision=revision, chunks=entries), data_by_digest


def join_chunks(
    manifest: Manifest, data_by_digest: Mapping[str, bytes]
) -> Result[str, tuple[ChunkProblem, ...]]:
    """Return the rules text, or a problem for each absent or damaged chunk."""
    parts: list[bytes] = []
    problems: list[ChunkProblem] = []
    for entry in manifest["chunks"]:
        chunk = Chunk(entry["name"], data_by_digest.get(entry["digest"], b""))
        if entry["digest"] not in data_by_digest:
            problems.append(
                ChunkProblem(chunk.name, "it is absent", "fetch it by its digest")
            )
        elif chunk.digest != entry["digest"]:
            problems.append(
                ChunkProblem(chunk.name, "its digest differs", "fetch it again")
            )
        parts.append(chunk.data)
    if problems:
        return Failure(tuple(problems))
    # Bytes that are not UTF-8 become lone surrogates, which the grammar refuses.
    return Success(b"".join(parts).decode(errors="surrogateescape"))


def _chunk_name(line: str) -> str:
    statements = tokenise(line).statements
    if not statements:
        return COMMON_CHUNK
    statement = statements[0]
    if statement.verb.text == "service":
        return f"service/{statement.name.text}"
    if statement.verb.text in {"shard", "allow"}:
        for pair in statement.pairs:
            if pair.key.text == "service":
                return f"service/{pair.value.text}"
    return COMMON_CHUNK


def _pack(name: str, lines: list[bytes]) -> Iterator[Chunk]:
    part = 1
    chunk_lines: list[bytes] = []
    chunk_bytes = 0
    for line in lines:
        is_full = chunk_bytes + len(line) > MAX_CHUNK_BYTES
        may_end = chunk_bytes >= MIN_CHUNK_BYTES and _ends_chunk(chunk_lines[-1])
        if chunk_lines and (is_full or may_end):
            yield Chunk(_part_name(name, part), b"".join(chunk_lines))
            part += 1
            chunk_lines = []
            chunk_bytes = 0
        chunk_lines.append(line)
        chunk_bytes += len(line)
    yield Chunk(_part_name(name, part), b"".join(chunk_lines))


def _ends_chunk(line: bytes) -> bool:
    # The hash of a line decides whether a chunk may end after it, so that an added
    # line does not move the boundaries of other chunks.
    return xxhash.xxh32_intdigest(line) % LINES_PER_BOUNDARY == 0


def _part_name(name: str, part: int) -> str:
    return name if part == 1 else f"{name}/{part}"
