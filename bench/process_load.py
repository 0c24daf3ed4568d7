"""Measures the two weighed promises on real processes, in small.

Usage: python -m bench.process_load [--seconds N]

One control replica and two entries run as processes on loopback, the upstreams
in this process. First status reads are measured alone and beside archive
look-ups at twice the capacity of the archive, then stock reads before and while
2 of 8 upstreams are slowed tenfold.
"""

import pathlib
import tempfile
import time

import click
import trio
import urllib3

from bench import lookup_rate
from guavapulley import model
from guavapulley import programs
from tests.integration import deployment

REGION = "pb"
ENTRIES = ("entry-0", "entry-1")
STEERING = """\
[service line-status]
class = short
deadline_ms = 5000

[service stock-price]
class = short
deadline_ms = 5000

[service inspection-archive]
class = bulk
deadline_ms = 20000
"""
# Upstreams, slots of each and service time in seconds.
SERVICES = {
    "line-status": (4, 6, 0.012),
    "stock-price": (8, 3, 0.02),
    "inspection-archive": (2, 2, 0.5),
}
SLOWED = 2
SLOWDOWN = 10.0
READERS = 4
# Twice the slots of the archive.
ARCHIVE_CALLERS = 8


def call_until(url: str, ends_at_s: float, pause_s: float) -> list[float]:
    """Calls until a time; returns durations in seconds, negative if refused."""
    pool = urllib3.PoolManager(maxsize=1, retries=False)
    found = []
    while time.perf_counter() < ends_at_s:
        started = time.perf_counter()
        answered = pool.request("GET", url, timeout=30).status == 200
        duration = time.perf_counter() - started
        found.append(duration if answered else -duration)
        time.sleep(pause_s)
    return found


async def load(
    system: deployment.Deployment, service: str, callers: int, seconds: float
) -> list[float]:
    """Calls a service through both entries in turn and returns durations."""
    ends_at_s = time.perf_counter() + seconds
    durations: list[float] = []
    limiter = trio.CapacityLimiter(callers)

    async def call(entry: str) -> None:
        url = f"http://{system.nodes[entry].http}/s/{service}/x"
        durations.extend(
            await trio.to_thread.run_sync(
                call_until, url, ends_at_s, 0.02, limiter=limiter
            )
        )

    async with trio.open_nursery() as nursery:
        for number in range(callers):
            nursery.start_soon(call, ENTRIES[number % len(ENTRIES)])
    return durations


def report(name: str, durations: list[float]) -> None:
    """Prints the figures of one load."""
    answered = sorted(d for d in durations if d > 0)
    refused = len(durations) - len(answered)
    p50, p99 = (
        answered[int(len(answered) * part)] * 1e3 for part in (0.5, 0.99)
    )
    print(
        f"{name}: answered={len(answered)} refused={refused}"
        f" p50_ms={p50:.1f} p99_ms={p99:.1f}"
    )


async def start(
    system: deployment.Deployment,
) -> list[programs.SimulatedUpstream]:
    """Starts the processes and upstreams; returns those of the stock reads."""
    await system.start_control((REGION,))
    await system.start_entries((REGION, REGION))
    stock = []
    for service, (count, slots, service_time_s) in SERVICES.items():
        for number in range(count):
            record = model.UpstreamRecord(
                f"{service}-{number}",
                service,
                model.NodeAddress("127.0.0.1", 0),
                REGION,
                f"{REGION}-{number % 2}",
                slots,
                330,
                incarnation=1,
            )
            found = await system.start_upstream(record, service_time_s)
            if service == "stock-price":
                stock.append(found)
    (system.folder / "s.ini").write_text(STEERING)
    status, output = await system.operate("apply", "s.ini", "--wait")
    assert status == 0, output
    await trio.sleep(12)  # slow start of the upstreams
    return stock


async def measure(system: deployment.Deployment, seconds: float) -> None:
    """Runs the loads and prints their figures."""
    stock = await start(system)
    alone = await load(system, "line-status", READERS, seconds)
    report("status reads alone", alone)
    beside: list[float] = []
    archive: list[float] = []

    async def look_up() -> None:
        archive.extend(
            await load(system, "inspection-archive", ARCHIVE_CALLERS, seconds)
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(look_up)
        beside = await load(system, "line-status", READERS, seconds)
    report("status reads beside archive look-ups", beside)
    report("archive look-ups", archive)
    report("stock reads", await load(system, "stock-price", READERS, seconds))
    for upstream in stock[:SLOWED]:
        upstream.slowdown_factor = SLOWDOWN
    slowed = await load(system, "stock-price", READERS, seconds)
    report("stock reads, 2 of 8 upstreams slowed", slowed)


@click.command()
@click.option("--seconds", default=10.0, show_default=True)
def main(seconds: float) -> None:
    """Measures the two weighed promises on real processes."""

    async def run() -> None:
        with tempfile.TemporaryDirectory() as folder:
            async with trio.open_nursery() as nursery:
                system = deployment.Deployment(
                    pathlib.Path(folder), nursery, lookup_rate.free_port
                )
                try:
                    await measure(system, seconds)
                finally:
                    system.kill_all()
                    nursery.cancel_scope.cancel()

    trio.run(run)


if __name__ == "__main__":
    main()
