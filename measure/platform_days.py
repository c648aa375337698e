"""Read the figures of days run on the users' platform from the journal.

A day is one run of the users' bench, which rates it by its worth.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from measure.records import Figure, write_records

JOURNAL = Path(__file__).parent.parent / "journal"
# The worth of a plain forwarder with direct connections, run once, before the start; of
# the sites that came later, the worth before any change was made for them.
BASELINE_BY_DAY = {
    "tethermill": {
        "quiet-1": 0.82,
        "trouble-1": 0.57,
        "scale-1": 0.70,
        "trouble-2": 0.59,
        "scale-2": 0.43,
        "trouble-3": 0.70,
        "mean": 0.64,
    },
    "urlop-szukaj": {
        "quiet-1": 0.79,
        "trouble-1": 0.53,
        "scale-1": 0.59,
        "trouble-2": 0.74,
        "scale-2": 0.63,
        "trouble-3": 0.64,
        "mean": 0.65,
    },
    "tethermill-grown": {"quiet-1": 0.15, "trouble-1": -0.07, "scale-1": -0.22},
    "urlop-szukaj-grown": {"quiet-1": 0.10, "trouble-1": -0.60, "scale-1": -0.16},
    "himal-oon": {
        "quiet-1": 0.694,
        "trouble-1": 0.636,
        "scale-1": 0.662,
        "trouble-2": 0.666,
        "scale-2": 0.700,
        "trouble-3": 0.697,
        "mean_of_trouble": 0.672,
    },
    "himal-oon-grown": {
        "quiet-1": 0.487,
        "trouble-1": 0.329,
        "scale-1": 0.466,
        "trouble-2": 0.440,
        "scale-2": 0.461,
        "trouble-3": 0.332,
        "mean_of_trouble": 0.406,
    },
}
GOAL_BY_DAY = {
    "tethermill": {"quiet-1": ">= 0.84", "mean": ">= 0.72"},
    "urlop-szukaj": {"quiet-1": ">= 0.88", "mean": ">= 0.76"},
    "tethermill-grown": {"mean_of_trouble": ">= 0.50"},
    "urlop-szukaj-grown": {"mean_of_trouble": ">= 0.53"},
    "himal-oon": {"mean_of_trouble": ">= 0.70"},
    "himal-oon-grown": {"mean_of_trouble": ">= 0.42"},
}
# The days of these sites are run one by one.
SITES_RUN_BY_DAY = ("tethermill-grown", "urlop-szukaj-grown")
QUIET = "quiet"
# Options that leave out days or part of a day, or run a different one.
PARTIAL_OPTIONS = {"--until", "--no-cpu", "--small", "--seed", "--vary", "--quick"}
# The figure and unit of each cost of a day, by its name in the journal.
FIGURE_BY_COST_NAME = {
    "processor seconds": ("processor_s", "s"),
    "memory, GB x seconds": ("memory_gb_s", "GB s"),
    "GB between regions": ("between_regions_gb", "GB"),
    "new connections to servers": ("new_connections", "connections"),
    "cloud calls": ("store_calls", "calls"),
}


def read_journal(folder: Path = JOURNAL) -> list[dict[str, Any]]:
    """Return the entries of the journal, oldest first."""
    paths = sorted(folder.glob("*.json"))
    return [msgspec.json.decode(path.read_bytes()) for path in paths]


def newest_scores(entries: list[dict[str, Any]]) -> dict[str, list[dict[str, Any]]]:
    """Return the standard days of the newest complete score of each site."""
    return {
        entry["site"]: [
            day for day in entry["days"] if not day["name"].startswith("fresh-")
        ]
        for entry in entries
        if entry.get("cmd") == "score"
        and entry.get("score") is not None
        and _is_complete(entry)
    }


def newest_runs(entries: list[dict[str, Any]]) -> dict[str, list[dict[str, Any]]]:
    """Return the newest complete run of each standard day of the large sites."""
    days: dict[str, dict[str, dict[str, Any]]] = {}
    for entry in entries:
        if (
            entry.get("cmd") == "run"
            and _is_complete(entry)
            and entry["site"] in SITES_RUN_BY_DAY
        ):
            by_name = days.setdefault(entry["site"], {})
            by_name.update({day["name"]: day for day in entry["days"]})
    return {site: list(by_name.values()) for site, by_name in days.items()}


def _is_complete(entry: dict[str, Any]) -> bool:
    return not PARTIAL_OPTIONS.intersection(entry.get("argv", ()))


def figures_of(site: str, days: list[dict[str, Any]]) -> list[Figure]:
    """Return the figures of a site: those of each day and the mean worth."""
    baseline_by_day = BASELINE_BY_DAY.get(site, {})
    goal_by_day = GOAL_BY_DAY.get(site, {})
    figures: list[Figure] = []
    for day in days:
        name = day["name"]
        prefix = f"days.{site}.{name}"
        figures += [
            Figure(
                f"{prefix}.worth",
                day["G"],
                "worth",
                baseline_by_day.get(name),
                goal_by_day.get(name, f">= {day['top']}"),
                day["seed"],
            ),
            Figure(f"{prefix}.served", day["served"], "share", seed=day["seed"]),
            Figure(
                f"{prefix}.rules_broken",
                sum(day["rules"].values()),
                "breaks",
                goal="== 0",
                seed=day["seed"],
            ),
        ]
        for cost_name, amount, _ in day["prices"]:
            if cost_name in FIGURE_BY_COST_NAME:
                name, unit = FIGURE_BY_COST_NAME[cost_name]
                figures.append(Figure(f"{prefix}.{name}", amount, unit))
    name = "mean"
    if "mean_of_trouble" in goal_by_day:
        name = "mean_of_trouble"
        days = [day for day in days if day["slot"] != QUIET]
    mean = sum(day["G"] for day in days) / len(days)
    figures.append(
        Figure(
            f"days.{site}.{name}.worth",
            mean,
            "worth",
            baseline_by_day.get(name),
            goal_by_day.get(name),
        )
    )
    return figures


def main() -> None:
    """Write the records of the newest complete days of each site."""
    entries = read_journal()
    days_by_site = newest_scores(entries) | newest_runs(entries)
    figures: list[Figure] = []
    for site, days in sorted(days_by_site.items()):
        figures += figures_of(site, days)
    write_records("platform_days", figures)


if __name__ == "__main__":
    main()
