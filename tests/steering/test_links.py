"""Guards against entries that send more over a link than their share."""

import pytest
import trio

from guavapulley import model
from guavapulley import steering
from tests.steering import stubs

CAP = model.LinkCap("pb za", 280.0, max_entries=16)
FLOOR_BYTES_PER_S = 0.2 * 280 * 125_000 / 16


def make_links():
    return steering.LinkShares(stubs.View(objects=(CAP,)))


def max_bytes_in_window(sent, window_s=1.0):
    ends = [time for time, _ in sent]
    return max(
        sum(size for time, size in sent if end - window_s < time <= end)
        for end in ends
    )


@pytest.mark.parametrize("granted", [0.0, 2e6])
async def test_no_window_of_one_second_exceeds_the_share(
    granted, autojump_clock
):
    links = make_links()
    sent = []

    async def send(size, bulk):
        for _ in range(40):
            await links.pace("pb", "za", size, bulk=bulk)
            sent.append((trio.current_time(), size))

    grant = model.ShareGrant("pb", "za", granted)
    links.apply_grants(
        model.LeaseShareReply((grant,), 1_000.0), trio.current_time()
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, 30_000, True)
        nursery.start_soon(send, 9_000, False)
    assert max_bytes_in_window(sent) <= (FLOOR_BYTES_PER_S + granted) * 1.000001


async def test_short_requests_do_not_wait_behind_bulk_requests(autojump_clock):
    links = make_links()
    waits_s = []

    async def bulk():
        await links.pace("pb", "za", 10_000_000, bulk=True)

    with trio.move_on_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(bulk)
            for _ in range(10):
                await trio.sleep(1)
                asked_at_s = trio.current_time()
                await links.pace("pb", "za", 8_000)
                waits_s.append(trio.current_time() - asked_at_s)
            nursery.cancel_scope.cancel()
    assert max(waits_s) < 0.001


async def test_a_lease_starts_when_its_request_is_sent(autojump_clock):
    links = make_links()
    await links.pace("pb", "za", 1)
    sent_at_s = trio.current_time()
    await trio.sleep(1.5)
    grant = model.ShareGrant("pb", "za", 1e6)
    links.apply_grants(model.LeaseShareReply((grant,), 2.0), sent_at_s)
    bucket = links.buckets["pb", "za"]
    assert (
        bucket.share(FLOOR_BYTES_PER_S, sent_at_s + 1.99)
        == FLOOR_BYTES_PER_S + 1e6
    )
    assert bucket.share(FLOOR_BYTES_PER_S, sent_at_s + 2.0) == FLOOR_BYTES_PER_S


async def test_a_reservation_is_settled_and_reported_as_demand(autojump_clock):
    links = make_links()
    reservation = await links.reserve("za", "pb", 20_000)
    links.settle(reservation, 5_000)
    await trio.sleep(1)
    (demand,) = links.demands()
    assert (demand.source, demand.target) == ("za", "pb")
    assert 5_000 <= demand.bytes_per_s <= 10_000


async def test_a_reservation_above_the_share_is_refused_as_not_run(
    autojump_clock,
):
    with pytest.raises(steering.SteeringError) as raised:
        await make_links().reserve("pb", "za", 10_000_000)
    assert (raised.value.code, raised.value.not_run) == ("LINK_CAP", True)


async def test_a_link_without_a_cap_is_not_limited(autojump_clock):
    links = make_links()
    started_at_s = trio.current_time()
    await links.pace("pb", "tn", 10**12)
    assert trio.current_time() == started_at_s


async def test_a_request_refused_by_a_link_cap_is_sent_to_another_region(
    autojump_clock,
):
    async def attempt(upstream):
        if upstream.region == "za":
            raise steering.SteeringError("LINK_CAP", "full", not_run=True)
        return upstream.upstream

    records = [
        stubs.make_record("far", "za", "za1"),
        stubs.make_record("other", "tn", "tn1"),
    ]
    service = model.Service("s", model.TrafficClass.SHORT)
    steerer = stubs.make_steerer(stubs.View(records, (service,)))
    # An entry may use new slots only 2 s after it has learned of them.
    steerer.claims()
    await trio.sleep(3)
    for number in range(10):
        upstream = await steerer.run(
            stubs.make_request(number), service, attempt
        )
        assert upstream == "other"
