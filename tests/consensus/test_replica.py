"""Guards against replicas that do not form, answer or follow."""

import pytest
import trio

from guavapulley import consensus
from guavapulley import model


async def test_three_replicas_form_commit_and_read(
    make_cluster, autojump_clock, nursery
):
    cluster = await make_cluster(nursery, 1).form()
    leader = cluster.leader()
    index = await leader.replica.propose(b"a", 5)
    assert await leader.replica.read_index(5) >= index
    for node in cluster.nodes:
        await node.replica.wait_applied(index)
        assert node.machine.applied == [(index, b"a")]
        known = node.replica.leadership()
        assert known.leader == leader.address
        assert known.quorum_age_s < 1
        if node is not leader:
            with pytest.raises(consensus.NotLeaderError) as refused:
                await node.replica.propose(b"b", 1)
            assert refused.value.leader == leader.address
            with pytest.raises(consensus.NotLeaderError):
                await node.replica.read_index(1)
    nursery.cancel_scope.cancel()


async def test_commit_takes_one_round_trip(
    make_cluster, autojump_clock, nursery
):
    cluster = await make_cluster(nursery, 2).form()
    cluster.network.delay_s = lambda source, target: 0.035
    latencies = []

    async def propose():
        started = trio.current_time()
        await cluster.leader().replica.propose(b"a", 5)
        latencies.append(trio.current_time() - started)

    async with trio.open_nursery() as commands:
        for _ in range(100):
            commands.start_soon(propose)
            await trio.sleep(0.003)
    # A batch interval of 5 ms and two syncs of at most 2 ms come on top.
    assert max(latencies) <= 0.070 + 0.009
    nursery.cancel_scope.cancel()


async def test_create_is_refused_in_a_cluster_and_beside_one(
    make_cluster, autojump_clock, nursery
):
    cluster = make_cluster(nursery, 3)
    first, second, third = cluster.nodes
    await cluster.start(first, second)
    for node, code in (
        (first, consensus.CLUSTER_UNCERTAIN),
        (first, None),
        (first, consensus.CLUSTER_EXISTS),
        (second, consensus.CLUSTER_EXISTS),
    ):
        if code is None:
            await node.replica.create_cluster(peers_may_be_down=True)
            continue
        with pytest.raises(consensus.ConsensusError) as refused:
            await node.replica.create_cluster()
        assert refused.value.code == code
    nursery.cancel_scope.cancel()


async def test_messages_for_others_are_refused(
    make_cluster, autojump_clock, nursery
):
    cluster = await make_cluster(nursery, 4).form()
    status = cluster.nodes[1].replica.status()
    own, other = status.identity.replica_id, "0" * 32
    for cluster_id, target, code in (
        ("other", own, consensus.WRONG_CLUSTER),
        (status.identity.cluster_id, other, consensus.WRONG_REPLICA),
    ):
        for message in (
            model.RequestVote(cluster_id, 9, other, 9, 9, False, target),
            model.AppendEntries(cluster_id, 9, other, 0, 0, (), 0, target),
            model.InstallSnapshot(
                cluster_id, 9, other, 5, 1, 0, 1, b"x", target
            ),
        ):
            with pytest.raises(consensus.ConsensusError) as refused:
                await cluster.nodes[1].replica.handle(message)
            assert refused.value.code == code
    assert cluster.nodes[1].replica.status().term == status.term
    nursery.cancel_scope.cancel()
