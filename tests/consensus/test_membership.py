"""Guards against replica sets that lose voters or keep failed ones."""

import pytest

from guavapulley import model
from guavapulley.consensus import _membership


def member(name, voter=True, replica_id=None):
    address = model.NodeAddress(name, 1)
    return model.ReplicaMember(replica_id or name, name, address, voter)


def voter_ids(replicas):
    return [m.replica_id for m in replicas.members if m.voter]


VOTERS = (member("a"), member("b"), member("c"))


@pytest.mark.parametrize(
    ("members", "silent", "expected"),
    [
        # A replica beyond the target stays a learner while all voters answer.
        ((*VOTERS, member("d", False)), (), None),
        # The learner is promoted before the silent voter is removed.
        ((*VOTERS, member("d", False)), ("b",), ["a", "b", "c", "d"]),
        ((*VOTERS, member("d")), ("b",), ["a", "c", "d"]),
        # Without a learner that could replace it, a silent voter stays.
        (VOTERS, ("b",), None),
        # A voter that lost its disk is replaced by its new replica ID.
        (
            (*VOTERS, member("b", False, "b2")),
            (),
            ["a", "b", "c", "b2"],
        ),
        ((*VOTERS, member("b", True, "b2")), (), ["a", "c", "b2"]),
    ],
)
def test_replica_set_never_has_fewer_voters_than_the_target(
    members, silent, expected
):
    changed = _membership.next_replica_set(
        model.ReplicaSet(members),
        "a",
        lambda learner: True,
        lambda voter: voter.name in silent,
        max_voters=3,
    )
    assert (voter_ids(changed) if changed else None) == expected


async def test_new_replica_replaces_a_lost_voter(
    make_cluster, autojump_clock, nursery
):
    cluster = make_cluster(
        nursery, 3, count=4, max_voters=3, join_interval_s=0.2
    )
    await cluster.start(*cluster.nodes[:3])
    await cluster.nodes[0].replica.create_cluster(peers_may_be_down=True)
    await cluster.wait_for(lambda: cluster.all_voters(3))
    crashed = cluster.nodes[1]
    await cluster.crash(crashed)
    await cluster.start(cluster.nodes[3])

    def voters():
        leader = cluster.leader()
        replicas = leader.replica.status().replicas if leader else None
        return {m.name for m in replicas.members if m.voter} if leader else ()

    await cluster.wait_for(lambda: voters() == {"c1", "c3", "c4"}, 10)
    await cluster.propose(b"accepted")
    # The crashed replica restarts with its old disk and is admitted again as a
    # learner.
    await cluster.start(crashed)
    await cluster.wait_for(
        lambda: [p for _, p in crashed.state_machine.applied] == [b"accepted"],
        10,
    )
    assert voters() == {"c1", "c3", "c4"}
    nursery.cancel_scope.cancel()
