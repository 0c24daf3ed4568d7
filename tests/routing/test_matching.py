"""Guards against wrong routes and wrong proportions of traffic splits."""

import collections

import attrs
import pytest

from guavapulley import model
from guavapulley import routing

BASE = model.Route(
    "r",
    "shop.example",
    "/",
    model.Repeatability.IDEMPOTENT,
    1.0,
    0.5,
    1,
    (model.Destination("stock"),),
)
ROUTES = (
    attrs.evolve(BASE, name="short", path_prefix="/a/"),
    attrs.evolve(BASE, name="long", path_prefix="/a/b/"),
    attrs.evolve(BASE, name="other", host="other.example", path_prefix="/a/"),
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("shop.example", "/a/x", "short"),
        ("shop.example", "/a/b/x", "long"),
        ("shop.example", "/a/bx", "short"),
        ("SHOP.example:8080", "/a/x", "short"),
        ("other.example", "/a/b/x", "other"),
        ("shop.example", "/a", None),
        ("unknown.example", "/a/x", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, path, name):
    route = routing.RouteMatcher(ROUTES).match(host, path)
    assert (route.name if route else None) == name


def test_short_sequences_have_the_proportions_of_the_weights():
    destinations = (model.Destination("a", 90), model.Destination("b", 10))
    split = attrs.evolve(BASE, destinations=destinations)
    splitter = routing.TrafficSplitter()
    chosen = [splitter.choose(split) for _ in range(100)]
    for start in range(0, 100, 10):
        counts = collections.Counter(chosen[start : start + 10])
        assert counts == {"a": 9, "b": 1}


def test_a_destination_with_zero_weight_receives_nothing():
    destinations = (model.Destination("a", 1), model.Destination("b", 0))
    split = attrs.evolve(BASE, destinations=destinations)
    splitter = routing.TrafficSplitter()
    assert {splitter.choose(split) for _ in range(20)} == {"a"}
