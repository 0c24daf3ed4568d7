"""Guards against overloading other regions and against leaving them idle."""

import pytest
import trio

from guavapulley import routing

MAX_SHIFT = 0.15
KEYS = [str(number) for number in range(400)]


def spilled_fraction(spillover):
    return sum(spillover.is_spilled(key) for key in KEYS) / len(KEYS)


async def test_the_fraction_changes_at_a_bounded_rate(autojump_clock):
    spillover = routing.Spillover(MAX_SHIFT)
    fractions = []
    for second in range(40):
        for _ in range(10):
            spillover.update(
                local_utilization=2.0 if second < 20 else 0.1,
                remote_utilization=0.2,
            )
            await trio.sleep(0.1)
        fractions.append(spilled_fraction(spillover))
    steps = [abs(b - a) for a, b in zip(fractions, fractions[2:], strict=False)]
    assert max(fractions) > 0.5
    assert fractions[-1] < 0.1
    assert max(steps) <= MAX_SHIFT


@pytest.mark.parametrize(
    ("local_utilization", "remote_utilization", "grows"),
    [(1.5, 0.5, True), (0.4, 0.1, False), (1.5, 1.5, False)],
)
async def test_the_fraction_grows_only_towards_less_busy_regions(
    autojump_clock, local_utilization, remote_utilization, grows
):
    spillover = routing.Spillover(MAX_SHIFT)
    await trio.sleep(1)
    spillover.update(local_utilization, remote_utilization)
    assert (spillover.fraction > 0) == grows


async def test_spilled_objects_stay_spilled_while_the_fraction_grows(
    autojump_clock,
):
    spillover = routing.Spillover(MAX_SHIFT, 0.2)
    spilled = {key for key in KEYS if spillover.is_spilled(key)}
    spillover.fraction = 0.4
    assert all(spillover.is_spilled(key) for key in spilled)


async def test_the_fraction_stays_above_its_floor(autojump_clock):
    spillover = routing.Spillover(MAX_SHIFT, 0.5)
    for _ in range(100):
        spillover.update(local_utilization=0.1, remote_utilization=0.1)
        await trio.sleep(0.5)
    assert 0.3 < spillover.fraction < 0.5


@pytest.mark.parametrize(("slots", "grows"), [(28, True), (800, False)])
async def test_a_large_region_keeps_its_objects_at_a_higher_utilization(
    autojump_clock, slots, grows
):
    # Cold objects at the start of the traffic use most of its slots for a few
    # seconds; objects that move then become cold again.
    spillover = routing.Spillover(MAX_SHIFT)
    await trio.sleep(1)
    spillover.update(0.75, 0.2, slots)
    assert (spillover.fraction > 0) == grows
