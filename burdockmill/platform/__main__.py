"""Serve on the platform: `python -m burdockmill.platform`."""

from __future__ import annotations

from burdockmill.platform.daemon import main

if __name__ == "__main__":
    main()
