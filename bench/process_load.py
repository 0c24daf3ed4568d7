"""Measures the latencies of status and stock reads on real processes.

Usage: python -m bench.process_load [--seconds N]

One control replica and two entries run as processes on loopback, the upstreams
in this process. Status reads are measured alone and together with archive
lookups at twice the capacity of the archive, then stock reads before and after
2 of 8 upstreams are slowed by a factor of 10.
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
# Number of upstreams, slots per upstream and service time in seconds, by
# service.
SERVICES = {
    "line-status": (4, 6, 0.012),
    "stock-price": (8, 3, 0.02),
    "inspection-archive": (2, 2, 0.5),
}
SLOWED_UPSTREAMS = 2
SLOWDOWN_FACTOR = 10.0
READ_CALLERS = 4
# Twice the slots of the archive.
ARCHIVE_CALLERS = 8


def call_until(url: str, deadline_at_s: float, pause_s: float) -> list[float]:
    """Calls a URL in a loop and returns the durations of the calls.

    Args:
        url: URL of the calls.
        deadline_at_s: End of the loop on `time.perf_counter`, in seconds.
        pause_s: Time between calls, in seconds.

    Returns:
        Durations in seconds, negative for calls that were refused.
    """
    pool = urllib3.PoolManager(maxsize=1, retries=False)
    durations_s = []
    while time.perf_counter() < deadline_at_s:
        started_at_s = time.perf_counter()
        answered = pool.request("GET", url, timeout=30).status == 200
        duration_s = time.perf_counter() - started_at_s
        durations_s.append(duration_s if answered else -duration_s)
        time.sleep(pause_s)
    return durations_s


async def run_load(
    system: deployment.Deployment, service: str, callers: int, seconds: float
) -> list[float]:
    """Calls a service, with callers spread over both entries.

    Returns:
        Durations in seconds, negative for calls that were refused.
    """
    deadline_at_s = time.perf_counter() + seconds
    durations_s: list[float] = []
    limiter = trio.CapacityLimiter(callers)

    async def run_caller(entry: str) -> None:
        url = f"http://{system.nodes[entry].http}/s/{service}/x"
        durations_s.extend(
            await trio.to_thread.run_sync(
                call_until, url, deadline_at_s, 0.02, limiter=limiter
            )
        )

    async with trio.open_nursery() as nursery:
        for number in range(callers):
            nursery.start_soon(run_caller, ENTRIES[number % len(ENTRIES)])
    return durations_s


def print_result(name: str, durations_s: list[float]) -> None:
    """Prints counts and latencies of one load."""
    answered_s = sorted(
        duration_s for duration_s in durations_s if duration_s > 0
    )
    refused_count = len(durations_s) - len(answered_s)
    p50_ms, p99_ms = (
        answered_s[int(len(answered_s) * quantile)] * 1e3
        for quantile in (0.5, 0.99)
    )
    print(
        f"{name}: answered={len(answered_s)} refused={refused_count}"
        f" p50_ms={p50_ms:.1f} p99_ms={p99_ms:.1f}"
    )


async def start_deployment(
    system: deployment.Deployment,
) -> list[programs.SimulatedUpstream]:
    """Starts processes and upstreams; returns the stock-price upstreams."""
    await system.start_control((REGION,))
    await system.start_entries((REGION, REGION))
    stock_upstreams = []
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
            upstream = await system.start_upstream(record, service_time_s)
            if service == "stock-price":
                stock_upstreams.append(upstream)
    (system.folder / "s.ini").write_text(STEERING)
    status, output = await system.operate("apply", "s.ini", "--wait")
    assert status == 0, output
    await trio.sleep(12)  # longer than the slow start of the upstreams
    return stock_upstreams


async def measure(system: deployment.Deployment, seconds: float) -> None:
    """Runs the loads and prints their results."""
    stock_upstreams = await start_deployment(system)
    alone_s = await run_load(system, "line-status", READ_CALLERS, seconds)
    print_result("status reads alone", alone_s)
    beside_archive_s: list[float] = []
    archive_s: list[float] = []

    async def load_archive() -> None:
        archive_s.extend(
            await run_load(
                system, "inspection-archive", ARCHIVE_CALLERS, seconds
            )
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(load_archive)
        beside_archive_s = await run_load(
            system, "line-status", READ_CALLERS, seconds
        )
    print_result("status reads beside archive lookups", beside_archive_s)
    print_result("archive lookups", archive_s)
    print_result(
        "stock reads",
        await run_load(system, "stock-price", READ_CALLERS, seconds),
    )
    for upstream in stock_upstreams[:SLOWED_UPSTREAMS]:
        upstream.slowdown_factor = SLOWDOWN_FACTOR
    slowed_s = await run_load(system, "stock-price", READ_CALLERS, seconds)
    print_result("stock reads, 2 of 8 upstreams slowed", slowed_s)


@click.command()
@click.option("--seconds", default=10.0, show_default=True)
def main(seconds: float) -> None:
    """Measures the latencies of status and stock reads."""

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
