"""Measures the lookups per second of one entry and their CPU time.

Usage: python -m bench.lookup_rate [--seconds N] [--callers N]

Starts one control replica and one entry as processes on loopback.
"""

import os
import pathlib
import socket
import tempfile
import time

import click
import trio
import urllib3

from tests.integration import deployment

REGIONS = ("pb",)
PATH = "/v1/lookup?service=line-status&region=pb"


def free_port() -> int:
    """Returns an unused TCP port on loopback."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def cpu_time_s(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_memory_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * 4096 / 1e6


def look_up_until(url: str, deadline_at_s: float) -> list[float]:
    """Looks up in a loop and returns the durations in seconds.

    Args:
        url: URL of the lookup.
        deadline_at_s: End of the loop on `time.perf_counter`, in seconds.
    """
    pool = urllib3.PoolManager(maxsize=1, retries=False)
    durations_s = []
    while time.perf_counter() < deadline_at_s:
        started_at_s = time.perf_counter()
        assert pool.request("GET", url, timeout=5).status == 200
        durations_s.append(time.perf_counter() - started_at_s)
    return durations_s


async def measure(system: deployment.Deployment, seconds: float, callers: int):
    """Prints the idle load of both processes and the rate of the lookups."""
    await system.start_control(REGIONS)
    await system.start_entries(REGIONS)
    (system.folder / "s.ini").write_text(
        "[service line-status]\nclass = short\n"
    )
    status, output = await system.operate("apply", "s.ini", "--wait")
    assert status == 0, output
    await trio.sleep(2)
    for name in ("control-pb", "entry-0"):
        pid = system.nodes[name].process.pid
        cpu_before_s = cpu_time_s(pid)
        await trio.sleep(5)
        idle_fraction = (cpu_time_s(pid) - cpu_before_s) / 5
        print(
            f"{name} idle={idle_fraction:.1%} of a core"
            f" RSS={resident_memory_mb(pid):.0f} MB"
        )
    node = system.nodes["entry-0"]
    cpu_before_s, started_at_s = (
        cpu_time_s(node.process.pid),
        time.perf_counter(),
    )
    durations_s: list[float] = []

    async def run_caller() -> None:
        durations_s.extend(
            await trio.to_thread.run_sync(
                look_up_until,
                f"http://{node.http}{PATH}",
                started_at_s + seconds,
            )
        )

    async with trio.open_nursery() as nursery:
        for _ in range(callers):
            nursery.start_soon(run_caller)
    used_cpu_s = cpu_time_s(node.process.pid) - cpu_before_s
    durations_s.sort()
    print(
        f"callers={callers} lookups_per_s={len(durations_s) / seconds:.0f}"
        f" cpu_ms={used_cpu_s / len(durations_s) * 1e3:.2f}"
        f" p50_ms={durations_s[len(durations_s) // 2] * 1e3:.2f}"
        f" p99_ms={durations_s[int(len(durations_s) * 0.99)] * 1e3:.2f}"
    )


@click.command()
@click.option("--seconds", default=5.0, show_default=True)
@click.option("--callers", default=4, show_default=True)
def main(seconds: float, callers: int) -> None:
    """Measures the lookups per second of one entry."""

    async def run() -> None:
        with tempfile.TemporaryDirectory() as folder:
            async with trio.open_nursery() as nursery:
                system = deployment.Deployment(
                    pathlib.Path(folder), nursery, free_port
                )
                try:
                    await measure(system, seconds, callers)
                finally:
                    system.kill_all()
                    nursery.cancel_scope.cancel()

    trio.run(run)


if __name__ == "__main__":
    main()
