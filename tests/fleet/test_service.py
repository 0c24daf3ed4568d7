"""Fleet service on three replicas: renewals, watches, expiry and failover.

Guards against upstreams and entries that stay in the fleet state after they
have gone, or that are removed while they are up.
"""

import attrs
import pytest
import trio

from guavapulley import consensus
from guavapulley import model
from tests.fleet import conftest
from tests.fleet import control_cluster

NODE = model.NodeRecord(
    "edge-1", "bkk", "bkk-a", model.NodeAddress("10.0.0.9", 80), "a"
)


@pytest.fixture
async def cluster(autojump_clock, nursery):
    cluster = control_cluster.ControlCluster(nursery)
    await cluster.start_accepting()
    yield cluster
    nursery.cancel_scope.cancel()


async def test_nothing_is_accepted_before_all_voters_have_joined(
    autojump_clock, nursery
):
    cluster = control_cluster.ControlCluster(nursery)
    await nursery.start(cluster.network.run)
    await nursery.start(cluster._run, cluster.nodes[0])
    first = cluster.nodes[0].service
    await first.replica.create_cluster(peers_may_be_down=True)
    await trio.sleep(5)
    with pytest.raises(consensus.NoQuorumError) as raised:
        await first.propose(conftest.change(1, 0))
    assert not raised.value.appended
    nursery.cancel_scope.cancel()


async def test_only_the_upstream_that_stops_renewing_expires(
    autojump_clock, cluster
):
    service = cluster.nodes[1].service
    other = conftest.upstream(
        upstream="u2", address=model.NodeAddress("10.0.0.2", 80)
    )
    await service.renew_upstream(other)
    for sequence in range(2, 20):
        await trio.sleep(1.0)
        await service.renew_upstream(attrs.evolve(other, sequence=sequence))
    names = [r.upstream for r in service.machine.state.upstreams]
    assert names == ["u2"]


async def test_unchanged_renewals_are_not_logged(autojump_clock, cluster):
    service = cluster.nodes[1].service
    await service.renew_upstream(conftest.upstream(sequence=2))
    await trio.sleep(1)
    last_index = service.replica.status().last_index
    for sequence in range(3, 9):
        await service.renew_upstream(conftest.upstream(sequence=sequence))
    assert service.replica.status().last_index == last_index


async def test_the_end_of_the_cold_period_is_logged_once(
    autojump_clock, cluster
):
    # Without the record of the end, an entry that starts later would treat the
    # upstream as cold again.
    service = cluster.nodes[1].service
    await service.renew_upstream(conftest.upstream(sequence=2, cold_s=3.0))
    await trio.sleep(1)
    for sequence, cold_s in [(3, 1.5), (4, 0.0), (5, 0.0)]:
        await service.renew_upstream(
            conftest.upstream(sequence=sequence, cold_s=cold_s)
        )
        await trio.sleep(1)
        if cold_s:
            assert service.machine.upstream("u1").cold_s == 3.0
    recorded = service.machine.upstream("u1")
    assert (recorded.cold_s, recorded.sequence) == (0.0, 4)


def decode_changes(update):
    return conftest.CODEC.decode(update.encoded_changes)


async def test_a_watch_returns_changes_and_records_the_entry(
    autojump_clock, cluster
):
    service = cluster.nodes[1].service
    first = await service.handle(model.WatchFleet(NODE, 0, 0.5))
    assert decode_changes(first).state.index == first.index
    started_s = trio.current_time()

    async def drain():
        leaving = conftest.upstream(
            sequence=9, state=model.UpstreamState.LEAVING
        )
        await trio.sleep(0.1)
        await cluster.nodes[0].service.renew_upstream(leaving)

    await trio.sleep(1)
    last_seen_index = service.machine.state.index
    async with trio.open_nursery() as nursery:
        nursery.start_soon(drain)
        update = await service.handle(
            model.WatchFleet(NODE, last_seen_index, 5.0)
        )
    names = [type(c).__name__ for c in decode_changes(update).changes]
    assert names == ["RecordUpstream"]
    assert trio.current_time() - started_s < 2
    assert NODE in service.machine.state.nodes
    await trio.sleep(6)
    assert NODE not in service.machine.state.nodes


async def test_a_replica_without_quorum_rejects_renewals_and_reads(
    autojump_clock, cluster
):
    isolated = cluster.nodes[2]
    for other in cluster.nodes[:2]:
        cluster.network.blocked_links.add((isolated.address, other.address))
        cluster.network.blocked_links.add((other.address, isolated.address))
    await trio.sleep(2)
    with pytest.raises(consensus.ConsensusError):
        await isolated.service.renew_upstream(conftest.upstream(sequence=5))
    with pytest.raises(consensus.ConsensusError):
        await isolated.service.read()
    update = await isolated.service.handle(model.WatchFleet(None, 0, 0.1))
    assert update.quorum_age_s > 0.9


async def test_a_resent_change_is_accepted_by_the_next_leader(
    autojump_clock, cluster
):
    leader = cluster.leader()
    other = next(n for n in cluster.nodes if n is not leader)
    change = conftest.change(1, 0)
    assert (await other.service.propose(change)).accepted
    leader.scope.cancel()

    async def is_accepted_again():
        return (await other.service.propose(change)).accepted

    await cluster.retry_until_true(is_accepted_again)
    state = await other.service.read()
    assert state.routing.version == 1


async def test_contacts_of_silent_names_are_dropped(autojump_clock, cluster):
    # Every replaced upstream gets a new name, so the tables would grow for
    # months.
    await trio.sleep(3)
    trackers = [node.service.liveness for node in cluster.nodes]
    for tracker in trackers:
        tracker.record_contacts(["gone"], ["gone-node"])
    await trio.sleep(10)
    leading = [
        tracker for tracker in trackers if tracker.leading_since_s is not None
    ]
    assert leading
    for tracker in leading:
        assert "gone" not in tracker.upstream_contact_s
        assert "gone-node" not in tracker.node_contact_s
