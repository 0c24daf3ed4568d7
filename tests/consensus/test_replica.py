"""Guards against replicas that do not form a cluster, commit or redirect."""

import pytest
import trio

from guavapulley import consensus
from guavapulley import model
from guavapulley.adapters import prometheus


async def test_three_replicas_form_a_cluster_commit_and_read(
    make_cluster, autojump_clock, nursery
):
    cluster = await make_cluster(nursery, 1).form_cluster()
    leader = cluster.leader()
    index = await leader.replica.propose(b"a", 5)
    assert await leader.replica.read_index(5) >= index
    for node in cluster.nodes:
        await node.replica.wait_applied(index)
        assert node.state_machine.applied == [(index, b"a")]
        leadership = node.replica.leadership()
        assert leadership.leader == leader.address
        assert leadership.quorum_age_s < 1
        if node is not leader:
            with pytest.raises(consensus.NotLeaderError) as raised:
                await node.replica.propose(b"b", 1)
            assert raised.value.leader == leader.address
            with pytest.raises(consensus.NotLeaderError):
                await node.replica.read_index(1)
    nursery.cancel_scope.cancel()


async def test_commit_takes_one_round_trip(
    make_cluster, autojump_clock, nursery
):
    cluster = await make_cluster(nursery, 2).form_cluster()
    cluster.network.delay_s = lambda source, target: 0.035
    latencies = []

    async def propose():
        started = trio.current_time()
        await cluster.leader().replica.propose(b"a", 5)
        latencies.append(trio.current_time() - started)

    async with trio.open_nursery() as proposals:
        for _ in range(100):
            proposals.start_soon(propose)
            await trio.sleep(0.003)
    # A batch interval of 5 ms and two syncs of at most 2 ms add to the round
    # trip.
    assert max(latencies) <= 0.070 + 0.009
    nursery.cancel_scope.cancel()


async def test_create_cluster_is_rejected_for_and_next_to_a_member(
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
        with pytest.raises(consensus.ConsensusError) as raised:
            await node.replica.create_cluster()
        assert raised.value.code == code
    nursery.cancel_scope.cancel()


async def test_messages_for_another_cluster_or_replica_are_rejected(
    make_cluster, autojump_clock, nursery
):
    cluster = await make_cluster(nursery, 4).form_cluster()
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
            with pytest.raises(consensus.ConsensusError) as raised:
                await cluster.nodes[1].replica.handle(message)
            assert raised.value.code == code
    assert cluster.nodes[1].replica.status().term == status.term
    nursery.cancel_scope.cancel()


async def test_a_leader_with_served_metrics_makes_snapshots(
    make_cluster, autojump_clock, nursery
):
    # A metric that cannot be registered would end the replica.
    cluster = make_cluster(nursery, 1, snapshot_entries=20)
    metrics = []

    def make_metrics():
        metrics.append(prometheus.PrometheusMetrics())
        return metrics[-1]

    cluster.make_metrics = make_metrics
    await cluster.form_cluster()
    for number in range(30):
        await cluster.propose(b"%d" % number)
    answer = await metrics[0].answer(model.HttpRequest("GET", "/metrics"))
    assert cluster.running() == cluster.nodes
    assert b'guavapulley_replica{kind="snapshot_bytes"}' in answer.body
    nursery.cancel_scope.cancel()
