"""Guards against entries that together use more slots than exist."""

from hypothesis import given
from hypothesis import strategies as st
import pytest
import trio

from guavapulley import model
from guavapulley import steering
from guavapulley.steering import _allocation
from guavapulley.steering import _lending
from tests.steering import stubs

REGIONS = ("pb", "za", "tn")
UPSTREAMS = st.lists(
    st.tuples(st.sampled_from(REGIONS), st.integers(1, 6)),
    min_size=1,
    max_size=16,
)
ENTRIES = st.lists(st.sampled_from(REGIONS), min_size=1, max_size=11)


@given(UPSTREAMS, ENTRIES, st.integers(0, 10))
def test_every_slot_has_one_owner_in_any_input_order(
    regions, entry_regions, unallocated
):
    upstreams = [
        _allocation.UpstreamSlots(f"u{n}", region, slots)
        for n, (region, slots) in enumerate(regions)
    ]
    entries = [
        _allocation.Participant(f"e{n}", r) for n, r in enumerate(entry_regions)
    ]
    capacities = {}
    for upstream in upstreams:
        capacities[upstream.region] = (
            capacities.get(upstream.region, 0) + upstream.slots
        )
    capacities = {r: max(1, s - unallocated) for r, s in capacities.items()}
    owned = _allocation.allocate(upstreams, entries, capacities)
    slots = [slot for own in owned.values() for slot in own]
    assert len(slots) == len(set(slots)) == sum(capacities.values())
    assert owned == _allocation.allocate(
        upstreams[::-1], entries[::-1], capacities
    )
    counts = [len(own) for own in owned.values()]
    # The shares are equal except for the rounding in each region.
    assert max(counts) - min(counts) <= 2 * len(REGIONS)


def test_an_entry_without_local_upstreams_gets_slots_of_another_region():
    upstreams = [_allocation.UpstreamSlots(f"u{n}", "za", 3) for n in range(4)]
    entries = [
        _allocation.Participant("e1", "za"),
        _allocation.Participant("e2", "pb"),
        _allocation.Participant("e3", "pb"),
    ]
    owned = _allocation.allocate(upstreams, entries, {"za": 12})
    assert [len(own) for own in owned.values()] == [4, 4, 4]


def record_claim(lending, name, slots, now_s):
    record = stubs.make_entry(name)
    record.claims["s/pb"] = slots
    lending.record_claims([record], "s/pb", now_s)


@pytest.mark.parametrize("delay_s", [0.5, 2.0])
def test_lent_slots_are_never_used_by_two_entries(delay_s):
    settings = steering.SteeringSettings()
    quotas = {"e1": 8, "e2": 8}
    lendings = {name: _lending.Lending(name, settings) for name in quotas}
    for lending in lendings.values():
        lending.apply_allocation(quotas, set(quotas), 0.0)
    published = []
    highest_limits = {"e1": 0, "e2": 0}
    for step in range(1_200):
        now_s = step * 0.05
        # The load moves from one entry to the other every 15 s.
        loaded = "e1" if now_s % 30 < 15 else "e2"
        for name, lending in lendings.items():
            lending.update(20 if name == loaded else 0, 0.01, now_s)
        published.append({n: x.claim.slots for n, x in lendings.items()})
        delayed = published[max(0, step - int(delay_s / 0.05))]
        record_claim(lendings["e1"], "e2", delayed["e2"], now_s)
        record_claim(lendings["e2"], "e1", delayed["e1"], now_s)
        limits = {
            n: x.claim.limit + x.borrowable_slots(now_s)
            for n, x in lendings.items()
        }
        assert sum(limits.values()) <= 16
        highest_limits = {
            n: max(highest_limits[n], limits[n]) for n in highest_limits
        }
    # The 8 own slots and all but a quarter of the 8 slots of the other entry.
    assert min(highest_limits.values()) == 14


def test_claims_under_an_earlier_allocation_do_not_count_as_a_shortage():
    # An entry that lends slots because of outdated claims must wait for them
    # when its load rises, and refuses requests.
    lending = _lending.Lending("e1", steering.SteeringSettings())
    lending.apply_allocation({"e1": 4, "e2": 8}, {"e2"}, 0.0)
    record_claim(lending, "e2", 12, 0.3)
    for step in range(40):
        now_s = 0.3 + step * 0.25
        record_claim(lending, "e2", 8, now_s + 0.1)
        lending.update(0, 0.01, now_s + 0.2)
        assert lending.claim.slots == 4


async def test_bulk_requests_leave_one_slot_of_the_region_free(autojump_clock):
    view = stubs.View([stubs.make_record(f"u{n}") for n in range(3)])
    steerer = stubs.make_steerer(view)
    service = model.Service("s", model.TrafficClass.BULK)
    running = 0
    max_running = 0

    async def attempt(upstream):
        nonlocal running, max_running
        running += 1
        max_running = max(max_running, running)
        await trio.sleep(1)
        running -= 1

    steerer.claims()
    async with trio.open_nursery() as nursery:
        for number in range(20):
            nursery.start_soon(
                steerer.run, stubs.make_request(number), service, attempt
            )
        await trio.sleep(3)
        nursery.cancel_scope.cancel()
    assert max_running == 8


@pytest.mark.parametrize(
    ("objects", "first_seen_s", "expected"),
    [
        ((), 0.0, 12),
        ((model.RegionLimit("pb", max_in_flight=5),), 0.0, 5),
        # The upstreams appear 8 s after the start of the entry. 2 s later, each
        # of them offers one slot.
        ((), 8.0, 4),
    ],
)
async def test_region_limit_and_slow_start_bound_the_requests_in_flight(
    objects, first_seen_s, expected, autojump_clock
):
    service = model.Service("s", model.TrafficClass.SHORT, deadline_ms=60_000)
    view = stubs.View(
        [stubs.make_record(f"u{n}") for n in range(4)],
        (service, *objects),
        first_seen_s=first_seen_s,
    )
    running, max_running = 0, 0

    async def attempt(upstream):
        nonlocal running, max_running
        running += 1
        max_running = max(max_running, running)
        await trio.sleep(1)
        running -= 1

    steerer = stubs.make_steerer(view)
    started_s = trio.current_time()
    view.first_seen_s += started_s
    steerer.claims()
    await trio.sleep(10)
    async with trio.open_nursery() as nursery:
        for number in range(40):
            nursery.start_soon(
                steerer.run, stubs.make_request(number), service, attempt
            )
        await trio.sleep(0.9)
        nursery.cancel_scope.cancel()
    assert max_running == expected


async def test_requests_to_another_region_are_paced(
    autojump_clock,
):
    service = model.Service("s", model.TrafficClass.SHORT)
    remote_records = [
        stubs.make_record(f"far{n}", "za", "za1") for n in range(4)
    ]
    steerer = stubs.make_steerer(stubs.View(remote_records, (service,)))
    steerer.claims()
    state = steerer.services["s"]
    # Five requests may be in flight for each slot; serving one takes 10 ms.
    state.slots.remote_requests_per_slot["za"] = 5.0
    state.slots.service_time_s = 0.01
    started = []

    async def attempt(upstream):
        started.append(trio.current_time())
        await trio.sleep(0.05)

    await trio.sleep(3)
    async with trio.open_nursery() as nursery:
        for number in range(60):
            nursery.start_soon(
                steerer.run, stubs.make_request(number), service, attempt
            )
    max_starts_in_10_ms = max(
        sum(first <= s < first + 0.01 for s in started) for first in started
    )
    # A burst on the 12 slots, and 12 requests in the following 10 ms.
    assert max_starts_in_10_ms <= 24
    assert len(started) == 60
