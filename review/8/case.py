"""Servers that had restarted leave while a core node is restarted.

See claim.txt.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2")
)
import harness  # noqa: E402

CHANGES = 650
ROUTES = 200
SERVERS = 36  # as in the site file
LEAVING = 5  # `scale_in` has a share of 0.15 in `fleetbench kinds`
REQUESTS_PER_S = 120
DRAIN_S = 2.5  # bound of the rule
CONTACT_S = 4.0  # the core is stable again so long after the restart
SERVES_ON_S = 9.0
FIRST_CALL_S = 0.06  # after the restarted node listens again
CALL_INTERVAL_S = 0.08


async def change_often(deployment, record):
    """Makes many changes of the configuration, as on a long day."""
    for version in range(2, CHANGES + 2):
        number = version % ROUTES
        body = {
            "version": version,
            "base_version": version - 1,
            "upsert": {
                "resources": [
                    harness.route(
                        f"p{number}",
                        "b.example",
                        f"/p{number}/",
                        "svc",
                        timeout_s=1 + version / 1000,
                    )
                ]
            },
            "remove": {},
        }
        await deployment.order("/Config.Update", body)
    record.write(f"operator made {CHANGES} changes")


async def leave(server, first, deployment, record):
    """Deregisters a server at a core node, else at the next ones."""
    turn = deployment.cores.index(first)
    while True:
        core = deployment.cores[turn % len(deployment.cores)]
        turn += 1
        status = None
        try:
            status, _, _ = await harness.call(
                core.ip,
                harness.CONTROL,
                "POST",
                f"/Instances.Deregister/{server.ident}",
                timeout_s=1.0,
            )
        except (TimeoutError, *harness.CALL_ERRORS):
            pass
        record.write(
            f"server {server.ident} Deregister at {core.name}: {status}"
        )
        if status == 200:
            return time.monotonic()


async def run(record, trouble):
    """Plays the case; returns whether the rule was broken."""
    deployment = harness.Deployment(cores=3, edges=2)
    tasks = []
    try:
        servers = [
            harness.Server(f"i-{i}", "svc", record, work_s=0.3, slots=3)
            for i in range(SERVERS)
        ]
        leaving = servers[:LEAVING]
        for server in servers:
            await server.start()
        deployment.start()
        await deployment.order(
            "/Config.Replace",
            harness.configuration(
                1,
                0,
                harness.route("r", "a.example", "/a/", "svc"),
                *(
                    harness.route(f"p{i}", "b.example", f"/p{i}/", "svc")
                    for i in range(ROUTES)
                ),
                harness.service("svc"),
            ),
            record,
        )
        beats = {
            server: asyncio.create_task(server.beat(deployment))
            for server in servers
        }
        tasks += beats.values()
        for edge in deployment.edges:
            await harness.wait_ready(edge)
        await change_often(deployment, record)
        # The servers that leave later crash and start again under their IDs.
        for server in leaving:
            beats[server].cancel()
            server.born = int(time.time() * 1000)
            server.sequence = 0
            record.write(f"server {server.ident} has restarted")
            beats[server] = asyncio.create_task(server.beat(deployment))
            tasks.append(beats[server])
        await asyncio.sleep(3.0)
        answers = {}
        tasks.append(
            asyncio.create_task(
                harness.send_requests(
                    deployment.edges,
                    "a.example",
                    "/a/1",
                    record,
                    answers,
                    per_s=REQUESTS_PER_S,
                    prefix="q",
                )
            )
        )
        # A core node that does not lead is stopped and started again.
        core = deployment.cores[2]
        if trouble:
            record.write(f"SIGTERM to {core.name}")
            core.signal(signal.SIGTERM)
            core.process.wait()
            core.start()
            while True:
                try:
                    _, writer = await asyncio.open_connection(
                        core.ip, harness.CONTROL
                    )
                    break
                except OSError:
                    await asyncio.sleep(0.01)
            writer.close()
            record.write(f"{core.name} listens again")
        restarted_s = time.monotonic()
        await asyncio.sleep(FIRST_CALL_S)

        async def leave_in_turn(server):
            beats[server].cancel()
            return server, await leave(server, core, deployment, record)

        calls = []
        for server in leaving:
            calls.append(asyncio.create_task(leave_in_turn(server)))
            await asyncio.sleep(CALL_INTERVAL_S)
        acknowledged = await asyncio.gather(*calls)
        await asyncio.sleep(SERVES_ON_S)
        late = 0
        for server, acknowledged_s in acknowledged:
            ran = set(server.runs)
            from_s = max(acknowledged_s + DRAIN_S, restarted_s + CONTACT_S)
            for ident, (sent_s, edge, status, _) in answers.items():
                if ident in ran and sent_s > from_s:
                    late += 1
                    record.write(
                        f"{ident}, sent {sent_s - acknowledged_s:.2f} s after"
                        f" the acknowledgement to {edge}, was run by"
                        f" {server.ident}: {status}"
                    )
        record.write(f"{late} requests after the bound")
        return late > 0
    finally:
        for task in tasks:
            task.cancel()
        deployment.close()


harness.main(run)
