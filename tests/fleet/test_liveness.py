"""Guards against a leader that removes upstreams and entries that are up."""

import types

import attrs
import pytest
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.fleet import _liveness
from tests.fleet import conftest

NODE = model.NodeRecord(
    "edge-1", "bkk", "bkk-a", model.NodeAddress("10.0.0.9", 80), "start-1"
)


@attrs.define
class Leader:
    """Service of a leading replica that collects the proposed commands."""

    state: model.FleetState = attrs.field(factory=model.FleetState)
    removed: list = attrs.field(factory=list)
    events: ports.EventLog = attrs.field(factory=ports.NullEventLog)
    replica: object = types.SimpleNamespace(
        leadership=lambda: types.SimpleNamespace(is_leader=True, leader=None)
    )

    @property
    def machine(self):
        return self

    async def propose_as_leader(self, command):
        self.removed.append(command)


@pytest.fixture
async def leader_and_tracker(autojump_clock, nursery):
    """A leader 20 s into its term and its liveness tracker."""
    leader = Leader()
    tracker = _liveness.LivenessTracker(leader)
    nursery.start_soon(tracker.run)
    await trio.sleep(20)
    yield leader, tracker
    nursery.cancel_scope.cancel()


async def test_newly_recorded_names_do_not_expire_at_once(
    autojump_clock, leader_and_tracker
):
    # The replica that was contacted reports the contact only after the record
    # is committed. An upstream that is removed and recorded again is treated as
    # unknown, and an entry that is removed is missing from lookups.
    leader, _ = leader_and_tracker
    leader.state = model.FleetState(
        1, upstreams=(conftest.upstream(),), nodes=(NODE,)
    )
    await trio.sleep(3)
    assert leader.removed == []


async def test_a_new_incarnation_gets_a_whole_expiry_time(
    autojump_clock, leader_and_tracker
):
    leader, _ = leader_and_tracker
    leader.state = model.FleetState(1, upstreams=(conftest.upstream(),))
    await trio.sleep(6)
    restarted = conftest.upstream(incarnation=200)
    leader.state = model.FleetState(2, upstreams=(restarted,))
    await trio.sleep(6)
    assert leader.removed == []


async def test_only_silent_names_are_removed(
    autojump_clock, leader_and_tracker
):
    leader, tracker = leader_and_tracker
    other = conftest.upstream(
        upstream="u2", address=model.NodeAddress("10.0.0.2", 80)
    )
    leader.state = model.FleetState(
        1, upstreams=(conftest.upstream(), other), nodes=(NODE,)
    )
    for _ in range(10):
        await trio.sleep(1)
        tracker.record_contacts(("u2",), ())
    assert model.RemoveUpstream("u1", 100, False) in leader.removed
    assert model.RemoveNode("edge-1", "start-1") in leader.removed
    assert not any(
        getattr(command, "upstream", None) == "u2" for command in leader.removed
    )
