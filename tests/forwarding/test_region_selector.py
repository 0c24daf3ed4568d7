"""Guards against requests that leave their region unnecessarily."""

import trio

from guavapulley import model
from tests.forwarding import conftest as support


def apply_state_with_entries(harness, *upstreams):
    """Applies a state with one entry in each of two failure domains."""
    harness.apply_state(*upstreams)
    state = harness.registry.state
    nodes = tuple(
        model.NodeRecord(
            f"edge-{number}",
            domain.split("-")[0],
            domain,
            model.NodeAddress("h", number),
            "start",
        )
        for number, domain in enumerate(("pb-1", "za-1"))
    )
    harness.forwarder.apply_state(
        model.FleetState(2, state.routing, (), state.upstreams, nodes)
    )


async def test_requests_stay_in_their_region_while_it_has_capacity(
    autojump_clock, harness
):
    apply_state_with_entries(
        harness, support.make_record("near"), support.make_record("far", "za-1")
    )
    for _ in range(20):
        await harness.send_request()
    assert set(harness.sent_to()) == {"near"}


async def test_requests_leave_a_region_without_upstreams(
    autojump_clock, harness
):
    apply_state_with_entries(
        harness,
        support.make_record("near", state=model.UpstreamState.LEAVING),
        support.make_record("far", "za-1"),
    )
    assert (await harness.send_request()).head.status == 200
    assert harness.sent_to() == ["far"]


async def test_a_waiting_request_counts_its_object_once(
    autojump_clock, harness
):
    # An upstream is chosen again whenever capacity becomes available. Counting
    # the object each time would overestimate its requests.
    route = model.Route(
        "r",
        "shop",
        "/",
        model.Repeatability.IDEMPOTENT,
        5.0,
        4.0,
        1,
        (model.Destination("stock"),),
        affinity=True,
    )
    harness.apply_state(support.make_record("u1", slots=1), route=route)
    async with trio.open_nursery() as nursery:
        for _ in range(6):
            nursery.start_soon(harness.send_request)
    working_set = harness.forwarder.placer.region_selector.working_sets["stock"]
    assert working_set.requests.value() == 6
