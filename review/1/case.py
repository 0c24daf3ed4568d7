"""An order that a cut holds up undoes a later order that was acknowledged."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import harness  # noqa: E402

HOST, ZONE = "shop.example", "pb-1"
# `core_cut` of one machine, as the site file has it.
CUT_S = 5.5
CONTACT_S, EVACUATE_S = 4.0, 5.0
WATCHED_S = 15.0


async def main(record):
    """Returns whether the rule was broken."""
    deployment = harness.Deployment()
    operator = harness.Operator(deployment, record)
    servers = [
        harness.Server(f"u{index + 1}", "stock", zone, record)
        for index, zone in enumerate(harness.ZONES)
    ]
    tasks = []
    first = {
        "version": 1,
        "base_version": 0,
        "resources": [
            harness.route("r-shown", "/a/", "stock"),
            harness.service("stock"),
        ],
    }
    try:
        for index, server in enumerate(servers):
            await server.start(f"{deployment.network}.{30 + index}")
        await deployment.start(operator, first, proxied=True)
        tasks += [
            asyncio.create_task(server.beat(deployment)) for server in servers
        ]
        client = harness.Client(deployment.edge, record, HOST)

        async def all_used():
            await asyncio.gather(*(client.get("/a/x") for _ in range(12)))
            return all(server.arrivals for server in servers)

        await harness.wait_until(all_used, 20, "not all servers are used")
        tasks.append(asyncio.create_task(send_requests(client)))
        await order(operator, "Begin")
        await asyncio.sleep(EVACUATE_S + 1)
        acked_at = await take_back_and_evacuate(deployment, operator, record)
        return await judge(servers[0], acked_at, record)
    finally:
        for task in tasks:
            task.cancel()
        await deployment.stop()
        for server in servers:
            server.close()
        deployment.remove()


async def send_requests(client):
    """Sends requests until cancelled."""
    while True:
        await client.get("/a/x")
        await asyncio.sleep(0.1)


async def order(operator, verb, first=None):
    """Sends an order about the zone until it is acknowledged."""
    status = await operator.send(f"/Evacuations.{verb}/{ZONE}", first=first)
    if status != 200:
        raise harness.CannotRunError(f"an evacuation got {status}")


async def take_back_and_evacuate(deployment, operator, record):
    """Returns when the second evacuation was acknowledged."""
    leader = await deployment.leader()
    if leader is None:
        raise harness.CannotRunError("no leader")
    cut_core = next(core for core in deployment.cores if core is not leader)
    record.write(f"{leader.name} leads")
    cut_at = time.monotonic()
    if harness.TROUBLE:
        record.write(f"{cut_core.name} is cut off from the other core nodes")
        cut(deployment, cut_core)
    await order(operator, "Finish", first=cut_core)
    await asyncio.sleep(1)
    await order(operator, "Begin", first=leader)
    acked_at = time.monotonic()
    await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    for proxy in deployment.proxies:
        proxy.heal()
    record.write(f"the cut has ended after {time.monotonic() - cut_at:.1f} s")
    return acked_at


def cut(deployment, cut_core):
    """Lets nothing pass between a core node and the others."""
    for core, proxy in zip(deployment.cores, deployment.proxies, strict=True):
        if core is not cut_core:
            proxy.cut_hosts.add(cut_core.ip)
        else:
            proxy.cut_hosts.update(
                other.ip for other in deployment.cores if other is not core
            )


async def judge(server, acked_at, record):
    """Returns whether the evacuated zone got a request that it must not get."""
    # The core is stable again `contact_s` after the cut.
    await asyncio.sleep(CONTACT_S + 0.5)
    begin = max(time.monotonic(), acked_at + EVACUATE_S)
    record.write(f"from here on, no request may reach {server.name}")
    await asyncio.sleep(WATCHED_S)
    wrong = [item for item in server.arrivals if item[0] > begin]
    for at, request_id, _ in wrong[:5]:
        record.write(
            f"{request_id} reached {server.name} {at - acked_at:.3f} s after"
            f" the evacuation of {ZONE} was acknowledged"
        )
    record.write(f"requests in the evacuated zone: {len(wrong)}")
    return bool(wrong)


if __name__ == "__main__":
    harness.run(__file__, main)
