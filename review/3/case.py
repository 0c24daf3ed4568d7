"""A stopping entry takes requests that it cannot complete, and cuts them."""

import asyncio
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import harness  # noqa: E402

HOST = "shop.example"
# `qa-archive` and `grace_s` of the site file; times in seconds.
WORK_S, TIMEOUT_S, DEADLINE_MS = 6.48, 10, 30_000
GRACE_S = 10
# Clients keep an answer of the directory for up to three times its `ttl_s`.
SENT_AFTER_S = 4.0
REQUESTS = 4
# A request that was sent up to then may be cut while its server is at work.
EXCUSED_S = 3.0


async def main(record):
    """Returns whether the rule was broken."""
    deployment = harness.Deployment(edges=2, grace_s=GRACE_S)
    operator = harness.Operator(deployment, record)
    server = harness.Server("u1", "archive", "pb-1", record)
    server.work_s_by_path = {"/qa/long": WORK_S}
    first = {
        "version": 1,
        "base_version": 0,
        "resources": [
            harness.route(
                "r-qa",
                "/qa/",
                "archive",
                timeout_s=TIMEOUT_S,
                target_latency_s=4,
            ),
            harness.service("archive"),
        ],
    }
    beats = None
    try:
        await server.start(f"{deployment.network}.30")
        await deployment.start(operator, first)
        beats = asyncio.create_task(server.beat(deployment))
        client = harness.Client(deployment.edge, record, HOST)

        async def served():
            status, _ = await client.get("/qa/x")
            return status == 200

        await harness.wait_until(served, 20, "requests are not served")
        # Nothing unplanned has happened for `contact_s`.
        await asyncio.sleep(5)
        return await stop_and_send(deployment, client, server, record)
    finally:
        if beats is not None:
            beats.cancel()
        await deployment.stop()
        server.close()
        deployment.remove()


async def stop_and_send(deployment, client, server, record):
    """Returns whether a request was cut that nothing excuses."""
    edge = deployment.edge
    kept_s = await resolve(deployment, edge, record)
    if kept_s <= SENT_AFTER_S:
        raise harness.CannotRunError(
            f"clients keep the answer for {kept_s} s only"
        )
    stopped_at = record.now()
    if harness.TROUBLE:
        record.write(f"platform: SIGTERM to {edge.name}")
        edge.signal(signal.SIGTERM)
    await asyncio.sleep(stopped_at + SENT_AFTER_S - record.now())
    sent_at = record.now() - stopped_at
    record.write(f"{REQUESTS} requests are sent {sent_at:.2f} s after it")
    platform = asyncio.create_task(kill_after_grace(edge, stopped_at, record))
    answers = await asyncio.gather(
        *(timed_get(client, record) for _ in range(REQUESTS))
    )
    await platform
    ran = sum(path == "/qa/long" for _, _, path in server.arrivals)
    record.write(f"requests that the server began to run: {ran}")
    cut = [took_s for status, took_s in answers if status == 0]
    unexcused = [took_s for took_s in cut if took_s < TIMEOUT_S]
    record.write(f"requests cut without an answer, after s: {unexcused}")
    return bool(unexcused) and ran > 0 and sent_at > EXCUSED_S


async def resolve(deployment, edge, record):
    """Returns for how long a client may use the answer of the directory."""
    status, _, body = await harness.call(
        deployment.cores[0].address,
        harness.DIRECTORY_PORT,
        "GET",
        f"/resolve?name={HOST}&region=pb&zone={edge.zone}",
    )
    answer = json.loads(body) if status == 200 else {"addresses": []}
    record.write(f"directory: {status} {answer}")
    if f"{edge.ip}:{harness.FRONTEND_PORT}" not in answer["addresses"]:
        raise harness.CannotRunError("the directory does not name the edge")
    return 3 * answer["ttl_s"]


async def timed_get(client, record):
    """Returns the status and how long the request took, in seconds."""
    started = record.now()
    status, _ = await client.get("/qa/long", DEADLINE_MS)
    return status, round(record.now() - started, 2)


async def kill_after_grace(edge, stopped_at, record):
    """Kills the process unless it has ended when `grace_s` is over."""
    if not harness.TROUBLE:
        return
    while record.now() - stopped_at < GRACE_S:
        await asyncio.sleep(0.02)
        if edge.process.poll() is not None:
            record.write(
                f"{edge.name} ended with {edge.process.returncode},"
                f" {record.now() - stopped_at:.2f} s after SIGTERM"
            )
            return
    record.write(f"platform: SIGKILL to {edge.name}")
    edge.kill()


if __name__ == "__main__":
    harness.run(__file__, main)
