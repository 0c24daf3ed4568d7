"""Guards against replicas whose memory grows with the size of commands."""

import trio

from guavapulley import model
from guavapulley.adapters import codec
from guavapulley.consensus import _log

KIB = 1024
MIB = 1024 * KIB


def filled_log(sizes):
    log = _log.Log(codec.MessageCodec())
    log.append(
        [
            model.LogEntry(index, 1, model.EntryKind.COMMAND, b"x" * size)
            for index, size in enumerate(sizes, 1)
        ]
    )
    return log


def snapshot_at(index):
    return model.Snapshot(index, 1, model.ReplicaSet(), b"")


def test_a_compacted_log_keeps_few_large_entries():
    log = filled_log([MIB] * 40)
    log.compact(snapshot_at(38), 500, 3 * MIB)
    assert log.base_index == 35
    assert log.last_index == 40
    assert log.payload_bytes == 5 * MIB


def test_payload_bytes_follow_each_change_of_the_log():
    log = filled_log([10, 20, 30, 40, 50])
    log.truncate_from(5)
    assert log.payload_bytes == 100
    log.compact(snapshot_at(3), 1, 30)
    assert log.payload_bytes == 70
    log.reset(snapshot_at(3))
    assert log.payload_bytes == 40
    log.reset(snapshot_at(9))
    assert log.payload_bytes == 0


async def test_a_silent_peer_keeps_few_bytes_in_flight(
    make_cluster, autojump_clock, nursery
):
    """A leader held 32 messages of 1 MiB for each peer that did not answer."""
    cluster = make_cluster(
        nursery, 1, batch_interval_s=0.0, max_batch_bytes=256 * KIB
    )
    await cluster.form_cluster()
    leader = cluster.leader()
    silent = next(node for node in cluster.nodes if node is not leader)
    cluster.cut_one_way(silent, leader)
    progress = leader.replica.state.leader_term.progress
    peer_id = silent.replica.state.own_id
    most = 0
    for number in range(48):
        await cluster.propose(b"%2d" % number + b"x" * 256 * KIB)
        # Messages overtake each other when all are sent at once.
        await trio.sleep(0.01)
        most = max(most, progress[peer_id].bytes_in_flight)
    assert most <= 4 * MIB + 257 * KIB
    nursery.cancel_scope.cancel()


async def test_a_replica_without_snapshots_rejects_further_commands(
    make_cluster, autojump_clock, nursery
):
    """Uncommitted commands were limited in number, but not in bytes."""
    cluster = make_cluster(nursery, 2, max_log_bytes=MIB)
    await cluster.form_cluster()
    leader = cluster.leader()
    rejected = []

    async def propose():
        try:
            await leader.replica.propose(b"x" * 128 * KIB, 0.5)
        except Exception as error:
            rejected.append(error.appended)

    cluster.isolate(leader)
    for _ in range(20):
        nursery.start_soon(propose)
    await cluster.wait_for(lambda: len(rejected) == 20)
    assert rejected.count(True) <= 8
    assert leader.replica.state.log.payload_bytes <= MIB + 128 * KIB
    nursery.cancel_scope.cancel()
