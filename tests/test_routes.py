"""Check how the route and the service of a request are chosen."""

import random
from collections import Counter

import pytest

from burdockmill.forwarding.routes import RouteIndex, WeightedService
from burdockmill.forwarding.weighted_choice import WeightedChoices
from tests.builders_forwarding import make_single_route


class CountedPath(str):
    """Count the characters that are copied out of a path."""

    copied = 0

    def partition(self, separator):
        return self, "", ""

    def __getitem__(self, key):
        part = str(self)[key]
        self.copied += len(part)
        return part


@pytest.fixture
def index():
    return RouteIndex(
        [
            make_single_route("wide", prefix="/a/"),
            make_single_route("narrow", prefix="/a/b/"),
            make_single_route("other", host="other.example", prefix="/"),
        ]
    )


@pytest.mark.parametrize(
    ("host", "target", "found"),
    [
        ("leave.example", "/a/x", "wide"),
        ("leave.example", "/a/", "wide"),
        ("leave.example", "/a/b/", "narrow"),
        ("leave.example", "/a/b/c/d?q=/a/", "narrow"),
        ("leave.example", "/a/bc", "wide"),
        ("leave.example", "/a", None),
        ("leave.example", "/", None),
        ("leave.example", "/x?/a/b/", None),
        ("other.example", "/anything", "other"),
        ("unknown.example", "/a/x", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(index, host, target, found):
    route = index.find(host, target)
    assert (route.name if route else None) == found


def test_a_split_follows_its_weights_in_any_sequence_of_requests():
    services = (
        WeightedService("a", 7),
        WeightedService("b", 2),
        WeightedService("c", 1),
    )
    route = make_single_route(services=services)
    choices = WeightedChoices(random.Random(3))
    chosen = [choices.service_of(route) for _ in range(1_000)]
    for start in range(0, 900, 50):
        counted = Counter(chosen[start : start + 100])
        assert abs(counted["a"] - 70) <= 2
        assert abs(counted["b"] - 20) <= 2
        assert abs(counted["c"] - 10) <= 2


# Guards against hosts that all send their first request to the same service.
@pytest.mark.parametrize("weights", [(1, 1), (9, 1), (1, 9), (5, 3, 2), (0, 1)])
@pytest.mark.parametrize(("hosts", "requests"), [(195, 200), (195, 400), (60, 300)])
def test_many_hosts_with_few_requests_each_follow_the_weights(weights, hosts, requests):
    services = tuple(
        WeightedService(f"s-{number}", weight) for number, weight in enumerate(weights)
    )
    route = make_single_route(services=services)
    counted = Counter()
    draws = 20
    for seed in range(draws):
        rng = random.Random(seed)
        choices = [WeightedChoices(random.Random(rng.random())) for _ in range(hosts)]
        for _ in range(requests):
            counted[rng.choice(choices).service_of(route)] += 1
    for service in services:
        share = counted[service.service] / (draws * requests)
        # A part may be 0.2 off; the mean of all draws has a deviation below 0.008.
        assert abs(share - service.weight / sum(weights)) <= 0.05


def test_a_changed_split_starts_anew_and_a_removed_one_is_deleted():
    route = make_single_route(
        services=(WeightedService("a", 1), WeightedService("b", 1))
    )
    choices = WeightedChoices(random.Random(3))
    choices.service_of(route)
    moved = route._replace(services=(WeightedService("b", 1), WeightedService("c", 3)))
    assert Counter(choices.service_of(moved) for _ in range(400))["c"] == 300
    choices.keep(set())
    assert not choices._choice_by_route


def test_a_path_of_slashes_costs_no_more_than_the_longest_prefix(index):
    path = CountedPath("/" * 16_384)
    assert index.find("leave.example", path) is None
    assert path.copied <= len("/a/b/") ** 2
