"""Guards against requests placed at distant, cold or full upstreams."""

import pytest
import trio

from guavapulley import ports
from guavapulley import routing
from tests.routing import stubs

LOCATION = routing.Location("pb", "pb-1")


async def test_the_local_domain_is_preferred_while_it_has_free_slots(
    autojump_clock,
):
    near, far = stubs.make_tracker("near"), stubs.make_tracker("far", "pb-2")
    assert routing.find_cheapest([far, near], LOCATION, None) is near
    near.in_flight = 3
    assert routing.find_cheapest([far, near], LOCATION, None) is far
    far.in_flight = 3
    assert routing.find_cheapest([far, near], LOCATION, None) is None


async def test_only_objects_of_a_removed_upstream_move(autojump_clock):
    trackers = [stubs.make_tracker(f"u{number}") for number in range(4)]
    preferred = {
        key: routing.find_cheapest(trackers, LOCATION, key).record.upstream
        for key in map(str, range(200))
    }
    assert len(set(preferred.values())) == 4
    remaining = [
        tracker for tracker in trackers if tracker.record.upstream != "u0"
    ]
    moved = [
        key
        for key, upstream in preferred.items()
        if routing.find_cheapest(remaining, LOCATION, key).record.upstream
        != upstream
    ]
    assert all(preferred[key] == "u0" for key in moved)


async def test_slow_and_failing_upstreams_are_avoided(autojump_clock):
    slow, good = stubs.make_tracker("slow"), stubs.make_tracker("good")
    slow.record_sample(ports.LoadSample(1, 0, 3, slowdown_factor=4.0), ran=True)
    assert routing.find_cheapest([slow, good], LOCATION, None) is good
    failing, other = stubs.make_tracker("failing"), stubs.make_tracker("other")
    for _ in range(3):
        failing.record_failure()
    assert routing.find_cheapest([failing, other], LOCATION, None) is other


async def test_load_of_other_entries_decays_to_its_mean(
    autojump_clock,
):
    # With many entries each one samples the upstream rarely. It must not look
    # idle between two samples.
    busy = stubs.make_tracker("busy", slots=8)
    for _ in range(20):
        busy.record_sample(ports.LoadSample(6, 0, 8), ran=False)
        await trio.sleep(1)
    assert 5 < busy.load(trio.current_time()) < 6.1
    idle = stubs.make_tracker("idle", slots=8)
    assert routing.find_cheapest([busy, idle], LOCATION, None) is idle


async def test_an_upstream_without_samples_has_the_typical_load_of_its_peers(
    autojump_clock,
):
    typical_load = routing.TypicalLoad()
    sampled = stubs.make_tracker("seen", slots=4, typical_load=typical_load)
    new = stubs.make_tracker("new", slots=4, typical_load=typical_load)
    for _ in range(60):
        sampled.record_sample(ports.LoadSample(2, 0, 4), ran=False)
    assert new.load(trio.current_time()) == pytest.approx(2, abs=0.1)
    await trio.sleep(60)
    assert new.load(trio.current_time()) < 0.1


async def test_a_full_upstream_is_tried_again_without_new_samples(
    autojump_clock,
):
    full = stubs.make_tracker("full")
    for _ in range(20):
        full.record_sample(ports.LoadSample(3, 6, 3), ran=False)
    assert routing.find_cheapest([full], LOCATION, None) is None
    await trio.sleep(3)
    assert routing.find_cheapest([full], LOCATION, None) is full


async def test_load_of_other_entries_counts_and_decays(autojump_clock):
    busy = stubs.make_tracker("busy")
    busy.record_sample(ports.LoadSample(4, 1, 3), ran=True)
    assert routing.find_cheapest([busy], LOCATION, None) is None
    busy.sampled_s -= 10
    assert routing.find_cheapest([busy], LOCATION, None) is busy


async def test_the_backoff_of_an_unreachable_upstream_grows(
    autojump_clock,
):
    unreachable = stubs.make_tracker("lost")
    unreachable.record_connect_failure()
    first_s = unreachable.backoff_until_s
    assert unreachable.unavailable_reason(trio.current_time()) == "unreachable"
    unreachable.record_connect_failure()
    assert unreachable.backoff_until_s > first_s


async def test_the_answered_request_is_not_counted_as_load_of_others(
    autojump_clock,
):
    free = stubs.make_tracker("free")
    free.record_sample(ports.LoadSample(1, 0, 3), ran=True)
    assert free.load(trio.current_time()) == 0
    free.record_sample(ports.LoadSample(1, 0, 3), ran=False)
    assert free.load(trio.current_time()) == 1


@pytest.mark.parametrize(
    ("event", "times", "stays"),
    [
        ("failure", 1, True),
        ("failure", 3, False),
        ("long exchange", 1, True),
        ("long exchange", 4, False),
    ],
)
async def test_a_single_bad_exchange_does_not_move_an_object(
    autojump_clock, event, times, stays
):
    # Some requests take seven times the typical duration at any upstream. An
    # object that moves because of one is processed cold at the other upstream.
    upstream, other = stubs.make_tracker("u1"), stubs.make_tracker("u2")
    if routing.find_cheapest([upstream, other], LOCATION, "key") is other:
        upstream, other = other, upstream
    upstream.add_warm_key("key")
    for _ in range(times):
        if event == "failure":
            upstream.record_failure()
        else:
            upstream.record_success(7.0)
    chosen = routing.find_cheapest([upstream, other], LOCATION, "key")
    assert (chosen is upstream) == stays
