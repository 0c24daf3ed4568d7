"""Guards against requests that a stopping entry begins and cannot complete."""

import attrs
import pytest
import trio

from guavapulley import forwarding
from tests.forwarding import conftest

LONG_ROUTE = attrs.evolve(
    conftest.ROUTE, timeout_s=30.0, target_latency_s=20.0, max_attempts=3
)
OPEN_S, LAST_DEADLINE_S = 3.0, 9.5


@pytest.fixture
def stopping(harness, nursery):
    """An entry that begins to stop at once."""
    harness.apply_state(conftest.make_record("u1"), route=LONG_ROUTE)
    start_s = trio.current_time()
    schedule = forwarding.StopSchedule(
        start_s + OPEN_S, start_s + LAST_DEADLINE_S
    )
    nursery.start_soon(harness.forwarder.drain, schedule)
    return harness


@pytest.mark.parametrize(
    ("at_s", "deadline_s", "expected"),
    [
        (0.5, None, 200),
        (2.9, 60, 200),
        (3.1, None, 503),
        (3.1, 6.5, 503),
        (3.1, 6.3, 200),
        (9.0, 0.4, 200),
        (9.0, 0.6, 503),
    ],
)
async def test_late_requests_are_begun_if_they_end_in_time(
    autojump_clock, stopping, at_s, deadline_s, expected
):
    await trio.sleep(at_s)
    answer = await stopping.send_request(deadline=deadline_s)
    assert answer.head.status == expected
    assert len(stopping.client.sent) == (expected == 200)
    if expected == 503:
        assert b"STOPPING" in answer.body
        assert dict(answer.head.headers)["Retry-After"]


async def test_waiting_requests_that_cannot_end_in_time_are_refused(
    autojump_clock, stopping
):
    """A request that waited was sent shortly before the entry ended."""
    stopping.client.work_s = 6.0
    ended = {}
    start_s = trio.current_time()

    async def send(name, deadline):
        answer = await stopping.send_request("/once/x", deadline=deadline)
        ended[name] = (answer.head.status, trio.current_time() - start_s)

    async with trio.open_nursery() as requests:
        for number in range(3):
            requests.start_soon(send, f"running {number}", 8.0)
        await trio.sleep(0.5)
        requests.start_soon(send, "long", 20.0)
        requests.start_soon(send, "short", 8.5)
    status, at_s = ended["long"]
    assert status == 503
    assert at_s == pytest.approx(OPEN_S)
    assert ended["short"][0] != 503
    assert ended["short"][1] <= LAST_DEADLINE_S
    assert len(stopping.client.sent) == 4


async def test_a_request_whose_connection_opens_late_is_not_sent(
    autojump_clock, stopping
):
    stopping.client.connect_s = 1.0
    await trio.sleep(2.5)
    answer = await stopping.send_request("/once/x")
    assert answer.head.status == 503
    assert stopping.client.sent == []


async def test_a_late_retry_is_not_begun(autojump_clock, stopping):
    stopping.apply_state(
        conftest.make_record("u1"),
        conftest.make_record("u2"),
        route=LONG_ROUTE,
    )
    stopping.client.outcomes = {
        name: [conftest.BROKEN] for name in ("u1", "u2")
    }
    stopping.client.work_s = 2.0
    await trio.sleep(2.0)
    answer = await stopping.send_request()
    assert answer.head.status == 502
    assert len(stopping.client.sent) == 1


async def test_nothing_is_begun_when_the_entry_ends(autojump_clock, stopping):
    """A request was begun between the last answer and the end."""
    stopping.forwarder.refuse_all()
    answer = await stopping.send_request(deadline=0.2)
    assert answer.head.status == 503
    assert stopping.client.sent == []
