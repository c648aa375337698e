"""Identify the code of a process by a digest of its sources."""

from __future__ import annotations

from pathlib import Path

from xxhash import xxh3_64

PACKAGE = Path(__file__).parent
SOURCES = "*.py"


def code_digest(package: Path = PACKAGE) -> str:
    """Return 16 hexadecimal digits that change with any module of a package.

    The digest is of the files as they are on disk now. Raise OSError if one of them
    cannot be read.
    """
    digest = xxh3_64()
    for path in sorted(package.rglob(SOURCES)):
        digest.update(path.relative_to(package).as_posix().encode() + b"\0")
        source = path.read_bytes()
        digest.update(len(source).to_bytes(8, "big") + source)
    return digest.hexdigest()
