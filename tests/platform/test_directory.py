"""Guards against lookups that name entries which ended long ago."""

import types

import pytest
import trio

from guavapulley import model
from guavapulley_platform import _directory
from tests.fleet import control_cluster

SETTINGS = types.SimpleNamespace(regions={"bkk-a": "bkk"}, directory_ttl_s=1.5)
NODES = [
    model.NodeRecord(
        name, "bkk", "bkk-a", model.NodeAddress(host, 80), "first", True
    )
    for name, host in [("edge-1", "10.0.0.8"), ("edge-2", "10.0.0.9")]
]
LOOKUP = model.HttpRequest(
    "GET", "/resolve", "name=shop.example&region=bkk&zone=bkk-a"
)


async def look_up(node):
    answer = await _directory.DirectoryApi(node.service, SETTINGS).answer(
        LOOKUP
    )
    return answer.head.status, answer.body


@pytest.fixture
async def cluster(autojump_clock, nursery):
    cluster = control_cluster.ControlCluster(nursery)
    await cluster.start_accepting()
    for node in NODES:
        await cluster.leader().service.propose(model.RecordNode(node))
    await trio.sleep(1)
    yield cluster
    nursery.cancel_scope.cancel()


async def test_a_restarted_replica_refuses_lookups_until_it_has_caught_up(
    autojump_clock, cluster
):
    follower = cluster.follower()
    assert (await look_up(follower))[0] == 200
    restarted = await cluster.restart_paused(follower)
    # The state of a snapshot from before an entry ended.
    restarted.service.machine.state = follower.service.machine.state
    await trio.sleep(1)
    assert restarted.service.replica.leadership().leader is not None
    assert (await look_up(restarted))[0] == 503
    restarted.applier.resume()
    await trio.sleep(0.5)
    assert (await look_up(restarted))[0] == 200


async def test_a_replica_without_a_leader_answers_from_its_last_state(
    autojump_clock, cluster
):
    # With the majority lost, callers still find the entries that run.
    follower = cluster.follower()
    for node in cluster.nodes:
        if node is not follower:
            node.scope.cancel()
    await trio.sleep(5)
    assert follower.service.replica.leadership().leader is None
    status, body = await look_up(follower)
    assert status == 200
    assert b"10.0.0.8" in body
