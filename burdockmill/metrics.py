"""Publish counters, gauges and latencies through aioprometheus."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, cast

from aioprometheus import Counter, Gauge, Histogram, Registry, render

if TYPE_CHECKING:
    from collections.abc import Mapping

    from aioprometheus.collectors import Collector

LATENCY_BUCKETS_SECONDS = (0.005, 0.01, 0.02, 0.04, 0.08, 0.095, 0.16, 0.32, 0.64, 1.3)
LABEL_VALUES_LIMIT = 200
OTHER_VALUE = "other"
MILLISECONDS_PER_SECOND = 1_000
GAUGE_NAMES = frozenset({"action_records", "tickets_spent_kept"})


class MetricKind(StrEnum):
    """Enumerate the kinds of metrics."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class Metric(NamedTuple):
    """Describe a metric; each label takes a bounded set of values."""

    name: str
    kind: MetricKind
    labels: tuple[str, ...]
    help_text: str


ANSWER_SECONDS = Metric(
    "burdockmill_answer_seconds",
    MetricKind.HISTOGRAM,
    ("kind", "outcome"),
    "Time from request to answer, by kind of request and outcome.",
)
REFUSALS = Metric(
    "burdockmill_refusals_total",
    MetricKind.COUNTER,
    ("surface", "kind"),
    "Requests and connections answered with an error, by HTTP interface (surface) and "
    "kind of error.",
)
EVENTS = Metric(
    "burdockmill_events_total",
    MetricKind.COUNTER,
    ("part", "name"),
    "Events counted by a component (part) of the host, such as drops and refusals.",
)
RECORDS_KEPT = Metric(
    "burdockmill_records_kept",
    MetricKind.GAUGE,
    ("name",),
    "Records in memory, by table; the size of each table is limited.",
)
READY = Metric(
    "burdockmill_ready", MetricKind.GAUGE, (), "1 while the host accepts new requests."
)
REVISION = Metric(
    "burdockmill_rules_revision", MetricKind.GAUGE, (), "Revision of the active rules."
)
STORE_ERA = Metric(
    "burdockmill_store_era",
    MetricKind.GAUGE,
    (),
    "Era of the platform's store that the catalog is from; it rises when the store "
    "restarts without its latest changes.",
)
ISOLATED = Metric(
    "burdockmill_isolated",
    MetricKind.GAUGE,
    (),
    "1 while this host reaches no upstream.",
)
RULES_AGE = Metric(
    "burdockmill_rules_age_seconds",
    MetricKind.GAUGE,
    (),
    "Time since the active rules changed on this host; on a forwarding host, since its "
    "catalog was last confirmed to be current.",
)
TASK_RUNNING = Metric(
    "burdockmill_task_running",
    MetricKind.GAUGE,
    ("task",),
    "1 while a long-lived task of the host runs, 0 after it ended.",
)
TASK_SINCE = Metric(
    "burdockmill_task_since_seconds",
    MetricKind.GAUGE,
    ("task",),
    "Time since a long-lived task was last started, or since it ended.",
)
STORE_STATE = Metric(
    "burdockmill_store_state",
    MetricKind.GAUGE,
    ("state",),
    "1 for the end of this host's last call to the store: answers, away, unreadable,"
    " or not_read while other hosts read it.",
)
STORE_ITEMS_SET_ASIDE = Metric(
    "burdockmill_store_items_set_aside",
    MetricKind.GAUGE,
    (),
    "Items of the store that this host cannot read; the status page names them.",
)
STORE_ANSWER_AGE = Metric(
    "burdockmill_store_answer_age_seconds",
    MetricKind.GAUGE,
    (),
    "Time since this host last read the store successfully; -1 if it has not yet.",
)
CATALOG_BEHIND = Metric(
    "burdockmill_catalog_behind_seconds",
    MetricKind.GAUGE,
    (),
    "Time since a peer reported a newer catalog that this host still lacks, else 0.",
)
SETTINGS_REPLACED = Metric(
    "burdockmill_settings_replaced",
    MetricKind.GAUGE,
    (),
    "Settings that are missing or malformed, so that their last valid value or a "
    "default is in force.",
)
REFUSED_REVISION = Metric(
    "burdockmill_rules_refused_revision",
    MetricKind.GAUGE,
    (),
    "Newest revision that failed validation; 0 if none did.",
)
MEMBERS = Metric(
    "burdockmill_members",
    MetricKind.GAUGE,
    ("state",),
    "Hosts as this host sees them: alive, suspect, leaving or dead.",
)
REQUESTS_OPEN = Metric(
    "burdockmill_requests_open",
    MetricKind.GAUGE,
    (),
    "Requests that wait for an answer.",
)
ATTEMPTS_OWNED = Metric(
    "burdockmill_attempts_owned",
    MetricKind.GAUGE,
    (),
    "Attempts queued or in progress at upstreams that this host owns.",
)
CONNECTIONS_OPEN = Metric(
    "burdockmill_connections_open",
    MetricKind.GAUGE,
    ("surface",),
    "Open connections, by HTTP interface (surface).",
)
METRICS = (
    ANSWER_SECONDS,
    REFUSALS,
    EVENTS,
    RECORDS_KEPT,
    READY,
    REVISION,
    STORE_ERA,
    ISOLATED,
    RULES_AGE,
    TASK_RUNNING,
    TASK_SINCE,
    STORE_STATE,
    STORE_ITEMS_SET_ASIDE,
    STORE_ANSWER_AGE,
    CATALOG_BEHIND,
    SETTINGS_REPLACED,
    REFUSED_REVISION,
    MEMBERS,
    REQUESTS_OPEN,
    ATTEMPTS_OWNED,
    CONNECTIONS_OPEN,
)


class Metrics:
    """Publish counters, gauges and latencies through aioprometheus."""

    def __init__(self, host: str) -> None:
        self._registry = Registry()
        self._collector_by_name = {
            metric.name: _collector(metric, host, self._registry) for metric in METRICS
        }
        self._answer_seconds = cast(
            "Histogram", self._collector_by_name[ANSWER_SECONDS.name]
        )
        self._refusals = cast("Counter", self._collector_by_name[REFUSALS.name])
        self._values_by_part: dict[str, set[str]] = {}

    def observe(self, kind: str, outcome: str, took_ms: float) -> None:
        """Record one answer that took `took_ms` milliseconds."""
        seconds = took_ms / MILLISECONDS_PER_SECOND
        self._answer_seconds.add({"kind": kind, "outcome": outcome}, seconds)

    def count_refusal(self, surface: str, kind: str) -> None:
        """Count a request or connection answered with an error of this kind."""
        self._refusals.inc({"surface": surface, "kind": kind})

    def set_event_counts(self, part: str, count_by_name: Mapping[str, int]) -> None:
        """Publish the counters of a component (`part`), GAUGE_NAMES as gauges."""
        total_by_value: dict[str, int] = {}
        for name, count in count_by_name.items():
            if name in GAUGE_NAMES:
                self.set_gauge(RECORDS_KEPT, count, name=name)
                continue
            value = self._bounded_label(part, name)
            total_by_value[value] = total_by_value.get(value, 0) + count
        for value, total in total_by_value.items():
            labels = {"part": part, "name": value}
            self._collector_by_name[EVENTS.name].set_value(labels, total)

    def set_gauge(self, metric: Metric, value: float, **labels: str) -> None:
        """Publish the current value of a gauge."""
        self._collector_by_name[metric.name].set_value(labels, value)

    def render_text(self, accept: tuple[str, ...]) -> tuple[bytes, str]:
        """Return the metrics and their content type."""
        body, headers = render(self._registry, list(accept))
        return body, headers["Content-Type"]

    def _bounded_label(self, part: str, name: str) -> str:
        values = self._values_by_part.setdefault(part, set())
        if name not in values and len(values) >= LABEL_VALUES_LIMIT:
            return OTHER_VALUE
        values.add(name)
        return name


def _collector(metric: Metric, host: str, registry: Registry) -> Collector:
    labels = {"host": host}
    if metric.kind == MetricKind.COUNTER:
        return Counter(metric.name, metric.help_text, labels, registry)
    if metric.kind == MetricKind.GAUGE:
        return Gauge(metric.name, metric.help_text, labels, registry)
    buckets = [*LATENCY_BUCKETS_SECONDS, float("inf")]
    return Histogram(metric.name, metric.help_text, labels, registry, buckets=buckets)
