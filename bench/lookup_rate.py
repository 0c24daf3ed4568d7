"""Measures look-ups a second of one entry and their processor time.

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


def processor_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Returns the resident set of a process in MB."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * 4096 / 1e6


def call_until(url: str, ends_at_s: float) -> list[float]:
    """Looks up until a time and returns the durations in seconds."""
    pool = urllib3.PoolManager(maxsize=1, retries=False)
    found = []
    while time.perf_counter() < ends_at_s:
        started = time.perf_counter()
        assert pool.request("GET", url, timeout=5).status == 200
        found.append(time.perf_counter() - started)
    return found


async def measure(system: deployment.Deployment, seconds: float, callers: int):
    """Prints the figures of one entry."""
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
        before = processor_s(pid)
        await trio.sleep(5)
        idle = (processor_s(pid) - before) / 5
        print(f"{name} idle={idle:.1%} of a core RSS={resident_mb(pid):.0f} MB")
    node = system.nodes["entry-0"]
    before, started = processor_s(node.process.pid), time.perf_counter()
    durations: list[float] = []

    async def call() -> None:
        durations.extend(
            await trio.to_thread.run_sync(
                call_until, f"http://{node.http}{PATH}", started + seconds
            )
        )

    async with trio.open_nursery() as nursery:
        for _ in range(callers):
            nursery.start_soon(call)
    used = processor_s(node.process.pid) - before
    durations.sort()
    print(
        f"callers={callers} lookups_per_s={len(durations) / seconds:.0f}"
        f" cpu_ms={used / len(durations) * 1e3:.2f}"
        f" p50_ms={durations[len(durations) // 2] * 1e3:.2f}"
        f" p99_ms={durations[int(len(durations) * 0.99)] * 1e3:.2f}"
    )


@click.command()
@click.option("--seconds", default=5.0, show_default=True)
@click.option("--callers", default=4, show_default=True)
def main(seconds: float, callers: int) -> None:
    """Measures look-ups a second of one entry."""

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
