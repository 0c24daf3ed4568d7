"""Runs node processes on loopback and calls them as the platform does."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys

import attrs
import trio

ROOT = pathlib.Path(__file__).parent.parent.parent
CONTROL_PORT, DIRECTORY_PORT, FRONTEND_PORT, READINESS_PORT = (
    8544,
    8546,
    8548,
    8542,
)
METRICS_PORT = 9464
START_TIMEOUT_S = 20.0
# Errors of a call to a node that stops or is killed during the call.
CALL_ERRORS = (OSError, IndexError, ValueError, trio.BrokenResourceError)

SETTINGS = """\
node_name = "{name}"
role = "{role}"
machine_class = "{role}"
ip = "{ip}"
zone = "{zone}"
region = "pb"
internal_ports = [7540, 7555]
seed_nodes = [{seeds}]
bootstrap = {bootstrap}
{data_dir}

[zones]
pb-1 = "pb"
pb-2 = "pb"

[listen_addrs]
{listen}

[limits]
memory_mb = 200

[fault_tolerance]
machines = 1

[bounds]
grace_s = 4
ttl_max_s = 5
retry_budget_ratio = 0.2
retry_slack = 56
retry_window_s = 10
cold_factor = 1.5
cold_slack = 5
max_region_shift = 0.15
"""


async def call(ip, port, method, path, body=None, headers=()):
    """Returns status, headers in lower case and body of one HTTP exchange."""
    stream = await trio.open_tcp_stream(ip, port)
    async with stream:
        data = json.dumps(body).encode() if body is not None else b""
        lines = [
            f"{method} {path} HTTP/1.1",
            "Connection: close",
            f"Content-Length: {len(data)}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        await stream.send_all(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        received = b""
        while chunk := await stream.receive_some(65_536):
            received += chunk
    head, _, received_body = received.partition(b"\r\n\r\n")
    status_line, *header_lines = head.decode().split("\r\n")
    received_headers = dict(
        line.lower().split(": ", 1) for line in header_lines
    )
    return int(status_line.split()[1]), received_headers, received_body


async def receive_headers(stream):
    """Returns the headers of a request by name, in lower case.

    Returns:
        The headers, or None if the connection ends before.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        received = await stream.receive_some(65_536)
        if not received:
            return None
        data += received
    return dict(
        line.lower().split(": ", 1)
        for line in data.decode().split("\r\n")[1:]
        if line
    )


@attrs.define
class Node:
    """One node process.

    Attributes:
        launcher: Command line of the program, without the role and the port of
            the metrics.
    """

    name: str
    role: str
    ip: str
    settings: pathlib.Path
    process: subprocess.Popen | None = None
    launcher: tuple[str, ...] = ("platform/main.py",)

    def start(self):
        environment = {**os.environ, "GUAVAPULLEY_NODE_FILE": self.settings}
        with self.settings.with_suffix(".log").open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    *self.launcher,
                    self.role,
                    str(METRICS_PORT),
                ],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number):
        self.process.send_signal(signal_number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """Three core nodes and some edge nodes.

    Args:
        folder: Folder for settings, data and logs.
        number: Number of the test; it gives each test its own IP addresses.
        edges: Number of edge nodes.
    """

    def __init__(self, folder, number, edges=1):
        self.folder = folder
        # The ports are fixed, so test suites that run at the same time need
        # different IP addresses.
        pid = os.getpid()
        network = f"127.{1 + pid % 250}.{pid // 250 % 250}"
        first_host = 1 + number * (3 + edges)
        self.cores = [
            self._node(
                folder,
                f"core-{index}",
                "core",
                f"{network}.{first_host + index}",
            )
            for index in range(3)
        ]
        self.edges = [
            self._node(
                folder,
                f"edge-{index + 1}",
                "edge",
                f"{network}.{first_host + 3 + index}",
            )
            for index in range(edges)
        ]
        self.edge = self.edges[0]
        self.nodes = [*self.cores, *self.edges]
        for node in self.nodes:
            self.write_settings(node, first_start=True)

    def _node(self, folder, name, role, ip):
        return Node(name, role, ip, folder / f"{name}.toml")

    def write_settings(self, node, *, first_start):
        """Writes the settings that a node reads at its start."""
        seeds = ", ".join(f'"{core.ip}:{CONTROL_PORT}"' for core in self.cores)
        is_core = node.role == "core"
        listen = (
            f'control_plane = "{node.ip}:{CONTROL_PORT}"\n'
            f'directory = "{node.ip}:{DIRECTORY_PORT}"'
            if is_core
            else f'frontend = "{node.ip}:{FRONTEND_PORT}"\n'
            f'ready = "{node.ip}:{READINESS_PORT}"'
        )
        data = f'data_dir = "{self.folder / node.name}"' if is_core else ""
        node.settings.write_text(
            SETTINGS.format(
                name=node.name,
                role=node.role,
                ip=node.ip,
                zone="pb-1",
                seeds=seeds,
                bootstrap=str(first_start).lower(),
                data_dir=data,
                listen=listen,
            )
        )

    async def wait_until(self, condition, timeout_s=START_TIMEOUT_S):
        """Repeats a call until its result is true; returns the result."""
        with trio.fail_after(timeout_s):
            while True:
                with contextlib.suppress(*CALL_ERRORS):
                    result = await condition()
                    if result:
                        return result
                await trio.sleep(0.05)

    async def send_command(self, path, body=None):
        """Sends a command to the core nodes in turn until one decides on it.

        Returns:
            The status, below 500.
        """

        async def attempt():
            for core in self.cores:
                with contextlib.suppress(*CALL_ERRORS):
                    status, _, _ = await call(
                        core.ip, CONTROL_PORT, "POST", path, body
                    )
                    if status < 500:
                        return status
            return None

        return await self.wait_until(attempt)

    async def send_request(
        self, path, request_id, host="shop.example", deadline_ms=3_000
    ):
        """Sends a request of a caller to the first edge node."""
        return await call(
            self.edge.ip,
            FRONTEND_PORT,
            "GET",
            path,
            headers=(
                ("Host", host),
                ("Request-Id", request_id),
                ("Deadline-Ms", str(deadline_ms)),
            ),
        )

    def stop(self):
        for node in self.nodes:
            node.stop()


def kill(node):
    """Kills a node, which then ends as in a crash."""
    node.send_signal(signal.SIGKILL)
    node.process.wait()
