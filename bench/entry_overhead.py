"""Compares requests through an entry with direct requests to its upstreams.

Starts simulated upstreams, a stub of a control replica and an entry as
processes on loopback addresses, calls the upstreams directly and then through
the entry, and prints requests per second, p50 and p99. The duration is limited,
and the processes are killed at the end.

    .venv/bin/python -m bench.entry_overhead --seconds 5 --callers 1,16
"""

import contextlib
import functools
import pathlib
import socket
import subprocess
import sys
import tempfile

import attrs
import click
from hdrh import histogram
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import clock
from guavapulley.adapters import codec
from guavapulley.adapters import http
from guavapulley.adapters import nng
from guavapulley.adapters import settings
from guavapulley.programs import _entry
from guavapulley.programs import _simulated_upstream

HOST = "127.0.0.1"
KEY = b"cluster-key-of-this-benchmark"
SERVICE = model.Service("stock", model.TrafficClass.SHORT)
UPSTREAMS = 4
SLOTS = 16
MAX_LATENCY_US = 60_000_000
MAX_DURATION_S = 60
READY_TIMEOUT_S = 15
REQUEST = (
    "GET {path} HTTP/1.1\r\nHost: x\r\nGuavapulley-Request-Id: {id}\r\n\r\n"
)


class ControlStub:
    """Control replica with one fixed configuration (`ports.PeerHandler`)."""

    async def handle(self, request: model.PeerMessage) -> model.PeerMessage:
        """Answers watches and requests for leases; see `ports.PeerHandler`."""
        if isinstance(request, model.WatchConfiguration):
            if request.after:
                await trio.sleep(request.wait_s)
                return model.WatchReply(None, 1, True)
            configuration = model.Configuration(1, (SERVICE,))
            return model.WatchReply(configuration, 1, True)
        return model.LeaseShareReply((), 2.0)


@attrs.frozen
class TcpPorts:
    """TCP ports on which the processes listen."""

    control: int
    entry: int
    peer: int
    upstreams: tuple[int, ...]


def address(port: int) -> model.NodeAddress:
    """Returns a loopback address."""
    return model.NodeAddress(HOST, port)


async def run_control(tcp_ports: TcpPorts) -> None:
    """Runs the stub of a control replica."""
    await nng.serve_peers(
        address(tcp_ports.control),
        ControlStub(),
        codec.EnvelopeCodec(codec.MessageCodec(), KEY),
        "control",
        clock.LamportClock(),
        ports.NullEventLog(),
    )


async def run_entry(tcp_ports: TcpPorts, log_file: pathlib.Path) -> None:
    """Runs the entry."""
    process_settings = settings.ProcessSettings(
        role=settings.Role.ENTRY,
        node="e1",
        region="pb",
        failure_domain="pb-1",
        http=address(tcp_ports.entry),
        peer=address(tcp_ports.peer),
        announced_http=address(tcp_ports.entry),
        announced_peer=address(tcp_ports.peer),
        control_peers=(address(tcp_ports.control),),
        entry_seeds=(),
        data_folder=None,
        log_file=log_file,
        statsd=None,
        cluster_key=KEY,
        operator_token="",
    )
    await _entry.run_entry(process_settings)


async def run_upstream(tcp_ports: TcpPorts, number: int) -> None:
    """Runs one simulated upstream."""
    record = model.UpstreamRecord(
        f"u{number}",
        SERVICE.name,
        address(tcp_ports.upstreams[number]),
        "pb",
        f"pb-{number % 2}",
        SLOTS,
        1_000,
        incarnation=clock.unix_time_ms(),
    )
    upstream_settings = _simulated_upstream.SimulatedUpstreamSettings(
        record, (address(tcp_ports.entry),), service_time_s=0.0
    )
    await _simulated_upstream.run_simulated_upstream(
        upstream_settings, ports.NullEventLog()
    )


@attrs.define
class ClosedLoopLoad:
    """Callers that each send requests one after another on one connection.

    Attributes:
        targets: TCP ports, over which callers are spread in turn.
        path: Path of the requests.
        callers: Number of callers.
        seconds: Duration in seconds.
        name: Name in the output and prefix of the request IDs.
        failed: Number of answers with a status other than 200.
        latencies: Latencies in microseconds.
    """

    targets: tuple[int, ...]
    path: str
    callers: int
    seconds: float
    name: str
    failed: int = 0
    latencies: histogram.HdrHistogram = attrs.field(
        factory=functools.partial(histogram.HdrHistogram, 1, MAX_LATENCY_US, 3)
    )

    async def run(self) -> None:
        """Sends requests for the duration."""
        with trio.move_on_after(self.seconds):
            async with trio.open_nursery() as nursery:
                for number in range(self.callers):
                    nursery.start_soon(self._run_caller, number)

    async def _run_caller(self, number: int) -> None:
        port = self.targets[number % len(self.targets)]
        async with await trio.open_tcp_stream(HOST, port) as stream:
            count = 0
            while True:
                count += 1
                request = REQUEST.format(
                    path=self.path, id=f"{self.name}-{number}-{count}"
                )
                started_at_s = trio.current_time()
                await stream.send_all(request.encode())
                status = await read_answer(stream)
                elapsed_s = trio.current_time() - started_at_s
                self.latencies.record_value(max(1, int(elapsed_s * 1e6)))
                self.failed += status != b"200"

    def report(self) -> str:
        """Returns a line with the rate, the latencies and the counts."""
        latencies = self.latencies
        count = latencies.get_total_count()
        p50_ms = latencies.get_value_at_percentile(50) / 1_000
        p99_ms = latencies.get_value_at_percentile(99) / 1_000
        return (
            f"{self.name:>8} callers={self.callers:<3}"
            f" requests/s={count / self.seconds:8.0f}"
            f" p50={p50_ms:7.2f} ms p99={p99_ms:7.2f} ms"
            f" requests={count} failed={self.failed}"
        )


async def read_answer(stream: trio.SocketStream) -> bytes:
    """Reads an answer with a Content-Length and returns its status."""
    data = b""
    while (head_end := data.find(b"\r\n\r\n")) < 0:
        data += await stream.receive_some()
    head = data[:head_end].lower()
    length_start = head.index(b"content-length:") + len(b"content-length:")
    length = int(head[length_start:].split(b"\r\n", 1)[0])
    while len(data) < head_end + 4 + length:
        data += await stream.receive_some()
    return data[9:12]


async def wait_until_ready(tcp_ports: TcpPorts) -> None:
    """Waits until all upstreams are registered at the entry."""
    api = http.EntryApi([address(tcp_ports.entry)])
    with trio.fail_after(READY_TIMEOUT_S):
        while True:
            with contextlib.suppress(http.ApiError):
                status = await api.call("GET", "/v1/status")
                if len(status["upstreams"]) == UPSTREAMS:
                    return
            await trio.sleep(0.1)


async def measure(
    tcp_ports: TcpPorts,
    seconds: float,
    caller_counts: list[int],
    warm_up_s: float,
) -> None:
    """Measures direct requests and requests through the entry."""
    await wait_until_ready(tcp_ports)
    # New upstreams get their full share of requests after the slow start.
    await trio.sleep(warm_up_s)
    for caller_count in caller_counts:
        for name, targets, path in (
            ("direct", tcp_ports.upstreams, "/x"),
            ("entry", (tcp_ports.entry,), f"/s/{SERVICE.name}/x"),
        ):
            load = ClosedLoopLoad(targets, path, caller_count, seconds, name)
            await load.run()
            click.echo(load.report())


def free_ports(count: int) -> list[int]:
    """Returns unused ports on loopback."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((HOST, 0))
        return [probe.getsockname()[1] for probe in probes]


@click.command()
@click.option(
    "--seconds", type=click.FloatRange(0.1, MAX_DURATION_S), default=5
)
@click.option("--callers", default="1,16")
@click.option("--warm-up", "warm_up_s", default=11.0)
@click.option("--role", default="", hidden=True)
@click.option("--ports", "port_list", default="", hidden=True)
@click.option("--folder", default="", hidden=True)
def main(
    seconds: float,
    callers: str,
    warm_up_s: float,
    role: str,
    port_list: str,
    folder: str,
) -> None:
    """Measures the overhead of an entry."""
    port_numbers = [int(n) for n in port_list.split(",") if n]
    port_numbers = port_numbers or free_ports(3 + UPSTREAMS)
    tcp_ports = TcpPorts(*port_numbers[:3], tuple(port_numbers[3:]))
    if role:
        role_name, _, number = role.partition(":")
        match role_name:
            case "control":
                trio.run(run_control, tcp_ports)
            case "entry":
                trio.run(
                    run_entry, tcp_ports, pathlib.Path(folder) / "entry.log"
                )
            case "upstream":
                trio.run(run_upstream, tcp_ports, int(number))
        return
    roles = ["control", "entry"]
    roles += [f"upstream:{number}" for number in range(UPSTREAMS)]
    port_argument = ",".join(str(n) for n in port_numbers)
    command = [
        sys.executable,
        "-m",
        "bench.entry_overhead",
        "--ports",
        port_argument,
    ]
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        command += ["--folder", folder]
        for name in roles:
            process = subprocess.Popen([*command, "--role", name])
            stack.callback(process.wait)
            stack.callback(process.kill)
        caller_counts = [int(n) for n in callers.split(",")]
        trio.run(measure, tcp_ports, seconds, caller_counts, warm_up_s)


if __name__ == "__main__":
    main()
