"""Guards against cold processing under load, and domain crossing when idle."""

import random

import pytest

from guavapulley import routing
from tests.routing import stubs

KEYS = [str(number) for number in range(100)]


def preferred_domains(trackers, domain, **options):
    location = routing.Location("pb", domain)
    return {
        key: routing.find_cheapest(
            trackers, location, key, 10, **options
        ).record.failure_domain
        for key in KEYS
    }


def make_region():
    return [
        stubs.make_tracker(f"{domain}-{number}", domain)
        for domain in ("pb-1", "pb-2")
        for number in range(4)
    ]


async def test_requests_stay_in_their_domain_at_low_load(autojump_clock):
    trackers = make_region()
    for domain in ("pb-1", "pb-2"):
        preferred = preferred_domains(trackers, domain, region_wide=False)
        assert set(preferred.values()) == {domain}


async def test_domains_share_preferred_upstreams_at_high_load(autojump_clock):
    # Otherwise each domain processes each object cold, in slots that other
    # requests wait for.
    trackers = make_region()
    expected = preferred_domains(trackers, "pb-1", region_wide=True)
    assert expected == preferred_domains(trackers, "pb-2", region_wide=True)
    assert set(expected.values()) == {"pb-1", "pb-2"}


async def test_the_preferred_upstream_of_the_region_is_warm_in_its_domain(
    autojump_clock,
):
    trackers = make_region()
    location = routing.Location("pb", "pb-1")
    by_domain = {
        k: routing.find_cheapest(trackers, location, k, 10) for k in KEYS
    }
    for key in KEYS:
        by_region = routing.find_cheapest(
            trackers, location, key, 10, region_wide=True
        )
        if by_region.record.failure_domain == "pb-1":
            assert by_region is by_domain[key]


@pytest.mark.parametrize(
    ("loads", "region_wide"),
    [
        ([], True),
        ([0.2], False),
        ([0.2, 0.5], False),
        ([0.2, 0.7], True),
        ([0.2, 0.7, 0.5], True),
        ([0.2, 0.7, 0.5, 0.3], False),
    ],
)
def test_the_scope_depends_on_the_load_with_hysteresis(loads, region_wide):
    scope = routing.AffinityScope()
    for load in loads:
        scope.update(load, 20.0)
    assert scope.region_wide is region_wide


@pytest.mark.parametrize(
    ("requests", "region_wide"), [(1.0, True), (9.0, False)]
)
def test_rarely_requested_objects_have_region_wide_scope(requests, region_wide):
    # Otherwise each domain would process them cold and hardly use the warm
    # object.
    scope = routing.AffinityScope()
    scope.update(0.1, requests)
    assert scope.region_wide is region_wide


@pytest.mark.parametrize(("objects", "requests"), [(300, 120), (30, 200)])
async def test_requests_per_object_are_estimated_from_a_sample(
    autojump_clock, objects, requests
):
    # One entry among many sees only some of the objects.
    working_set, source = routing.WorkingSet(), random.Random(1)
    for _ in range(requests):
        working_set.record(str(source.randrange(objects)))
    assert working_set.requests_per_object() == pytest.approx(
        requests / objects, rel=0.3
    )
