"""Guards against failed requests whose log event lacks the cause."""

import attrs
import pytest
import trio

from guavapulley import model
from guavapulley import routing
from tests.forwarding import conftest as support


async def failure_fields(harness, recorder, **request):
    await harness.send_request(**request)
    return dict(recorder.recorded)["request:failed"]


async def test_a_refusal_is_logged_with_the_exclusions(
    autojump_clock, harness, recorder
):
    draining = support.make_record("u2")
    harness.apply_state(
        support.make_record("u1"),
        attrs.evolve(draining, state=model.UpstreamState.LEAVING),
        support.make_record("u3", domain="pb-2"),
        support.make_record("u4", domain="za-1"),
        support.make_record("u5", domain="pb-3"),
        evacuated=("pb-2",),
    )
    harness.client.outcomes = {"u1": [support.UNREACHED]}
    harness.registry.trackers["u5"].in_flight = 9
    fields = await failure_fields(harness, recorder)
    assert fields["code"] == "NO_ROOM"
    assert fields["exclusions"] == {
        "tried": 1,
        "leaving": 1,
        "evacuated": 1,
        "other region": 1,
        "full": 1,
    }


@pytest.mark.parametrize(
    ("outcome", "code"),
    [("hang", "TIMED_OUT"), (support.BROKEN, "NO_WHOLE_ANSWER")],
)
async def test_a_missing_answer_is_logged_with_a_code(
    autojump_clock, harness, recorder, outcome, code
):
    harness.apply_state(support.make_record("u1"))
    harness.client.outcomes = {"u1": [outcome]}
    fields = await failure_fields(harness, recorder, path="/once/x")
    assert fields["code"] == code


async def test_a_caller_that_disconnects_is_logged(
    autojump_clock, harness, recorder
):
    harness.apply_state(support.make_record("u1"))
    with trio.move_on_after(0.05):
        await harness.send_request()
    ((event, fields),) = recorder.recorded
    assert event == "request:abandoned"
    assert fields["status"] is None
    assert [send["upstream"] for send in fields["sends"]] == ["u1"]


async def test_a_request_without_a_route_is_logged_with_a_code(
    autojump_clock, harness, recorder
):
    harness.apply_state(support.make_record("u1"))
    harness.forwarder.matcher = routing.RouteMatcher(())
    fields = await failure_fields(harness, recorder)
    assert fields["code"] == "NO_ROUTE"
