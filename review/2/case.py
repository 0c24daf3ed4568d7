"""An entry that was cut off while many changes were made never catches up."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import harness  # noqa: E402

HOST = "shop.example"
# Largest `big_config` of the site file.
IDLE_ROUTES = 1444
# `node_cut`, and `config_storm` with its pause, as the site file has them.
CUT_S, STORM_S, GAP_S = 5.5, 4.0, 0.33
CONTACT_S, CONFIG_APPLY_S = 4.0, 2.5
LINK_MBPS = 2.0
WATCHED_S = 30.0


def idle_routes():
    """Returns routes that get no requests, the same ones in each run."""
    rng = random.Random(25)

    def word():
        return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=7))

    return [
        harness.route(
            f"r-{word()}",
            f"/{word()}/{word()}/",
            "stock",
            hostname=f"{word()}.example",
        )
        for _ in range(IDLE_ROUTES)
    ]


def configuration(version, base, idle, path_prefix):
    """Returns a complete configuration; each version has another time-out."""
    shown = harness.route("r-shown", path_prefix, "stock")
    changed = [
        {**item, "spec": {**item["spec"], "timeout_s": 2 + version / 1000}}
        for item in idle
    ]
    return {
        "version": version,
        "base_version": base,
        "resources": [shown, *changed, harness.service("stock")],
    }


async def main(record):
    """Returns whether the rule was broken."""
    deployment = harness.Deployment(edges=2, edge_link_mbps=LINK_MBPS)
    operator = harness.Operator(deployment, record)
    server = harness.Server("u1", "stock", "pb-1", record)
    beats = None
    try:
        await server.start(f"{deployment.network}.30")
        idle = idle_routes()
        await deployment.start(
            operator, configuration(1, 0, idle, "/old/"), proxied=True
        )
        for proxy in deployment.proxies:
            for edge in deployment.edges:
                proxy.rate[edge.ip] = LINK_MBPS * 1e6 / 8
        beats = asyncio.create_task(server.beat(deployment))
        clients = [
            harness.Client(edge, record, HOST) for edge in deployment.edges
        ]

        async def served():
            answers = [await client.get("/old/x") for client in clients]
            return all(status == 200 for status, _ in answers)

        await harness.wait_until(served, 20, "requests are not served")
        version = await storm(deployment, operator, record, idle)
        record.write(f"version {version} has the route /new/ only")
        return await judge(deployment, clients, record)
    finally:
        if beats is not None:
            beats.cancel()
        await deployment.stop()
        server.close()
        deployment.remove()


async def storm(deployment, operator, record, idle):
    """Sends changes while the first edge is cut off; returns the version."""
    cut_edge = deployment.edges[0]
    started = record.now()
    if harness.TROUBLE:
        record.write(f"{cut_edge.name} is cut off from the core")
        for proxy in deployment.proxies:
            proxy.cut_hosts.add(cut_edge.ip)
    version = 1
    while record.now() - started < STORM_S:
        due = record.now() + GAP_S
        body = configuration(version + 1, version, idle, "/old/")
        await accepted(operator, body)
        version += 1
        await asyncio.sleep(max(0.0, due - record.now()))
    body = configuration(version + 1, version, idle, "/new/")
    await accepted(operator, body)
    if record.now() - started > CUT_S + 1:
        raise harness.CannotRunError(
            "the machine is too slow for these changes"
        )
    await asyncio.sleep(max(0.0, started + CUT_S - record.now()))
    for proxy in deployment.proxies:
        proxy.heal()
    record.write(f"no edge is cut off; the cut took {CUT_S} s at least")
    return version + 1


async def accepted(operator, body):
    """Sends a change until it is acknowledged."""
    status = await operator.send("/Config.Replace", body, wait_s=3)
    if status != 200:
        raise harness.CannotRunError(f"a valid change got {status}")


async def judge(deployment, clients, record):
    """Returns whether a request was handled by an old version."""
    await asyncio.sleep(CONTACT_S + CONFIG_APPLY_S + 0.5)
    record.write("from here on, all edges are in touch")
    end = record.now() + WATCHED_S
    wrong = dict.fromkeys((client.edge.name for client in clients), 0)
    while record.now() < end:
        for client in clients:
            status_new, _ = await client.get("/new/x")
            status_old, _ = await client.get("/old/x")
            if status_new == 404 or status_old == 200:
                wrong[client.edge.name] += 1
        await asyncio.sleep(1)
    record.write(f"rounds in which an old version was in force: {wrong}")
    for edge in deployment.edges:
        lost = sum(1 for _ in edge.events("fleet:replica_lost"))
        record.write(f"{edge.name} logged fleet:replica_lost {lost} times")
    return any(wrong.values())


if __name__ == "__main__":
    harness.run(__file__, main)
