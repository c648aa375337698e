"""Generate docs/MEASUREMENTS.md from the committed records."""

from __future__ import annotations

from pathlib import Path

from measure.records import Record, is_met, read_records

PAGE = Path(__file__).parent.parent / "docs" / "MEASUREMENTS.md"
HEAD = """# Measurements

Made by `python -m measure.page` from `measure/results/`; `make measure` runs all of
them again. Figures on the virtual clock repeat exactly; figures of real sockets and
of processor time vary with the machine, and stand beside a baseline of the same run.
"""
VERDICT = {None: "", True: "met", False: "**not met**"}


def page_text() -> str:
    """Return the text of the page, a table for each measurement."""
    parts = [HEAD]
    for name, records in read_records().items():
        parts.append(f"\n## {name}\n\n`python -m measure.{name}`\n\n")
        parts.append("| figure | value | unit | baseline | goal | verdict | seed |\n")
        parts.append("| --- | --- | --- | --- | --- | --- | --- |\n")
        parts.extend(_row(record) for record in records)
    return "".join(parts)


def write_page() -> None:
    """Generate the page again and write it."""
    PAGE.write_text(page_text())


def _row(record: Record) -> str:
    cells = (
        f"`{record['figure']}`",
        _number(record["value"]),
        record["unit"],
        _number(record["baseline"]),
        record["goal"] or "",
        VERDICT[is_met(record)],
        "" if record["seed"] is None else str(record["seed"]),
    )
    return f"| {' | '.join(cells)} |\n"


def _number(value: float | None) -> str:
    return "" if value is None else f"{value:g}"


if __name__ == "__main__":
    write_page()
