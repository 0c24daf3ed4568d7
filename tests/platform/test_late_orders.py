"""Guards against orders that take effect after newer ones.

A partition or a pause of a process can hold up an order for longer than its
caller waits for the answer.
"""

import types

import attrs
import pytest
import trio

from guavapulley import consensus
from guavapulley import model
from guavapulley_platform import _control
from tests.fleet import conftest
from tests.fleet import control_cluster

SETTINGS = types.SimpleNamespace(regions={"bkk-a": "bkk", "bkk-b": "bkk"})
# Time after which an operator sends an order to another replica.
OPERATOR_TIMEOUT_S = 1.0
# `ack_timeout_s` of the platform, within which an order must be acknowledged.
ACK_TIMEOUT_S = 4.0


async def call(node, path, timeout_s=OPERATOR_TIMEOUT_S):
    """Returns the status of a call, or None if the caller gives up."""
    api = _control.ControlApi(node.service, SETTINGS)
    with trio.move_on_after(timeout_s):
        answer = await api.answer(model.HttpRequest("POST", path))
        return answer.head.status
    return None


@pytest.fixture
async def cluster(autojump_clock, nursery):
    cluster = control_cluster.ControlCluster(
        nursery, control_cluster.HoldingNetwork()
    )
    await cluster.start_accepting()
    yield cluster
    nursery.cancel_scope.cancel()


async def evacuated_everywhere(cluster):
    await trio.sleep(1)
    return [node.service.machine.state.evacuated for node in cluster.nodes]


@pytest.mark.parametrize("held_type", [model.ProposeCommand, model.ReadIndex])
async def test_a_late_order_does_not_undo_a_newer_evacuation(
    autojump_clock, cluster, held_type
):
    leader, follower = cluster.leader(), cluster.follower()
    assert await call(leader, "/Evacuations.Begin/bkk-a") == 200
    await trio.sleep(1)
    cluster.network.held_type = held_type
    assert await call(follower, "/Evacuations.Finish/bkk-a") != 200
    assert await call(leader, "/Evacuations.Finish/bkk-a") == 200
    assert await call(leader, "/Evacuations.Begin/bkk-a") == 200
    cluster.network.released.set()
    assert await evacuated_everywhere(cluster) == [("bkk-a",)] * 3


async def test_a_late_evacuation_does_not_begin_again(autojump_clock, cluster):
    leader, follower = cluster.leader(), cluster.follower()
    cluster.network.held_type = model.ProposeCommand
    assert await call(follower, "/Evacuations.Begin/bkk-a") is None
    assert await call(leader, "/Evacuations.Begin/bkk-a") == 200
    assert await call(leader, "/Evacuations.Finish/bkk-a") == 200
    cluster.network.released.set()
    assert await evacuated_everywhere(cluster) == [()] * 3


async def test_an_order_without_effect_supersedes_a_late_one(
    autojump_clock, cluster
):
    leader, follower = cluster.leader(), cluster.follower()
    assert await call(leader, "/Evacuations.Begin/bkk-a") == 200
    await trio.sleep(1)
    cluster.network.held_type = model.ProposeCommand
    assert await call(follower, "/Evacuations.Finish/bkk-a") is None
    assert await call(leader, "/Evacuations.Begin/bkk-a") == 200
    cluster.network.released.set()
    assert await evacuated_everywhere(cluster) == [("bkk-a",)] * 3


async def test_concurrent_orders_at_all_replicas_are_acknowledged(
    autojump_clock, cluster
):
    statuses = []

    async def order(node, verb):
        path = f"/Evacuations.{verb}/bkk-a"
        statuses.append(await call(node, path, ACK_TIMEOUT_S))

    async with trio.open_nursery() as orders:
        for node in cluster.nodes:
            for verb in ("Begin", "Finish", "Begin"):
                orders.start_soon(order, node, verb)
    assert statuses == [200] * 9


async def test_a_late_deregistration_does_not_remove_a_new_incarnation(
    autojump_clock, cluster
):
    follower = cluster.follower()
    # A replica that does not know the upstream yet rejects the call at once.
    await trio.sleep(1)
    cluster.network.held_type = model.ProposeCommand
    assert await call(follower, "/Instances.Deregister/u1") is None
    restarted = conftest.upstream(incarnation=200)
    await cluster.leader().service.renew_upstream(restarted)
    cluster.network.released.set()
    await trio.sleep(1)
    for node in cluster.nodes:
        assert node.service.machine.upstream("u1") == restarted


async def test_a_replica_that_is_behind_does_not_confirm_a_departure(
    autojump_clock, cluster
):
    # It removed the earlier incarnation that it knew, and the upstream that had
    # left got requests until it expired (review/8).
    leader, follower = cluster.leader(), cluster.follower()
    restarted = conftest.upstream(incarnation=200)
    await trio.sleep(1)
    follower.applier.pause()
    await trio.sleep(0.01)
    await leader.service.renew_upstream(restarted)
    statuses = []

    async def leave():
        statuses.append(await call(follower, "/Instances.Deregister/u1"))

    async with trio.open_nursery() as calls:
        calls.start_soon(leave)
        await trio.sleep(0.5)
        follower.applier.resume()
    await leave()
    assert statuses == [503, 200]
    await trio.sleep(1)
    for node in cluster.nodes:
        assert node.service.machine.upstream("u1") is None
    # The incarnation that left does not return with a late renewal.
    await leader.service.renew_upstream(attrs.evolve(restarted, sequence=2))
    assert leader.service.machine.upstream("u1") is None


@pytest.mark.parametrize("name", ["u1", "new"])
async def test_a_held_deregistration_does_not_remove_a_newer_incarnation(
    autojump_clock, cluster, name
):
    # "new" was not recorded before: the earlier incarnation had expired.
    follower = cluster.follower()
    await trio.sleep(1)
    cluster.network.held_type = model.ReadIndex
    newer = conftest.upstream(
        upstream=name,
        incarnation=200,
        address=model.NodeAddress("10.0.0.9", 80),
    )
    statuses = []

    async def leave():
        statuses.append(await call(follower, f"/Instances.Deregister/{name}"))

    async with trio.open_nursery() as calls:
        calls.start_soon(leave)
        await trio.sleep(0.2)
        await cluster.leader().service.renew_upstream(newer)
        cluster.network.released.set()
    # A 200 would confirm that the newer incarnation has left.
    assert statuses == [503]
    await trio.sleep(1)
    for node in cluster.nodes:
        assert node.service.machine.upstream(name) == newer


async def test_a_late_renewal_does_not_return_an_expired_upstream_that_left(
    autojump_clock, cluster
):
    # The deregistration found no record and was confirmed without a trace; a
    # renewal that a partition had held up listed the upstream again (review/9).
    await trio.sleep(10)
    follower = cluster.follower()
    assert follower.service.machine.upstream("u1") is None
    assert await call(follower, "/Instances.Deregister/u1") == 200
    late = conftest.upstream(sequence=2)
    await cluster.leader().service.renew_upstream(late)
    await trio.sleep(1)
    for node in cluster.nodes:
        assert node.service.machine.upstream("u1") is None


async def test_only_the_leader_removes_silent_upstreams(
    autojump_clock, cluster
):
    """A deposed leader had its successor remove upstreams in its place."""
    with pytest.raises(consensus.NotLeaderError):
        await cluster.follower().service.propose_as_leader(
            model.RemoveUpstream("u1", 100, final=False)
        )
