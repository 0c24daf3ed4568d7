"""Guards against a late first election after all replicas lost power."""

import pytest
import trio

SHORT_FIRST_ELECTION = {
    "first_election_min_s": 0.3,
    "first_election_max_s": 0.9,
}


async def form_five_voters(make_cluster, nursery, seed):
    cluster = make_cluster(
        nursery, seed, count=5, max_voters=5, **SHORT_FIRST_ELECTION
    )
    await cluster.form_cluster()
    await cluster.wait_for(lambda: cluster.all_voters(5))
    return cluster


@pytest.mark.parametrize("seed", range(5))
async def test_leader_is_elected_early_after_power_loss(
    make_cluster, autojump_clock, nursery, seed
):
    cluster = await form_five_voters(make_cluster, nursery, seed)
    await cluster.propose(b"kept")
    await cluster.crash(*cluster.nodes)
    restarted_s = trio.current_time()
    await cluster.start(*cluster.nodes)
    await cluster.wait_for(cluster.leader)
    # The minimum election timeout of a replica that has lost its leader.
    assert trio.current_time() - restarted_s < 1.0
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(5))
async def test_restarted_replica_does_not_depose_leader(
    make_cluster, autojump_clock, nursery, seed
):
    cluster = await form_five_voters(make_cluster, nursery, seed)
    leader = cluster.leader()
    term = leader.replica.status().term
    for node in cluster.nodes:
        if node is not leader:
            await cluster.crash(node)
            await cluster.start(node)
            await trio.sleep(2)
    assert cluster.leader() is leader
    assert leader.replica.status().term == term
    nursery.cancel_scope.cancel()
