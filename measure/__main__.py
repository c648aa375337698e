"""Run every measurement, then generate the pages with its figures."""

from __future__ import annotations

import importlib
import pkgutil

import measure
from measure import capacity_page
from measure.page import write_page

MODULES_WITHOUT_MEASUREMENT = {"__main__", "capacity_page", "page", "records"}


def main() -> None:
    """Run all measurement modules in turn, then write both pages."""
    for module in pkgutil.iter_modules(measure.__path__):
        if module.name in MODULES_WITHOUT_MEASUREMENT or module.name.startswith("_"):
            continue
        print(f"== {module.name}", flush=True)
        importlib.import_module(f"measure.{module.name}").main()
    write_page()
    capacity_page.write_page()


if __name__ == "__main__":
    main()
