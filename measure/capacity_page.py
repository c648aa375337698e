"""Generate the tables of docs/CAPACITY.md from the measured slopes."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from measure._capacity_model import (
    MEASURED,
    TARGET,
    Load,
    control_loads,
    data_loads,
    platform_read_loads,
)
from measure.records import read_records

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
MARK = "<!-- {} made by python -m measure.capacity_page -->"


class Table(NamedTuple):
    """Store a generated table and the name in the two HTML comments around it."""

    name: str
    text: str


def tables() -> list[Table]:
    """Return all generated tables from the committed records."""
    value_by_figure = {
        record["figure"]: record["value"]
        for records in read_records().values()
        for record in records
    }
    return [
        Table("target", _target_text()),
        Table("slopes", _slopes_text(value_by_figure)),
        Table("data", _loads_text(data_loads(value_by_figure))),
        Table("control", _loads_text(control_loads(value_by_figure))),
        Table("reads", _loads_text(platform_read_loads(value_by_figure))),
    ]


def page_text(text: str) -> str:
    """Return the page with new tables; raise ValueError if a mark is missing."""
    for table in tables():
        begin, end = MARK.format(f"{table.name}:"), MARK.format(f"end of {table.name}")
        before, _, rest = text.partition(begin)
        _, found, after = rest.partition(end)
        if not found:
            raise ValueError(
                f"The marks of table {table.name!r} are missing from the page."
            )
        text = f"{before}{begin}\n{table.text}{end}{after}"
    return text


def write_page() -> None:
    """Generate the tables of the page again and write it."""
    PAGE.write_text(page_text(PAGE.read_text()))


def _target_text() -> str:
    rows = [f"| {name} | {value:,g} |" for name, value in TARGET.items()]
    return "\n".join(["| the target | |", "| --- | ---: |", *rows, ""])


def _slopes_text(value_by_figure: dict[str, float]) -> str:
    rows = [
        f"| `{figure}` | {value_by_figure[figure]:,.4g} | {unit} | {fitted} |"
        for figure, unit, fitted in MEASURED
    ]
    head = ["| slope | value | unit | measured over |", "| --- | ---: | --- | --- |"]
    return "\n".join([*head, *rows, ""])


def _loads_text(loads: list[Load]) -> str:
    head = [
        "| role | what | worked out as | a node | limit | verdict | mechanism |",
        "| --- | --- | --- | ---: | ---: | --- | --- |",
    ]
    return "\n".join([*head, *(_row(load) for load in loads), ""])


def _row(load: Load) -> str:
    limit = "" if load.limit is None else f"{load.limit:,g}"
    return (
        f"| {load.role} | {load.quantity} | {load.formula}"
        f" | {load.value:,.4g} {load.unit} | {limit}"
        f" | {_verdict(load)} | `{load.mechanism}` |"
    )


def _verdict(load: Load) -> str:
    if load.limit is None:
        return ""
    if load.value <= load.limit:
        return "met"
    return f"**not met, {load.value / load.limit:.3g} times**"


if __name__ == "__main__":
    write_page()
