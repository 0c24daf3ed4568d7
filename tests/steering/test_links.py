"""Guards against links that carry more than their caps."""

import pytest
import trio

from guavapulley import model
from guavapulley import steering
from tests.steering import stubs

CAP = model.LinkCap("pb za", 280.0, max_entries=16)
FLOOR = 0.2 * 280 * 125_000 / 16


def make_links():
    return steering.LinkShares(stubs.View(objects=(CAP,)))


def most_in_a_window(sent, window_s=1.0):
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
    assert most_in_a_window(sent) <= (FLOOR + granted) * 1.000001


async def test_short_work_does_not_wait_behind_bulk_work(autojump_clock):
    links = make_links()
    waited = []

    async def bulk():
        await links.pace("pb", "za", 10_000_000, bulk=True)

    with trio.move_on_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(bulk)
            for _ in range(10):
                await trio.sleep(1)
                asked = trio.current_time()
                await links.pace("pb", "za", 8_000)
                waited.append(trio.current_time() - asked)
            nursery.cancel_scope.cancel()
    assert max(waited) < 0.001


async def test_a_lease_ends_counted_from_before_the_request(autojump_clock):
    links = make_links()
    await links.pace("pb", "za", 1)
    sent_at = trio.current_time()
    await trio.sleep(1.5)
    grant = model.ShareGrant("pb", "za", 1e6)
    links.apply_grants(model.LeaseShareReply((grant,), 2.0), sent_at)
    bucket = links.buckets["pb", "za"]
    assert bucket.share(FLOOR, sent_at + 1.99) == FLOOR + 1e6
    assert bucket.share(FLOOR, sent_at + 2.0) == FLOOR


async def test_a_reservation_is_settled_and_reported_as_demand(autojump_clock):
    links = make_links()
    reservation = await links.reserve("za", "pb", 20_000)
    links.settle(reservation, 5_000)
    await trio.sleep(1)
    (demand,) = links.demands()
    assert (demand.source, demand.target) == ("za", "pb")
    assert 5_000 <= demand.bytes_per_s <= 10_000


async def test_more_than_the_share_is_refused_as_not_run(autojump_clock):
    with pytest.raises(steering.SteeringError) as caught:
        await make_links().reserve("pb", "za", 10_000_000)
    assert (caught.value.code, caught.value.not_run) == ("LINK_CAP", True)


async def test_a_link_without_cap_is_not_limited(autojump_clock):
    links = make_links()
    started = trio.current_time()
    await links.pace("pb", "tn", 10**12)
    assert trio.current_time() == started


async def test_a_capped_link_sends_the_request_to_another_region(
    autojump_clock,
):
    async def attempt(upstream):
        if upstream.region == "za":
            raise steering.SteeringError("LINK_CAP", "full", not_run=True)
        return upstream.upstream

    records = [
        stubs.record("far", "za", "za1"),
        stubs.record("other", "tn", "tn1"),
    ]
    service = model.Service("s", model.TrafficClass.SHORT)
    steerer = stubs.make_steerer(stubs.View(records, (service,)))
    # New slots are used only 2 s after the entry has learnt of them.
    steerer.claims()
    await trio.sleep(3)
    for number in range(10):
        got = await steerer.run(stubs.request(number), service, attempt)
        assert got == "other"
