"""Guards against requests to upstreams that leave or refuse them."""

import pytest
import trio

from tests.forwarding import conftest as support

LEAVING = support.ok(leaving="1")
REFUSING = support.status(503, refused="1", pause="2.0")


async def send_requests(harness, count):
    return [(await harness.send_request()).head.status for _ in range(count)]


async def test_an_upstream_that_leaves_gets_no_further_requests(
    autojump_clock, harness
):
    # The fleet state may still list it as ready.
    records = [support.make_record("u1"), support.make_record("u2")]
    harness.apply_state(*records)
    harness.client.outcomes = {"u1": [LEAVING], "u2": [LEAVING]}
    assert await send_requests(harness, 2) == [200, 200]
    harness.apply_state(support.make_record("u1", sequence=2), records[1])
    assert await send_requests(harness, 2) == [503, 503]
    assert sorted(harness.sent_to()) == ["u1", "u2"]


async def test_a_leaving_upstream_is_remembered_after_it_was_forgotten(
    autojump_clock, harness
):
    record = support.make_record("u1")
    harness.apply_state(record)
    harness.client.outcomes = {"u1": [LEAVING]}
    await send_requests(harness, 1)
    harness.apply_state()
    harness.apply_state(record)
    moved = support.model.NodeAddress("u1-moved", 80)
    harness.apply_state(support.attrs.evolve(record, address=moved))
    assert await send_requests(harness, 1) == [503]
    assert harness.sent_to() == ["u1"]


@pytest.mark.parametrize("outcome", [LEAVING, REFUSING])
async def test_a_new_incarnation_is_not_bound(autojump_clock, harness, outcome):
    harness.apply_state(support.make_record("u1"))
    harness.client.outcomes = {"u1": [outcome]}
    await send_requests(harness, 1)
    harness.client.outcomes = {}
    harness.apply_state(support.make_record("u1", incarnation=1))
    assert await send_requests(harness, 1) == [200]


async def test_a_refusing_upstream_is_used_again_after_its_time(
    autojump_clock, harness
):
    harness.apply_state(support.make_record("u1"))
    harness.client.outcomes = {"u1": [REFUSING, support.ok()]}
    assert await send_requests(harness, 1) == [503]
    refused_s = trio.current_time()
    while trio.current_time() < refused_s + 1.8:
        assert await send_requests(harness, 1) == [503]
        await trio.sleep(0.1)
    await trio.sleep(0.2)
    assert await send_requests(harness, 1) == [200]
    assert harness.sent_to() == ["u1", "u1"]


async def test_a_retry_is_not_sent_to_a_refusing_upstream(
    autojump_clock, harness
):
    harness.apply_state(support.make_record("u1"), support.make_record("u2"))
    harness.client.outcomes = {
        "u1": [support.status(500)],
        "u2": [support.status(500)],
    }
    harness.registry.trackers["u2"].record_refusal(5.0)
    assert await send_requests(harness, 1) == [500]
    assert harness.sent_to() == ["u1"]


async def test_callers_are_told_at_once_when_the_first_upstream_returns(
    autojump_clock, harness
):
    harness.apply_state(support.make_record("u1"), support.make_record("u2"))
    harness.registry.trackers["u1"].record_refusal(9.0)
    harness.registry.trackers["u2"].record_refusal(6.0)
    started_s = trio.current_time()
    answer = await harness.send_request("/once/x")
    assert answer.head.status == 503
    assert b'"not_run": true' in answer.body
    assert trio.current_time() == pytest.approx(started_s)
    assert 6.0 <= float(dict(answer.head.headers)["Retry-After"]) <= 9.0


async def test_waiting_requests_are_refused_once_all_upstreams_refuse(
    autojump_clock, harness
):
    harness.apply_state(support.make_record("u1", slots=1))
    harness.client.work_s = 0.1
    # Lets the entry learn that the service is fast.
    await send_requests(harness, 5)
    harness.client.outcomes = {"u1": [REFUSING]}
    harness.client.sent.clear()
    started_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        for _ in range(2):
            nursery.start_soon(send_requests, harness, 1)
    assert harness.sent_to() == ["u1"]
    assert trio.current_time() - started_s == pytest.approx(0.1, abs=0.02)


@pytest.mark.parametrize("withdrawal", ["leaving", "refusing", "removed"])
async def test_a_request_is_placed_anew_if_its_upstream_withdraws(
    autojump_clock, harness, withdrawal
):
    # It withdraws while the connection to it is opened.
    records = [support.make_record("u1"), support.make_record("u2")]
    harness.apply_state(records[0])
    harness.client.connect_s = 0.2

    async def withdraw():
        await trio.sleep(0.1)
        tracker = harness.registry.trackers["u1"]
        harness.apply_state(*records)
        match withdrawal:
            case "leaving":
                tracker.leaving = True
            case "refusing":
                tracker.record_refusal(1.0)
            case "removed":
                harness.apply_state(records[1])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(withdraw)
        answer = await harness.send_request("/once/x")
    assert answer.head.status == 200
    assert harness.sent_to() == ["u2"]


async def test_unreadable_headers_are_logged_once_a_minute(
    autojump_clock, harness, recorder
):
    harness.apply_state(support.make_record("u1"))
    harness.client.outcomes = {"u1": [support.ok(unreadable="retry-after")]}
    for _ in range(3):
        assert await send_requests(harness, 1) == [200]
    await trio.sleep(60)
    await send_requests(harness, 1)
    logged = [
        fields["headers"]
        for event, fields in recorder.recorded
        if event == "upstream:unreadable_header"
    ]
    assert logged == [["retry-after"]] * 2
