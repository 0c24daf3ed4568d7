"""Guards against lost commands and wrong results under single faults."""

import pytest
import trio

from guavapulley import consensus
from guavapulley import ports

TARGET_S = 5.0


def applied_payloads(node):
    return [payload for _, payload in node.state_machine.applied]


@pytest.mark.parametrize("seed", range(20))
async def test_new_leader_is_elected_within_target(
    make_cluster, autojump_clock, nursery, seed
):
    cluster = await make_cluster(nursery, seed).form_cluster()
    # Each seed crashes the leader at another phase of the heartbeat.
    await trio.sleep(1 + seed * 0.013)
    await cluster.crash(cluster.leader())
    started = trio.current_time()
    await cluster.propose(b"after", timeout_s=1)
    assert trio.current_time() - started <= TARGET_S
    nursery.cancel_scope.cancel()


async def test_isolated_leader_tells_unknown_from_rejected_commands(
    make_cluster, autojump_clock, nursery
):
    cluster = await make_cluster(nursery, 1).form_cluster()
    old_leader = cluster.leader()
    cluster.isolate(old_leader)
    with pytest.raises(consensus.NoQuorumError) as timed_out:
        await old_leader.replica.propose(b"unknown", 3)
    assert timed_out.value.appended
    assert not old_leader.replica.leadership().is_leader
    with pytest.raises(consensus.NoQuorumError) as raised:
        await old_leader.replica.propose(b"refused", 3)
    assert not raised.value.appended
    with pytest.raises(consensus.NoQuorumError):
        await old_leader.replica.read_index(3)
    await cluster.propose(b"other")
    assert old_leader.replica.leadership().quorum_age_s > 3
    cluster.remove_network_faults()
    await cluster.propose(b"last")
    await cluster.wait_for(
        lambda: applied_payloads(old_leader)[-1:] == [b"last"]
    )
    assert applied_payloads(old_leader) == [b"other", b"last"]
    nursery.cancel_scope.cancel()


async def test_leader_without_replies_confirms_no_read(
    make_cluster, autojump_clock, nursery
):
    cluster = await make_cluster(nursery, 8).form_cluster()
    old_leader = cluster.leader()
    cluster.isolate(old_leader)
    assert old_leader.replica.leadership().is_leader
    with pytest.raises(consensus.NoQuorumError):
        await old_leader.replica.read_index(3)
    nursery.cancel_scope.cancel()


async def test_replaced_entry_is_reported_as_never_applied(
    make_cluster, autojump_clock, nursery
):
    cluster = await make_cluster(nursery, 2).form_cluster()
    old_leader = cluster.leader()
    cluster.isolate(old_leader)
    results = []

    async def propose():
        with pytest.raises(consensus.NoQuorumError) as raised:
            await old_leader.replica.propose(b"replaced", 60)
        results.append(raised.value.appended)

    nursery.start_soon(propose)
    await trio.sleep(5)
    await cluster.propose(b"other")
    cluster.remove_network_faults()
    await cluster.wait_for(lambda: results == [False])
    assert applied_payloads(old_leader) == [b"other"]
    nursery.cancel_scope.cancel()


async def test_follower_isolated_for_long_does_not_depose_leader(
    make_cluster, autojump_clock, nursery
):
    cluster = await make_cluster(nursery, 3).form_cluster()
    leader = cluster.leader()
    term = leader.replica.leadership().term
    isolated = next(node for node in cluster.nodes if node is not leader)
    cluster.isolate(isolated)
    await trio.sleep(300)
    await cluster.propose(b"meanwhile")
    with pytest.raises(consensus.NoQuorumError) as raised:
        await isolated.replica.propose(b"refused", 3)
    assert not raised.value.appended
    assert isolated.replica.leadership().quorum_age_s > 290
    cluster.remove_network_faults()
    await cluster.wait_for(lambda: applied_payloads(isolated) == [b"meanwhile"])
    await trio.sleep(10)
    assert cluster.leader() is leader
    assert {n.replica.leadership().term for n in cluster.nodes} == {term}
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(6))
async def test_loss_of_a_disk_then_of_another_vm_loses_no_command(
    make_cluster, autojump_clock, nursery, seed
):
    cluster = await make_cluster(nursery, seed).form_cluster()
    await cluster.propose(b"before")
    leader = cluster.leader()
    followers = [node for node in cluster.nodes if node is not leader]
    wiped, crashed = followers if seed % 2 else (leader, followers[0])
    await cluster.crash(wiped, lose_disk=True)
    await cluster.start(wiped)
    await cluster.wait_for(
        lambda: cluster.all_voters(3) and applied_payloads(wiped) == [b"before"]
    )
    await cluster.crash(crashed)
    await cluster.propose(b"after")
    for node in cluster.running():
        await cluster.wait_for(lambda n=node: len(applied_payloads(n)) == 2)
        assert applied_payloads(node) == [b"before", b"after"]
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(24))
async def test_acknowledged_command_survives_on_any_majority(
    make_cluster, autojump_clock, nursery, seed
):
    cluster = await make_cluster(nursery, seed, max_sync_s=0.3).form_cluster()
    leader = cluster.leader()
    # With one fast disk the other disks may not have synced the command when
    # it is acknowledged.
    node_with_fast_disk = (
        leader if seed % 2 else cluster.nodes[cluster.nodes.index(leader) - 1]
    )
    node_with_fast_disk.replica.store.store.max_sync_s = 0
    await leader.replica.propose(b"answered", 5)
    await cluster.crash(*cluster.nodes)
    survivors = sorted(
        cluster.nodes, key=lambda node: len(node.disk.stored.entries)
    )[:2]
    await cluster.start(*survivors)
    await cluster.propose(b"after")
    assert applied_payloads(cluster.leader()) == [b"answered", b"after"]
    nursery.cancel_scope.cancel()


async def test_cluster_with_a_majority_of_lost_disks_elects_no_leader(
    make_cluster, autojump_clock, nursery
):
    cluster = await make_cluster(nursery, 4).form_cluster()
    await cluster.propose(b"committed")
    survivor = cluster.leader()
    for node in cluster.nodes:
        if node is not survivor:
            await cluster.crash(node, lose_disk=True)
            await cluster.start(node)
    await trio.sleep(60)
    for node in cluster.nodes:
        assert not node.replica.leadership().is_leader
        assert node.replica.status().identity is None or node is survivor
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("snapshot_entries", [50, 1_000_000])
async def test_restarted_replica_catches_up_with_hundreds_of_commands(
    make_cluster, autojump_clock, nursery, snapshot_entries
):
    cluster = make_cluster(
        nursery,
        5,
        snapshot_entries=snapshot_entries,
        trailing_entries=10,
        snapshot_chunk_bytes=500,
    )
    await cluster.form_cluster()
    stopped = next(n for n in cluster.nodes if n is not cluster.leader())
    await cluster.crash(stopped)
    expected = [b"change %d" % number for number in range(400)]
    for payload in expected:
        await cluster.propose(payload)
    await cluster.start(stopped)
    started = trio.current_time()
    await cluster.wait_for(lambda: applied_payloads(stopped) == expected)
    assert trio.current_time() - started < TARGET_S
    await cluster.propose(b"last")
    for node in cluster.nodes:
        await cluster.crash(node)
    await cluster.start()
    for node in cluster.nodes:
        await cluster.wait_for(lambda n=node: len(applied_payloads(n)) == 401)
        assert applied_payloads(node) == [*expected, b"last"]
    nursery.cancel_scope.cancel()


async def test_disk_failure_stops_the_replica(
    make_cluster, autojump_clock, nursery
):
    cluster = await make_cluster(nursery, 6).form_cluster()
    old_leader = cluster.leader()
    old_leader.disk.failing = True
    results = []

    async def propose():
        try:
            results.append(await old_leader.replica.propose(b"a", 5))
        except consensus.NoQuorumError as error:
            results.append(error.appended)

    nursery.start_soon(propose)
    await cluster.wait_for(lambda: old_leader.error is not None and results)
    assert old_leader.error.code == ports.DISK_FAILED
    assert not old_leader.replica.leadership().is_leader
    with pytest.raises(consensus.ConsensusError):
        await old_leader.replica.propose(b"b", 1)
    # The followers are a majority and may have stored the command before the
    # leader stopped, so that it was committed.
    assert results[0] is True or results[0] > 0
    await cluster.propose(b"c")
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("toward_leader", [True, False])
async def test_link_that_delivers_in_one_direction_only(
    make_cluster, autojump_clock, nursery, toward_leader
):
    cluster = await make_cluster(nursery, 7).form_cluster()
    old_leader = cluster.leader()
    for node in cluster.nodes:
        if node is not old_leader:
            pair = (node, old_leader) if toward_leader else (old_leader, node)
            cluster.cut_one_way(*pair)
    await trio.sleep(TARGET_S)
    await cluster.propose(b"a")
    assert cluster.leader() is not old_leader
    assert not old_leader.replica.leadership().is_leader
    cluster.remove_network_faults()
    await cluster.wait_for(lambda: applied_payloads(old_leader) == [b"a"])
    nursery.cancel_scope.cancel()


async def test_entries_that_overtake_a_preceding_entry_are_resent(
    make_cluster, autojump_clock, nursery
):
    cluster = await make_cluster(nursery, 9).form_cluster()
    leader = cluster.leader()
    node = next(item for item in cluster.nodes if item is not leader)
    await leader.replica.read_index(1)
    # The first entry arrives late. The rejection of the second entry arrives
    # after the first entry has been acknowledged.
    delays = {
        (leader.address, node.address): [0.2],
        (node.address, leader.address): [0.3],
    }
    cluster.network.delay_s = lambda *pair: (delays.get(pair) or [0.001]).pop()
    for payload in (b"first", b"second"):
        nursery.start_soon(leader.replica.propose, payload, 5)
        await trio.sleep(0.01)
    await trio.sleep(1)
    assert not any(delays.values())
    assert applied_payloads(node) == [b"first", b"second"]
    nursery.cancel_scope.cancel()


async def test_leader_crash_during_a_promotion_does_not_block_commits(
    make_cluster, autojump_clock, nursery
):
    cluster = await make_cluster(nursery, 10).form_cluster()
    cluster.network.delay_s = lambda source, target: 0.03
    leader = cluster.leader()
    wiped, other = (node for node in cluster.nodes if node is not leader)
    await cluster.crash(wiped, lose_disk=True)
    await cluster.start(wiped)

    def count_voters(node):
        members = node.replica.status().replicas.members
        return sum(member.voter for member in members)

    await cluster.wait_for(lambda: count_voters(leader) == 4)
    cluster.cut_one_way(leader, wiped)
    await cluster.wait_for(lambda: count_voters(other) == 4)
    await cluster.crash(leader)
    assert count_voters(wiped) == 3
    cluster.remove_network_faults()
    await cluster.start(leader)
    await cluster.propose(b"after")
    await cluster.wait_for(lambda: cluster.all_voters(3))
    nursery.cancel_scope.cancel()
