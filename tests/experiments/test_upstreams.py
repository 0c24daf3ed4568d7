"""Guards against upstream models that exceed their slots or queue."""

import random

import pytest
import trio
import trio.testing

from guavapulley import model
from guavapulley.experiments import _patterns
from guavapulley.experiments import _upstreams


@pytest.fixture
def upstream():
    service_model = _patterns.ServiceModel({}, 1, 1, 1.0, noise_fraction=0.0)
    record = model.UpstreamRecord(
        "u1", "s", model.NodeAddress("h", 1), "pb", "pb-1", 1, 0
    )
    return _upstreams.ModelUpstream(record, service_model, random.Random(1))


async def serve_timed(upstream, key="k"):
    started_at_s = trio.current_time()
    status = await upstream.serve(key, 1.0)
    return status, trio.current_time() - started_at_s


async def test_work_on_a_warm_object_is_shorter(autojump_clock, upstream):
    assert await serve_timed(upstream) == (200, 1.0)
    assert await serve_timed(upstream) == (200, pytest.approx(0.3))


async def test_requests_beyond_slots_wait_and_beyond_the_queue_are_refused(
    autojump_clock, upstream
):
    results = []

    async def send(key):
        results.append(await serve_timed(upstream, key))

    async with trio.open_nursery() as nursery:
        for key in "abc":
            nursery.start_soon(send, key)
    assert sorted(status for status, _ in results) == [200, 200, 503]
    assert max(duration_s for _, duration_s in results) == pytest.approx(2.0)


async def test_a_cancelled_request_leaves_the_queue(autojump_clock, upstream):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(upstream.serve, "a", 1.0)
        await trio.testing.wait_all_tasks_blocked()
        with trio.move_on_after(0.5):
            await upstream.serve("b", 1.0)
        assert len(upstream.waiting) == 0
    assert (upstream.running, upstream.started_requests) == (0, 1)
