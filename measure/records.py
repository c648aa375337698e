"""Write and read the records of measurements."""

from __future__ import annotations

import re
from pathlib import Path
from typing import NamedTuple, TypedDict

import msgspec

RESULTS = Path(__file__).parent / "results"
GOAL = re.compile(r"(<=|>=|==|<|>) (-?[0-9.]+)")


class Record(TypedDict):
    """Store one measured figure beside its baseline and goal."""

    figure: str
    value: float
    unit: str
    baseline: float | None
    goal: str | None
    seed: int | None
    command: str


class Figure(NamedTuple):
    """Describe a measured figure without its command; goals read like `<= 1.1`."""

    name: str
    value: float
    unit: str
    baseline: float | None = None
    goal: str | None = None
    seed: int | None = None


def write_records(name: str, figures: list[Figure]) -> None:
    """Write a measurement's figures to results/NAME.json and print them."""
    records = [
        Record(
            figure=figure.name,
            value=round(figure.value, 4),
            unit=figure.unit,
            baseline=None if figure.baseline is None else round(figure.baseline, 4),
            goal=figure.goal,
            seed=figure.seed,
            command=f"python -m measure.{name}",
        )
        for figure in figures
    ]
    RESULTS.mkdir(exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(records), indent=2)
    (RESULTS / f"{name}.json").write_bytes(encoded + b"\n")
    for record in records:
        print(line_of(record))


def read_records() -> dict[str, list[Record]]:
    """Return the committed records of each measurement by its name."""
    return {
        path.stem: msgspec.json.decode(path.read_bytes(), type=list[Record])
        for path in sorted(RESULTS.glob("*.json"))
    }


def is_met(record: Record) -> bool | None:
    """Return whether a record meets its goal; None when it has none."""
    if record["goal"] is None:
        return None
    match = GOAL.fullmatch(record["goal"])
    if match is None:
        raise ValueError(f"Goal {record['goal']!r} is not like '<= 1.1'.")
    sign, bound = match.group(1), float(match.group(2))
    value = record["value"]
    return {
        "<=": value <= bound,
        ">=": value >= bound,
        "==": value == bound,
        "<": value < bound,
        ">": value > bound,
    }[sign]


def line_of(record: Record) -> str:
    """Return the record as one readable line, with its verdict."""
    verdict = {None: "", True: "met", False: "NOT MET"}[is_met(record)]
    return (
        f"{record['figure']}: {record['value']} {record['unit']}"
        f" (baseline {record['baseline']}, goal {record['goal']}) {verdict}"
    )
