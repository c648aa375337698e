import pytest

from measure import capacity_page, platform_days
from measure.page import PAGE, page_text
from measure.records import Record, is_met


@pytest.mark.parametrize(
    ("goal", "value", "met"),
    [("<= 1.1", 1.1, True), ("< 2000", 2000, False), ("== 0", 0, True)],
)
def test_is_met_compares_the_value_with_the_goal(goal, value, met):
    record = Record(
        figure="f", value=value, unit="", baseline=None, goal=goal, seed=1, command=""
    )
    assert is_met(record) is met


def test_page_agrees_with_the_records():
    assert PAGE.read_text() == page_text()


def test_capacity_page_agrees_with_the_slopes():
    text = capacity_page.PAGE.read_text()
    assert text == capacity_page.page_text(text)


def test_capacity_page_shows_a_changed_slope(monkeypatch):
    text = capacity_page.PAGE.read_text()
    records = capacity_page.read_records()
    records["data_path"][0]["value"] *= 2
    monkeypatch.setattr(capacity_page, "read_records", lambda: records)
    assert text != capacity_page.page_text(text)


def run_entry(name, worth, *options, site="tethermill-grown", cmd="run"):
    day = {"name": name, "G": worth, "slot": name.split("-")[0]}
    day |= {"served": 1.0, "rules": {}, "seed": 1, "top": 0.5, "prices": []}
    return {"cmd": cmd, "site": site, "argv": list(options), "days": [day]}


def test_figures_use_the_newest_complete_run_of_each_day():
    entries = [
        run_entry("trouble-1", 0.3),
        run_entry("trouble-1", 0.4),
        run_entry("trouble-1", 0.9, "--until"),
        run_entry("quiet-1", 0.8),
        run_entry("scale-1", 0.6),
        run_entry("trouble-1", 0.1, site="tethermill"),
    ]
    runs = platform_days.newest_runs(entries)
    assert list(runs) == ["tethermill-grown"]
    figures = platform_days.figures_of("tethermill-grown", runs["tethermill-grown"])
    value_by_name = {one.name: one.value for one in figures}
    assert value_by_name["days.tethermill-grown.trouble-1.worth"] == 0.4
    mean = value_by_name["days.tethermill-grown.mean_of_trouble.worth"]
    assert mean == pytest.approx(0.5)


def test_a_quick_score_does_not_replace_a_complete_one():
    whole = run_entry("trouble-1", 0.5, cmd="score") | {"score": 0.8}
    quick = run_entry("trouble-1", 0.9, "--quick", cmd="score") | {"score": 0.9}
    [day] = platform_days.newest_scores([whole, quick])["tethermill-grown"]
    assert day["G"] == 0.5
