import re

from burdockmill.metrics import LABEL_VALUES_LIMIT, METRICS, READY, Metrics
from burdockmill.metrics_page import PAGE, render_page


def text_of(metrics):
    return metrics.render_text(("text/plain",))[0].decode()


def test_metrics_page_agrees_with_the_code():
    assert PAGE.read_text() == render_page()


def test_counters_gauges_and_latencies_have_their_types():
    metrics = Metrics("entry-1")
    metrics.observe("search", "answered", 12.0)
    metrics.count_refusal("caller", "unknown_caller")
    metrics.set_event_counts("core", {"late_wakes": 3, "action_records": 5})
    metrics.set_gauge(READY, 1)
    text = text_of(metrics)
    assert "# TYPE burdockmill_events_total counter" in text
    assert "# TYPE burdockmill_ready gauge" in text
    assert (
        'burdockmill_events_total{host="entry-1",name="late_wakes",part="core"} 3'
        in text
    )
    assert 'burdockmill_records_kept{host="entry-1",name="action_records"} 5' in text
    named = set(re.findall(r"# TYPE (\S+) ", text))
    assert named == {metric.name for metric in METRICS}


def test_names_of_a_part_are_bounded_and_the_rest_is_counted_as_other():
    metrics = Metrics("entry-1")
    metrics.set_event_counts(
        "core", {f"name_{n}": 1 for n in range(LABEL_VALUES_LIMIT + 50)}
    )
    lines = [line for line in text_of(metrics).split("\n") if "events_total{" in line]
    assert len(lines) == LABEL_VALUES_LIMIT + 1
    assert any('name="other"' in line and line.endswith(" 50") for line in lines)
