"""Take the figures of played days on the users' platform from the journal."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from measure.records import Figure, write_records

JOURNAL = Path(__file__).parent.parent / "journal"
# The worth of a plain forwarder with direct connections, played once before the start.
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
}
GOAL_BY_DAY = {
    "tethermill": {"quiet-1": ">= 0.84", "mean": ">= 0.72"},
    "urlop-szukaj": {"quiet-1": ">= 0.88", "mean": ">= 0.76"},
}
# What a day was charged for, by the journal's words, and the unit of the amount.
AMOUNTS = {
    "processor seconds": ("processor_s", "s"),
    "memory, GB x seconds": ("memory_gb_s", "GB s"),
    "GB between regions": ("between_regions_gb", "GB"),
    "new connections to servers": ("new_connections", "connections"),
    "cloud calls": ("store_calls", "calls"),
}


def newest_scores() -> dict[str, dict[str, Any]]:
    """Return the newest whole score of each site."""
    scores: dict[str, dict[str, Any]] = {}
    for path in sorted(JOURNAL.glob("*.json")):
        entry = msgspec.json.decode(path.read_bytes())
        if entry.get("cmd") == "score" and entry.get("score") is not None:
            scores[entry["site"]] = entry
    return scores


def figures_of(site: str, entry: dict[str, Any]) -> list[Figure]:
    """Return a site's figures, a few for each standard day."""
    baseline_by_day = BASELINE_BY_DAY.get(site, {})
    goal_by_day = GOAL_BY_DAY.get(site, {})
    days = [day for day in entry["days"] if not day["name"].startswith("fresh-")]
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
        for word, amount, _ in day["prices"]:
            if word in AMOUNTS:
                name, unit = AMOUNTS[word]
                figures.append(Figure(f"{prefix}.{name}", amount, unit))
    mean = sum(day["G"] for day in days) / len(days)
    figures.append(
        Figure(
            f"days.{site}.mean.worth",
            mean,
            "worth",
            baseline_by_day.get("mean"),
            goal_by_day.get("mean"),
        )
    )
    return figures


def main() -> None:
    """Write the records of the newest score of each site."""
    figures: list[Figure] = []
    for site, entry in sorted(newest_scores().items()):
        figures += figures_of(site, entry)
    write_records("platform_days", figures)


if __name__ == "__main__":
    main()
