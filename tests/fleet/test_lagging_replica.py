"""Guards against decisions of a control replica on an old state.

The replica is in contact with a quorum, but has not applied what that has
committed.
"""

import math

import pytest
import trio

from guavapulley import consensus
from guavapulley import model
from tests.fleet import conftest
from tests.fleet import control_cluster

# Largest age of a state on which renewals and entries rely.
MAX_QUORUM_AGE_S = 0.9
LAG_S = 1.5


@pytest.fixture
async def cluster(autojump_clock, nursery):
    cluster = control_cluster.ControlCluster(nursery)
    await cluster.start_accepting()
    yield cluster
    nursery.cancel_scope.cancel()


@pytest.fixture
async def lagging(cluster):
    """Yields a follower that has not applied the removal of an upstream."""
    leader, follower = cluster.leader(), cluster.follower()
    await trio.sleep(1)
    follower.applier.pause()
    await trio.sleep(0.01)
    removal = model.RemoveUpstream("u1", 100, final=False)
    await leader.service.propose(removal)
    await trio.sleep(LAG_S)
    assert follower.service.machine.upstream("u1") is not None
    assert follower.service.replica.state.quorum_contact_s() > (
        trio.current_time() - MAX_QUORUM_AGE_S
    )
    return follower


async def test_renewals_are_rejected_until_it_has_caught_up(
    autojump_clock, cluster, lagging
):
    # It took the renewal for one that changes nothing and confirmed it, though
    # the upstream was not listed any more.
    renewal = conftest.upstream(sequence=9)
    with pytest.raises(consensus.NoQuorumError) as raised:
        await lagging.service.renew_upstream(renewal)
    assert not raised.value.appended
    lagging.applier.resume()
    await trio.sleep(0.5)
    await lagging.service.renew_upstream(renewal)
    assert cluster.leader().service.machine.upstream("u1") == renewal


async def test_entries_are_told_that_its_state_is_old(
    autojump_clock, cluster, lagging
):
    # An entry that watched it would have kept drained upstreams and evacuated
    # failure domains in use.
    watch = model.WatchFleet(None, 0, 0.1)
    update = await lagging.service.handle(watch)
    assert update.quorum_age_s > MAX_QUORUM_AGE_S
    status = await lagging.service.handle(model.GetStatus())
    assert status.quorum_age_s > MAX_QUORUM_AGE_S
    lagging.applier.resume()
    await trio.sleep(0.5)
    update = await lagging.service.handle(watch)
    assert update.quorum_age_s < MAX_QUORUM_AGE_S


async def test_a_restarted_replica_is_not_up_to_date_before_it_has_replayed(
    autojump_clock, cluster
):
    restarted = await cluster.restart_paused(cluster.follower())
    await trio.sleep(LAG_S)
    leadership = restarted.service.replica.leadership()
    assert leadership.leader is not None
    assert math.isinf(leadership.quorum_age_s)
    with pytest.raises(consensus.NoQuorumError):
        await restarted.service.renew_upstream(conftest.upstream(sequence=9))
    restarted.applier.resume()
    await trio.sleep(0.5)
    age_s = restarted.service.replica.leadership().quorum_age_s
    assert age_s < MAX_QUORUM_AGE_S


async def test_a_new_leader_knows_the_state_once_its_term_is_committed(
    autojump_clock, cluster
):
    leader = cluster.leader()
    others = [node for node in cluster.nodes if node is not leader]
    for node in others:
        node.applier.pause()
    await trio.sleep(0.01)
    leader.scope.cancel()
    await cluster.retry_until_true(
        lambda: has_leader(node.service for node in others)
    )
    await trio.sleep(LAG_S)
    elected = next(
        node for node in others if node.service.replica.leadership().is_leader
    )
    age_s = elected.service.replica.leadership().quorum_age_s
    assert age_s > MAX_QUORUM_AGE_S
    elected.applier.resume()
    await trio.sleep(0.5)
    age_s = elected.service.replica.leadership().quorum_age_s
    assert age_s < MAX_QUORUM_AGE_S


async def has_leader(services):
    return any(service.replica.leadership().is_leader for service in services)
