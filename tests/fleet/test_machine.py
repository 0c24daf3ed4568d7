"""Decisions of the fleet state machine.

Guards against accepted changes that are reverted and departed upstreams that
are recorded again.
"""

import tracemalloc

import attrs
import pytest

from guavapulley import fleet
from guavapulley import model
from tests.fleet import conftest


def test_the_second_change_to_a_base_version_conflicts(log):
    assert log.apply(conftest.change(1, 0)).accepted
    assert log.apply(conftest.change(3, 1, content_hash="a")).accepted
    second = log.apply(conftest.change(3, 1, content_hash="b"))
    assert (second.accepted, second.conflict) == (False, True)
    assert log.machine.state.routing.version == 3


def test_a_resent_change_is_acknowledged_but_not_reapplied(log):
    log.apply(conftest.change(1, 0))
    log.apply(conftest.change(2, 1, routes=(conftest.route("other"),)))
    again = log.apply(conftest.change(1, 0))
    assert again.accepted
    assert log.machine.state.routing.version == 2


@pytest.mark.parametrize(
    "invalid_fields",
    [
        {"services": ()},
        {"routes": (conftest.route(path_prefix="stock/"),)},
        {"routes": (conftest.route(target_latency_s=61.0),)},
        {
            "routes": (
                conftest.route(destinations=(model.Destination("stock", 0.0),)),
            )
        },
        {
            "routes": (
                conftest.route(
                    destinations=(
                        model.Destination("stock", 2.0),
                        model.Destination("stock", -1.0),
                    )
                ),
            )
        },
    ],
)
def test_an_invalid_table_is_rejected_with_a_reason(log, invalid_fields):
    log.apply(conftest.change(1, 0))
    verdict = log.apply(conftest.change(2, 1, **invalid_fields))
    assert (verdict.accepted, verdict.conflict) == (False, False)
    assert "route r" in verdict.message
    assert log.machine.state.routing.version == 1


def test_an_update_keeps_unnamed_routes_and_services(log):
    log.apply(
        conftest.change(1, 0, routes=(conftest.route("a"), conftest.route("b")))
    )
    update = conftest.change(
        2, 1, replace=False, routes=(), services=(), removed_routes=("a",)
    )
    assert log.apply(update).accepted
    table = log.machine.state.routing
    assert [route.name for route in table.routes] == ["b"]
    assert [service.name for service in table.services] == ["stock"]


def test_a_late_renewal_does_not_undo_leaving(log):
    leaving = model.UpstreamState.LEAVING
    log.apply(
        model.RecordUpstream(conftest.upstream(sequence=5, state=leaving))
    )
    log.apply(model.RecordUpstream(conftest.upstream(sequence=4)))
    log.apply(model.RecordUpstream(conftest.upstream(sequence=6)))
    assert log.machine.upstream("u1").state is leaving


def test_only_a_new_incarnation_returns_after_departure(log):
    log.apply(model.RecordUpstream(conftest.upstream()))
    log.apply(model.RemoveUpstream("u1", None, final=True))
    log.apply(model.RecordUpstream(conftest.upstream(sequence=9)))
    assert log.machine.upstream("u1") is None
    restarted = conftest.upstream(incarnation=200, sequence=1)
    log.apply(model.RecordUpstream(restarted))
    assert log.machine.upstream("u1") == restarted


def test_an_expired_upstream_returns_with_its_next_renewal(log):
    log.apply(model.RecordUpstream(conftest.upstream()))
    log.apply(model.RemoveUpstream("u1", 100, final=False))
    log.apply(model.RecordUpstream(conftest.upstream(sequence=2)))
    assert log.machine.upstream("u1") is not None


def test_an_address_belongs_to_the_latest_incarnation(log):
    old, new = (
        conftest.upstream(),
        conftest.upstream(upstream="u2", incarnation=200),
    )
    log.apply(model.RecordUpstream(old))
    log.apply(model.RecordUpstream(new))
    assert log.machine.upstream("u1") is None
    log.apply(model.RecordUpstream(conftest.upstream(sequence=7)))
    assert log.machine.upstream("u1") is None


def test_retained_changes_lead_to_the_current_state(log):
    log.apply(conftest.change(1, 0))
    before = log.machine.state
    log.apply(model.RecordUpstream(conftest.upstream()))
    log.apply(model.SetEvacuation("bkk-a", True))
    log.apply(model.SetEvacuation("bkk-a", True))
    state = before
    for command in log.machine.changes_after(before.index):
        state = model.apply_fleet_command(state, command)
    assert state.upstreams == log.machine.state.upstreams
    assert state.evacuated == ("bkk-a",)


def test_a_snapshot_keeps_accepted_changes_and_departures(log):
    log.apply(conftest.change(1, 0))
    log.apply(model.RecordUpstream(conftest.upstream()))
    log.apply(model.RemoveUpstream("u1", None, final=True))
    other = conftest.upstream(
        upstream="u2", address=model.NodeAddress("10.0.0.2", 80)
    )
    log.apply(model.RecordUpstream(other))
    log.apply(model.RemoveUpstream("u2", 100, final=False))
    copy = fleet.FleetStateMachine(conftest.CODEC)
    copy.restore(log.machine.snapshot())
    assert copy.state == log.machine.state
    assert copy.changes_after(0) is None
    assert copy.departed == log.machine.departed
    assert copy.expired == log.machine.expired
    assert set(copy.expired) == {"u2"}
    assert copy.accepted == log.machine.accepted


def test_an_expired_upstream_that_deregisters_does_not_return(log):
    # Its last renewal may arrive after its deregistration.
    log.apply(model.RecordUpstream(conftest.upstream()))
    log.apply(model.RemoveUpstream("u1", 100, final=False))
    log.apply(model.RemoveUpstream("u1", 100, final=True))
    log.apply(model.RecordUpstream(conftest.upstream(sequence=9)))
    assert log.machine.upstream("u1") is None
    log.apply(model.RecordUpstream(conftest.upstream(incarnation=101)))
    assert log.machine.upstream("u1") is not None


def test_an_expired_upstream_that_any_deregistration_names_does_not_return(log):
    # A deregistration on the platform does not name the incarnation (review/9).
    log.apply(model.RecordUpstream(conftest.upstream()))
    log.apply(model.RemoveUpstream("u1", 100, final=False))
    assert log.machine.last_incarnation("u1") == 100
    log.apply(model.RemoveUpstream("u1", None, final=True))
    log.apply(model.RecordUpstream(conftest.upstream(sequence=9)))
    assert log.machine.upstream("u1") is None
    assert log.machine.last_incarnation("u1") is None
    log.apply(model.RecordUpstream(conftest.upstream(incarnation=101)))
    assert log.machine.upstream("u1") is not None


@pytest.mark.parametrize(
    ("changes", "returns"),
    [
        ({"sequence": 5}, False),
        ({"sequence": 4}, False),
        ({"sequence": 6}, True),
        ({"incarnation": 99, "sequence": 9}, False),
        ({"incarnation": 101, "sequence": 1}, True),
    ],
)
@pytest.mark.parametrize("leaving", [False, True])
def test_only_a_newer_renewal_brings_an_expired_upstream_back(
    log, changes, returns, leaving
):
    # A renewal of before may arrive late; it listed an upstream as ready that
    # had announced that it leaves.
    state = (
        model.UpstreamState.LEAVING if leaving else model.UpstreamState.READY
    )
    log.apply(model.RecordUpstream(conftest.upstream(sequence=5, state=state)))
    log.apply(model.RemoveUpstream("u1", 100, final=False))
    log.apply(model.RecordUpstream(conftest.upstream(**changes)))
    same_incarnation = changes.get("incarnation", 100) == 100
    expected = returns and not (leaving and same_incarnation)
    assert (log.machine.upstream("u1") is not None) is expected


def test_an_old_deregistration_does_not_remove_a_new_incarnation(log):
    log.apply(model.RecordUpstream(conftest.upstream(incarnation=200)))
    log.apply(model.RemoveUpstream("u1", 100, final=True))
    assert log.machine.upstream("u1").incarnation == 200
    log.apply(
        model.RecordUpstream(conftest.upstream(incarnation=200, sequence=2))
    )
    assert log.machine.upstream("u1").sequence == 2
    log.apply(model.RemoveUpstream("u1", 200, final=True))
    log.apply(model.RemoveUpstream("u1", 100, final=True))
    log.apply(
        model.RecordUpstream(conftest.upstream(incarnation=200, sequence=3))
    )
    assert log.machine.upstream("u1") is None


def test_recent_large_changes_do_not_accumulate(log):
    """Each replica exceeded its memory limit after 40 large replacements."""

    def replacement(version):
        routes = tuple(
            conftest.route(f"r{number}", path_prefix=f"/{number}/{version}/")
            for number in range(1_000)
        )
        return conftest.change(version, version - 1, routes=routes)

    def traced_bytes(versions):
        for version in versions:
            assert log.apply(replacement(version)).accepted
        return tracemalloc.get_traced_memory()[0]

    tracemalloc.start()
    try:
        few = traced_bytes(range(1, 11))
        many = traced_bytes(range(11, 31))
    finally:
        tracemalloc.stop()
    # One table more than before, for the allocator's sake.
    assert many - few < few / 10
    assert log.machine.changes_after(1) is None
    assert len(log.machine.changes_after(29)) == 1


NODE = model.NodeRecord(
    "edge-1", "bkk", "bkk-a", model.NodeAddress("10.0.0.9", 80), "a"
)


def test_a_late_record_does_not_replace_a_newer_one(log):
    """Lookups named an entry that was stopping or had already ended."""
    stopping = attrs.evolve(NODE, accepting=False)
    assert log.apply(model.RecordNode(NODE, 0)).accepted
    assert log.apply(model.RecordNode(stopping, 1)).accepted
    assert log.apply(model.RecordNode(NODE, 1)).conflict
    assert log.machine.state.nodes == (stopping,)
    log.apply(model.RemoveNode("edge-1", "a"))
    assert log.apply(model.RecordNode(stopping, 3)).conflict
    assert log.machine.state.nodes == ()
    assert log.apply(model.RecordNode(NODE, 4)).accepted
    assert log.machine.state.nodes == (NODE,)


def test_a_snapshot_keeps_the_indexes_that_reject_late_commands(log):
    log.apply(model.RecordNode(NODE, 0))
    log.apply(model.SetEvacuation("bkk-a", True, 1))
    copy = fleet.FleetStateMachine(conftest.CODEC)
    copy.restore(log.machine.snapshot())
    log.machine = copy
    assert log.apply(model.RecordNode(NODE, 0)).conflict
    assert log.apply(model.SetEvacuation("bkk-a", False, 1)).conflict
    assert log.apply(model.SetEvacuation("bkk-a", False, 2)).accepted


def test_stored_commands_without_a_base_index_are_applied(log):
    log.apply(model.SetEvacuation("bkk-a", True))
    assert log.apply(model.SetEvacuation("bkk-a", False)).accepted
    assert log.machine.state.evacuated == ()
