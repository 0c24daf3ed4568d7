"""Guards against estimates that contradict the rules of steering."""

import pytest

from guavapulley import model
from guavapulley.programs import _estimate

SERVICE = model.Service("s", model.TrafficClass.SHORT)


def record(region, number, busy=3, slots=6):
    return model.UpstreamRecord(
        f"{region}-{number}",
        "s",
        model.NodeAddress("10.0.0.1", 80),
        region,
        f"{region}-a",
        slots,
        10,
        labels={"n": str(number)},
        load=model.LoadReport(busy),
    )


RECORDS = [
    record(region, number) for region in ("pb", "za") for number in (1, 2)
]


def intent(name, share, priority=0, requests="", upstreams="region = za"):
    return model.Intent(name, requests, upstreams, share, priority)


def estimate(*objects):
    before = model.Configuration(1, (SERVICE,))
    after = before.with_changes(1, objects, ())
    changed = [model.object_key(changed_object) for changed_object in objects]
    return _estimate.estimate(before, after, changed, RECORDS)


CASES = [
    ([intent("a", 40)], {"pb": 0.6, "za": 0.4}),
    # the second intent applies to the requests that the first one leaves
    (
        [intent("a", 50, 2), intent("b", 50, 1)],
        {"pb": 0.25, "za": 0.75},
    ),
    ([intent("a", 50, requests="region = tn")], None),
    ([intent("a", 100, requests="class = short")], {"za": 1.0}),
    ([intent("a", 100, requests="class = bulk")], None),
    # an intent without a usable upstream refuses its share
    ([intent("a", 50, upstreams="region = tn")], {"pb": 0.5}),
    ([model.Drain("d", "region = pb")], {"za": 1.0}),
    ([model.Drain("d", "region = pb, n = 1")], None),
    (
        [
            model.LabelOverride("l", "region = pb", {"off": "yes"}),
            model.Drain("d", "off = yes"),
        ],
        {"za": 1.0},
    ),
]


@pytest.mark.parametrize("objects, expected", CASES)
def test_fractions_depend_on_priority_and_region(objects, expected):
    moves = [move for move in estimate(*objects).moves if move.region == "pb"]
    if expected is None:
        assert moves == []
    else:
        assert moves[0].after == pytest.approx(expected)


def test_dependence_on_caller_labels_is_reported():
    result = estimate(intent("a", 50, requests="tier = gold"))
    assert {match.depends_on for match in result.matches} == {("tier",)}
    assert all(move.at_most for move in result.moves)


@pytest.mark.parametrize("limit, capacity", [(0, 12), (5, 5)])
def test_region_limit_bounds_the_capacity(limit, capacity):
    result = estimate(
        intent("a", 100), model.RegionLimit("za", limit, headroom_percent=50)
    )
    (region_load,) = result.regions
    assert (region_load.region, region_load.capacity) == ("za", capacity)
    assert region_load.busy_after == pytest.approx(12)
    assert region_load.for_others == pytest.approx(capacity / 2)


def test_link_load_does_not_depend_on_the_order_of_regions():
    result = estimate(intent("a", 100), model.LinkCap("pb za", 100.0))
    (link,) = result.links
    assert link.added == pytest.approx(6)
    assert link.reached_below_ms == pytest.approx(6 * 16384 * 8 / 100e6 * 1e3)
