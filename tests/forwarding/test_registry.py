"""Guards against changes to upstream trackers that are not logged."""

import attrs
import pytest

from guavapulley import model
from tests.forwarding import conftest as support


@pytest.fixture
def upstream_events(harness):
    """Returns the list of logged events as (event, fields)."""
    event_log = support.Recorder()
    harness.registry.events = event_log
    harness.forwarder.reporter.events = event_log
    return event_log.recorded


def upstream_names(upstream_events):
    return [
        (event, fields["upstream"])
        for event, fields in upstream_events
        if event.startswith("upstream:")
    ]


async def test_changes_of_an_upstream_are_logged(
    autojump_clock, harness, upstream_events
):
    first = support.make_record("u1", incarnation=1)
    harness.apply_state(first)
    leaving = attrs.evolve(first, state=model.UpstreamState.LEAVING)
    harness.apply_state(leaving)
    harness.apply_state(leaving)
    harness.apply_state()
    assert upstream_names(upstream_events) == [
        ("upstream:learned", "u1"),
        ("upstream:changed", "u1"),
        ("upstream:forgotten", "u1"),
    ]
    assert upstream_events[1][1]["state"] == leaving.state.value


async def test_an_upstream_that_returns_keeps_its_tracker(
    autojump_clock, harness
):
    # Otherwise each removal and return would allow the whole cold rate again.
    cold = support.make_record("u1", incarnation=1, cold_s=2.0)
    harness.apply_state(cold)
    tracker = harness.registry.trackers["u1"]
    harness.apply_state()
    harness.apply_state(cold)
    assert harness.registry.trackers["u1"] is tracker
    harness.apply_state()
    harness.apply_state(attrs.evolve(cold, incarnation=2))
    assert harness.registry.trackers["u1"] is not tracker


async def test_a_reused_address_is_logged_with_its_previous_upstream(
    autojump_clock, harness, upstream_events
):
    harness.apply_state(support.make_record("u1"))
    reused = support.make_record("u2", address=model.NodeAddress("u1", 80))
    harness.apply_state(reused)
    assert upstream_events[-1][0] == "upstream:learned"
    assert upstream_events[-1][1]["address_before"] == "u1"


async def test_a_failing_upstream_is_avoided_and_then_trusted_again(
    autojump_clock, harness, upstream_events
):
    harness.apply_state(support.make_record("u1"))
    harness.client.outcomes = {"u1": [support.status(500)] * 6 + [support.ok()]}
    for _ in range(30):
        await harness.send_request("/once/x")
    events = [event for event, _ in upstream_names(upstream_events)]
    assert events == [
        "upstream:learned",
        "upstream:avoided",
        "upstream:trusted",
    ]
    reasons = [
        f["reason"] for e, f in upstream_events if e == "upstream:avoided"
    ]
    assert reasons == ["failing"]


async def test_a_refusal_is_logged_with_retry_after_and_sends(
    autojump_clock, harness, upstream_events
):
    harness.apply_state(support.make_record("u1"), support.make_record("u2"))
    refusal = support.status(503, refused="1")
    harness.client.outcomes = {"u1": [refusal], "u2": [refusal]}
    answer = await harness.send_request("/once/x")
    event, fields = upstream_events[-1]
    assert (event, fields["code"]) == ("request:failed", "NO_ROOM")
    retry_after = dict(answer.head.headers)["Retry-After"]
    assert fields["retry_after_s"] == float(retry_after)
    # At the last choice the upstream tried first was excluded.
    assert fields["candidates"] == 1
    assert [send["incarnation"] for send in fields["sends"]] == [0, 0]
    assert fields["state_age_s"] == 0
