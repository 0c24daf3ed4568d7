"""Guards against orders that run twice and entries that start with old state.

Real control and entry processes on loopback behind the fault proxy, in real
time. The simulated upstream counts the executions of each key.
"""

import json
import time

import pytest
import trio
import urllib3

from guavapulley import model

pytestmark = pytest.mark.processes

REGIONS = ("pb", "za", "tn")
SERVICE_TIME_S = 0.3
# Times before the claim, between claim and dispatch, during the run, around the
# answer of the upstream, and after the reply to the caller.
KILL_AFTER_S = (0.005, 0.03, 0.15, 0.32, 0.6)


def order_upstream(region):
    return model.UpstreamRecord(
        f"orders-{region}",
        "orders",
        model.NodeAddress("127.0.0.1", 0),
        region,
        f"{region}-1",
        6,
        330,
        incarnation=1,
    )


async def start_system(system):
    await system.start_control(REGIONS)
    await system.start_entries(REGIONS)
    for region in REGIONS:
        await system.start_upstream(order_upstream(region), SERVICE_TIME_S)
    (system.folder / "s.ini").write_text("[service orders]\nclass = once\n")
    status, output = await system.operate("apply", "s.ini", "--wait")
    assert status == 0, output
    await wait_for_upstreams(system)


async def wait_for_upstreams(system):
    for node in system.nodes_with_role("entry"):
        await system.wait_until(
            lambda node=node: (
                len((system.status(node) or {"upstreams": ()})["upstreams"])
                == len(REGIONS)
            ),
            15,
            "all upstreams are observed",
        )


async def send_order(system, entry, key):
    """Sends an order to an entry.

    Returns:
        The status and the body; status 0 without a complete answer.
    """
    headers = {
        "Guavapulley-Idempotency-Key": key,
        "Guavapulley-Key-Created": str(int(time.time())),
    }
    try:
        reply = await system.request(
            entry, "POST", "/s/orders/o", headers=headers, body=b"order"
        )
    except urllib3.exceptions.HTTPError:
        return 0, b""
    return reply.status, reply.data


def executions(system, key):
    return sum(up.executions[key] for up in system.upstreams.values())


async def test_an_order_runs_at_most_once_when_its_entry_is_killed(system):
    await start_system(system)
    for delay_s in KILL_AFTER_S:
        key = f"killed-after-{delay_s}"
        answers = []

        async def send_first_order(key=key, answers=answers):
            answers.append(await send_order(system, "entry-0", key))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_first_order)
            await trio.sleep(delay_s)
            await system.kill("entry-0")
        for entry in ("entry-1", "entry-2"):
            answers.append(await send_order(system, entry, key))
        await trio.sleep(2 * SERVICE_TIME_S)
        runs = executions(system, key)
        assert runs <= 1, (key, answers)
        assert any(status == 200 for status, _ in answers) <= (runs == 1)
        for status, body in answers:
            if status not in {0, 200}:
                assert not json.loads(body)["not_run"] or runs == 0, answers
        await system.start("entry-0")
        await wait_for_upstreams(system)


async def test_a_restarted_entry_does_not_serve_from_a_stale_replica(system):
    await start_system(system)
    partitioned = ["control-pb", "entry-0"]
    hosts = [system.nodes[name].host for name in partitioned]
    others = [
        n.host for n in system.nodes.values() if n.name not in partitioned
    ]
    for host in hosts:
        system.proxy.isolate(host, others)
    (system.folder / "d.ini").write_text("[drain d]\nupstreams = rack = 1\n")
    status, output = await system.operate(
        "apply", "d.ini", at=("control-za", "control-tn")
    )
    assert status == 0, output
    await system.kill("entry-0")
    await system.start("entry-0")
    await trio.sleep(3)
    status, body = await send_order(system, "entry-0", "stale")
    refusal = json.loads(body)
    assert (status, refusal["code"]) == (503, "CONFIGURATION_UNCONFIRMED")
    assert refusal["not_run"] and executions(system, "stale") == 0
    system.proxy.restore_all()
    newest = system.status(system.nodes["control-za"])["revision"]
    await system.wait_until(
        lambda: system.status(system.nodes["entry-0"])["revision"] == newest,
        10,
        "the entry has the newest revision",
    )
