"""Identify the code of a process by a digest of its sources."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from xxhash import xxh3_64

if TYPE_CHECKING:
    from collections.abc import Iterator

PACKAGE = Path(__file__).parent
SOURCES = "*.py"


def code_digest(package: Path = PACKAGE) -> str:
    """Return 16 hexadecimal digits that change with any module of a package.

    The digest is of the files as they are on disk now. Raise OSError if one of them
    cannot be read.
    """
    *_, digest = _digests(package)
    return digest


async def code_digest_in_steps(package: Path = PACKAGE) -> str:
    """Return the digest; let other tasks run after each module."""
    digest = ""
    for so_far in _digests(package):
        digest = so_far
        await asyncio.sleep(0)
    return digest


def _digests(package: Path) -> Iterator[str]:
    """Yield the digest of the modules so far, after each of them."""
    digest = xxh3_64()
    for path in sorted(package.rglob(SOURCES)):
        digest.update(path.relative_to(package).as_posix().encode() + b"\0")
        source = path.read_bytes()
        digest.update(len(source).to_bytes(8, "big") + source)
        yield digest.hexdigest()
