"""Take an earlier build of the code from the repository's history."""

from __future__ import annotations

import io
import shutil
import subprocess
import tarfile
import tempfile
from pathlib import Path

ROOT = Path(__file__).parents[1]
# The modules that start hosts speak to nobody, so each build is started by the same.
STARTING_MODULES = ("soak/__init__.py", "soak/host.py", "soak/proxied_host.py")


class PreviousBuild:
    """Hold the code of a commit in a folder, which is removed at the end."""

    def __init__(self, commit: str) -> None:
        self._commit = commit
        self._folder: Path | None = None

    def __enter__(self) -> Path:
        words = ["git", "archive", "--format=tar", self._commit, "burdockmill"]
        done = subprocess.run(words, cwd=ROOT, capture_output=True, check=True)
        self._folder = Path(tempfile.mkdtemp(prefix="previous-build-")).resolve()
        with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
            archive.extractall(self._folder, filter="data")
        for name in STARTING_MODULES:
            target = self._folder / name
            target.parent.mkdir(exist_ok=True)
            shutil.copy(ROOT / name, target)
        return self._folder

    def __exit__(self, *_: object) -> None:
        if self._folder is not None:
            shutil.rmtree(self._folder)
