"""Guards against cold processing under load, and domain crossing when idle."""

import random

import pytest
import trio

from guavapulley import routing
from tests.routing import stubs

MANY = routing.RequestsPerObject(20.0, 20.0)
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
        scope.update(load, MANY)
    assert scope.region_wide is region_wide


@pytest.mark.parametrize(
    ("requests", "region_wide"), [(1.0, True), (9.0, False)]
)
def test_rarely_requested_objects_have_region_wide_scope(requests, region_wide):
    # Otherwise each domain would process them cold and hardly use the warm
    # object.
    scope = routing.AffinityScope()
    scope.update(0.1, routing.RequestsPerObject(requests, requests))
    assert scope.region_wide is region_wide


@pytest.mark.parametrize(("objects", "requests"), [(300, 120), (30, 200)])
async def test_requests_per_object_are_estimated_from_a_sample(
    autojump_clock, objects, requests
):
    # One entry among many sees only some of the objects.
    working_set, source = routing.WorkingSet(), random.Random(1)
    for _ in range(requests):
        working_set.record(str(source.randrange(objects)))
    assert working_set.requests_per_object().estimate == pytest.approx(
        requests / objects, rel=0.3
    )


async def test_few_requests_do_not_prove_that_objects_are_rarely_requested(
    autojump_clock,
):
    # Each of 22 entries sees 17 of the 374 requests for 50 objects.
    source = random.Random(2)
    bounds = []
    for _ in range(200):
        working_set = routing.WorkingSet()
        for _ in range(17):
            working_set.record(str(source.randrange(50)))
        bounds.append(working_set.requests_per_object().upper_bound)
    too_low = sum(bound < 17 / 50 for bound in bounds)
    assert too_low / len(bounds) < 0.1


@pytest.mark.parametrize(
    ("domain_slots", "load", "region_wide"),
    [(14, 0.0, True), (270, 0.0, False), (270, 0.8, False), (270, 0.9, True)],
)
def test_a_domain_with_many_slots_keeps_its_objects(
    domain_slots, load, region_wide
):
    # Objects that move to another domain are processed cold there.
    scope = routing.AffinityScope(domain_slots)
    if load:
        scope.update(load, MANY, domain_slots)
    assert scope.region_wide is region_wide


async def test_the_first_requests_prove_nothing(autojump_clock):
    working_set = routing.WorkingSet()
    bounds = []
    for number in range(3):
        bounds.append(working_set.requests_per_object().upper_bound)
        working_set.record(str(number))
        await trio.sleep(1)
    assert min(bounds) > 100
