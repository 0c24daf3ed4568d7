"""Guards against planned changes that refuse requests.

An entry refuses requests if it may not use its old slots any more and its new
ones not yet.
"""

import pytest
import trio

from guavapulley import model
from guavapulley import steering
from tests.steering import stubs

CALLERS = 3
RETRY_PAUSE_S = 0.2
# New slots of another region may be used 2 s after a change. A drained upstream
# must get no requests after 3 s.
DRAIN_DEADLINE_S = 3.0


def make_two_region_view():
    records = [
        stubs.make_record(f"{region}{number}", region, f"{region}{number}")
        for region in ("pb", "za")
        for number in (1, 2)
    ]
    entries = [stubs.make_entry("e1", "pb"), stubs.make_entry("e2", "za")]
    return stubs.View(records, entries=entries)


@pytest.mark.parametrize("service_time_s", [0.02, 0.15])
@pytest.mark.parametrize(
    "change",
    [
        model.Drain("region", "region = pb"),
        model.Intent("shift", "", "region = za"),
    ],
    ids=lambda item: type(item).__name__,
)
async def test_a_planned_change_of_region_refuses_no_request(
    autojump_clock, change, service_time_s
):
    view = make_two_region_view()
    steerer = stubs.make_steerer(view)
    service = model.Service("s", model.TrafficClass.SHORT, deadline_ms=2_000)
    view.objects = (service,)
    started, refused = [], []

    async def attempt(record):
        started.append((trio.current_time(), record.region))
        await trio.sleep(service_time_s)
        return b"answer"

    async def call(name):
        number = 0
        while trio.current_time() < ends_at_s:
            number += 1
            try:
                await steerer.run(
                    stubs.make_request(f"{name}-{number}"), service, attempt
                )
            except steering.SteeringError as error:
                refused.append((trio.current_time(), error.code))
                await trio.sleep(RETRY_PAUSE_S)

    steerer.claims()
    await trio.sleep(10)
    changed_at_s, ends_at_s = (
        trio.current_time() + 2,
        trio.current_time() + 8,
    )
    async with trio.open_nursery() as nursery:
        for name in range(CALLERS):
            nursery.start_soon(call, name)
        await trio.sleep(2)
        view.objects = (service, change)
    assert not refused
    regions_after_deadline = [
        region
        for at_s, region in started
        if at_s > changed_at_s + DRAIN_DEADLINE_S
    ]
    assert set(regions_after_deadline) == {"za"}
