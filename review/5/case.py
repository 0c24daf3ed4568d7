"""Core nodes exceed their memory limit when large configurations change."""

import asyncio
import json
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import harness  # noqa: E402

# Two of the site file's largest `big_config`.
IDLE_ROUTES = 2 * 1444
FEW_ROUTES = 8
# A day may contain hundreds of changes.
MAX_CHANGES = 200
MEMORY_MB = 296
# `Fault`: on half of the core, processes end by themselves three times.
ENDS, ENDED_NODES = 3, 2
MAX_S = 104.0


def idle_routes(count):
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
            traffic_split=[
                {"service": "stock", "weight": 90},
                {"service": "stock-b", "weight": 10},
            ],
        )
        for _ in range(count)
    ]


def configuration(version, base, idle):
    """Returns a complete configuration; a change moves one time-out."""
    shown = harness.route(
        "r-shown", "/a/", "stock", timeout_s=2 + version % 7 / 10
    )
    services = [harness.service("stock"), harness.service("stock-b")]
    return {
        "version": version,
        "base_version": base,
        "resources": [shown, *services, *idle],
    }


def encoded(version, base, encoded_idle):
    """Returns a configuration as JSON; the idle routes are encoded already."""
    text = json.dumps(configuration(version, base, []))
    assert text.endswith("]}")
    return f"{text[:-2]}, {encoded_idle}]}}".encode()


def is_broken(platform):
    """Returns whether enough processes ended often enough."""
    return sum(n >= ENDS for n in platform.ends.values()) >= ENDED_NODES


async def main(record):
    """Returns whether the rule was broken."""
    deployment = harness.Deployment(core_memory_mb=MEMORY_MB)
    operator = harness.Operator(deployment, record)
    platform = harness.Platform(deployment, deployment.cores, record)
    tasks = []
    try:
        few = idle_routes(FEW_ROUTES)
        await deployment.start(operator, configuration(1, 0, few))
        tasks.append(asyncio.create_task(platform.watch()))
        idle = idle_routes(IDLE_ROUTES) if harness.TROUBLE else few
        encoded_idle = json.dumps(idle)[1:-1]
        version = 1
        while (
            version <= MAX_CHANGES
            and record.now() < MAX_S
            and not is_broken(platform)
        ):
            body = encoded(version + 1, version, encoded_idle)
            # Changes sent to the leader are faster, so that fewer seconds show
            # the same number of them.
            status = await operator.send(
                "/Config.Replace",
                body,
                30,
                first=await deployment.leader(),
                wait_s=3,
            )
            if status != 200:
                raise harness.CannotRunError(f"a valid change got {status}")
            version += 1
        most = {name: round(mb) for name, mb in platform.most_mb.items()}
        record.write(f"changes: {version - 1}; most memory in MB: {most}")
        record.write(f"processes ended by themselves: {platform.ends}")
        return is_broken(platform)
    finally:
        for task in tasks:
            task.cancel()
        await deployment.stop()
        deployment.remove()


if __name__ == "__main__":
    harness.run(__file__, main)
