"""Generate the page of metrics: `python -m burdockmill.metrics_page`."""

from __future__ import annotations

from pathlib import Path

from burdockmill.metrics import LABEL_VALUES_LIMIT, LATENCY_BUCKETS_SECONDS, METRICS

PAGE = Path(__file__).parent.parent / "docs" / "METRICS.md"


def render_page() -> str:
    """Return the whole page as Markdown."""
    buckets = ", ".join(str(bucket) for bucket in LATENCY_BUCKETS_SECONDS)
    rows = [
        f"| `{metric.name}` | {metric.kind} | {', '.join(metric.labels) or 'none'} |"
        f" {metric.help_text} |"
        for metric in METRICS
    ]
    return "\n".join(
        [
            "# Metrics",
            "",
            "Generated from the code by `python -m burdockmill.metrics_page`.",
            "`GET /metrics` at the operators' address returns them as Prometheus text;",
            "each has the label `host`. No label holds a request, a caller or a key.",
            f"A part has at most {LABEL_VALUES_LIMIT} names; others count as `other`.",
            "",
            "| metric | type | labels | meaning |",
            "| --- | --- | --- | --- |",
            *rows,
            "",
            f"Buckets of the histogram, in seconds: {buckets}.",
            "",
            "Events of the part `urgency` count what is refused in favour of more",
            "urgent requests, with rank 2 also for higher ones: `held_rank_1` and",
            "`held_rank_2` for lack of room at upstreams, `busy_rank_1` and",
            "`busy_rank_2` for lack of processor time. `refused_for_room` counts",
            "attempts that found no room, `unplaced` requests that found none at any",
            "upstream, `shortages_begun` and `shortages_ended` changes of a service.",
            "",
            "[Operations](OPERATIONS.md) lists those to alert on.",
            "",
        ]
    )


if __name__ == "__main__":
    PAGE.write_text(render_page())
