"""Guards against wrong estimates of the speed of an upstream."""

import pytest
import trio

from guavapulley import routing
from tests.routing import stubs

WARM_S = 0.12
COLD_S = 0.4
PEERS = 3


def tracker_after(*exchanges):
    """Returns a tracker after exchanges of (duration, slowdown, warm).

    Before each of them its peers have exchanges of typical duration.
    """
    durations = routing.TypicalDurations()
    tracker = stubs.make_tracker("near")
    for duration_s, slowdown, warm in exchanges:
        for _ in range(PEERS):
            durations.record(WARM_S, 1.0, warm=True)
            durations.record(COLD_S, 1.0, warm=False)
        tracker.record_success(
            durations.record(duration_s, slowdown, warm=warm)
        )
    return tracker


async def test_processing_cold_objects_does_not_count_as_slow(
    autojump_clock,
):
    # Otherwise requests would leave the upstream that just became warm.
    tracker = tracker_after(*[(COLD_S, 1.0, False)] * 5)
    assert tracker.duration_factor(trio.current_time()) == pytest.approx(1.0)


async def test_a_stated_slowdown_is_not_counted_twice(autojump_clock):
    # The slowdown ends within a second; the duration ratio decays more slowly.
    tracker = tracker_after(*[(2.5 * WARM_S, 2.5, True)] * 5)
    assert tracker.duration_factor(trio.current_time()) == pytest.approx(1.0)


async def test_unexplained_slowness_raises_the_duration_factor(autojump_clock):
    tracker = tracker_after(*[(5 * WARM_S, 1.0, True)] * 5)
    assert tracker.duration_factor(trio.current_time()) > 2.5


def test_the_overall_duration_includes_cold_requests():
    durations = routing.TypicalDurations()
    assert durations.overall_s is None
    durations.record(COLD_S, 1.0, warm=False)
    assert durations.overall_s == COLD_S
    assert durations.warm_s is None
