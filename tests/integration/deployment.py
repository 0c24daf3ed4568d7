"""Starts the processes of a small deployment on loopback addresses.

Each process has a loopback address of its own. Peer connections go
through the fault proxy: a process listens on 127.0.0.N and announces 127.0.1.N.
"""

from collections.abc import Callable
import contextlib
import json
import pathlib
import signal
import subprocess
import sys
from typing import Any

import attrs
import trio
import urllib3

from guavapulley import model
from guavapulley import ports
from guavapulley import programs
from tests.integration import fault_proxy

START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 30
TOKENS = {
    "cluster.key": "integration-cluster-key-0001",
    "operator.token": "integration-operator-token-1",
    "upstream.token": "integration-upstream-token-1",
}
SETTINGS = """\
[node]
name = {name}
region = {region}
failure_domain = {region}-1

[listen]
http = {http}
peer = {peer}

[announce]
peer = {announced}

[control]
peers = {control_peers}

[entries]
seeds = {seeds}

[files]
data_folder = {name}.data
log_file = {name}.log
cluster_key_file = cluster.key
operator_token_file = operator.token
upstream_token_file = upstream.token
"""


@attrs.define
class Node:
    """One process of the deployment.

    Attributes:
        name: Name of the process.
        role: `control` or `entry`.
        region: Its region.
        host: Loopback address of the process.
        http: Address on which it serves HTTP.
        peer: Address on which it serves peers.
        announced_peer: Address of the fault proxy, to which peers connect.
        process: The newest process; None before the first start.
    """

    name: str
    role: str
    region: str
    host: str
    http: model.NodeAddress
    peer: model.NodeAddress
    announced_peer: model.NodeAddress
    process: trio.Process | None = None

    @property
    def proxied_host(self) -> str:
        """Returns the address at which peers reach the process."""
        return self.announced_peer.host


class Deployment:
    """Processes of the system, simulated upstreams and the fault proxy."""

    def __init__(
        self,
        folder: pathlib.Path,
        nursery: trio.Nursery,
        free_port: Callable[[], int],
        executable: tuple[str, ...] = (sys.executable, "-m", "guavapulley"),
    ) -> None:
        self.folder = folder
        self.nursery = nursery
        self.free_port = free_port
        self.executable = executable
        self.proxy = fault_proxy.FaultProxy(nursery)
        self.nodes: dict[str, Node] = {}
        self.processes: list[trio.Process] = []
        self.upstreams: dict[str, programs.SimulatedUpstream] = {}
        self.stop_events: dict[str, trio.Event] = {}
        self.http_client = urllib3.PoolManager(maxsize=64, retries=False)
        for name, text in TOKENS.items():
            path = folder / name
            path.write_text(text)
            path.chmod(0o600)

    async def add(
        self, name: str, role: str, region: str, host_number: int
    ) -> Node:
        """Adds a process, not started yet, and forwards its announced address.

        Args:
            name: Name of the process.
            role: `control` or `entry`.
            region: Its region.
            host_number: Last number of its loopback addresses.
        """
        node = Node(
            name,
            role,
            region,
            f"127.0.0.{host_number}",
            model.NodeAddress(f"127.0.0.{host_number}", self.free_port()),
            model.NodeAddress(f"127.0.0.{host_number}", self.free_port()),
            model.NodeAddress(f"127.0.1.{host_number}", self.free_port()),
        )
        self.nodes[name] = node
        await self.proxy.forward(
            node.host,
            (node.announced_peer.host, node.announced_peer.port),
            (node.peer.host, node.peer.port),
        )
        return node

    def nodes_with_role(self, role: str) -> list[Node]:
        """Returns the nodes that have a role."""
        return [node for node in self.nodes.values() if node.role == role]

    def write_settings(self) -> None:
        """Writes the settings of every process."""
        control = ", ".join(
            str(n.announced_peer) for n in self.nodes_with_role("control")
        )
        seeds = ", ".join(
            str(n.announced_peer) for n in self.nodes_with_role("entry")
        )
        for node in self.nodes.values():
            text = SETTINGS.format(
                name=node.name,
                region=node.region,
                http=node.http,
                peer=node.peer,
                announced=node.announced_peer,
                control_peers=control,
                seeds=seeds,
            )
            (self.folder / f"{node.name}.ini").write_text(text)

    async def start(self, name: str) -> None:
        """Starts a process and waits until it answers over HTTP."""
        node = self.nodes[name]
        node.process = await self.spawn(
            node.role, "run", "--settings", f"{name}.ini"
        )
        await self.wait_until(
            lambda: self.status(node) is not None,
            START_TIMEOUT_S,
            name,
            lambda: self._check_running(node),
        )

    def _check_running(self, node: Node) -> None:
        """Raises an error with the output if the process has exited."""
        assert node.process is not None
        if node.process.returncode is not None:
            output = (self.folder / "processes.out").read_text()
            raise RuntimeError(f"{node.name} has exited: {output[-2000:]}")

    async def spawn(self, *arguments: str) -> trio.Process:
        """Starts the executable with its output appended to a file."""
        with (self.folder / "processes.out").open("ab") as output:
            process = await trio.lowlevel.open_process(
                [*self.executable, *arguments],
                cwd=self.folder,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.processes.append(process)
        return process

    async def run_command(self, *arguments: str) -> tuple[int, str]:
        """Runs the executable to its end; returns exit status and output."""
        result = await trio.run_process(
            [*self.executable, *arguments],
            cwd=self.folder,
            capture_stdout=True,
            stderr=subprocess.STDOUT,
            check=False,
        )
        return result.returncode, result.stdout.decode()

    async def operate(
        self, *arguments: str, at: tuple[str, ...] = ()
    ) -> tuple[int, str]:
        """Runs an operator's command against control replicas.

        Args:
            arguments: Arguments of the command line.
            at: Names of the replicas; empty for all.

        Returns:
            The exit status and the output.
        """
        nodes = [self.nodes[name] for name in at] or self.nodes_with_role(
            "control"
        )
        return await self.run_command(
            *arguments,
            "--control",
            ",".join(str(node.http) for node in nodes),
            "--token-file",
            "operator.token",
        )

    async def start_control(self, regions: tuple[str, ...]) -> None:
        """Creates and starts a control replica in each region."""
        for number, region in enumerate(regions):
            await self.add(f"control-{region}", "control", region, 11 + number)
        self.write_settings()
        first = f"control-{regions[0]}"
        status, output = await self.run_command(
            "control",
            "init",
            "--settings",
            f"{first}.ini",
            "--peers-may-be-down",
        )
        assert status == 0, output
        async with trio.open_nursery() as nursery:
            for node in self.nodes_with_role("control"):
                nursery.start_soon(self.start, node.name)
        await self.wait_until(
            lambda: len(self.voters()) == len(regions), START_TIMEOUT_S, "join"
        )

    async def start_entries(self, regions: tuple[str, ...]) -> None:
        """Creates and starts an entry for each item of a list of regions."""
        for number, region in enumerate(regions):
            await self.add(f"entry-{number}", "entry", region, 31 + number)
        self.write_settings()
        async with trio.open_nursery() as nursery:
            for node in self.nodes_with_role("entry"):
                nursery.start_soon(self.start, node.name)

    async def start_upstream(
        self, record: model.UpstreamRecord, service_time_s: float = 0.01
    ) -> programs.SimulatedUpstream:
        """Runs a simulated upstream in the process of the test.

        It leaves and stops once its event in `stop_events` is set.
        """
        entries = tuple(node.http for node in self.nodes_with_role("entry"))
        token = TOKENS["upstream.token"]
        settings = programs.SimulatedUpstreamSettings(
            record, entries, service_time_s, token=token
        )
        stop_event = self.stop_events[record.upstream] = trio.Event()
        started = await self.nursery.start(
            programs.run_simulated_upstream,
            settings,
            ports.NullEventLog(),
            stop_event,
        )
        self.upstreams[record.upstream] = started
        return started

    async def request(
        self,
        entry: str,
        method: str,
        path: str,
        timeout_s: float = 30,
        **arguments: Any,
    ) -> urllib3.BaseHTTPResponse:
        """Sends a caller's request to an entry."""
        url = f"http://{self.nodes[entry].http}{path}"
        return await trio.to_thread.run_sync(
            lambda: self.http_client.request(
                method, url, timeout=timeout_s, **arguments
            )
        )

    def voters(self) -> list[str]:
        """Returns the names of the voters in the leader's status."""
        leader = self.leader()
        if leader is None:
            return []
        status = self.status(leader) or {"replicas": {"members": []}}
        members = status["replicas"]["members"]
        return [member["name"] for member in members if member["voter"]]

    def leader(self, excluding: str = "") -> Node | None:
        """Returns the leader of the greatest term, or None without a leader.

        Args:
            excluding: Name of a replica that is not considered.
        """
        leaders = [
            (status["term"], node.name)
            for node in self.nodes_with_role("control")
            if node.name != excluding
            and (status := self.status(node))
            and status["role"] == "leader"
        ]
        return self.nodes[max(leaders)[1]] if leaders else None

    async def kill(
        self, name: str, signal_number: int = signal.SIGKILL
    ) -> None:
        """Sends a signal to a process; waits for the exit if it ends it."""
        process = self.nodes[name].process
        assert process is not None
        process.send_signal(signal_number)
        if signal_number in {signal.SIGKILL, signal.SIGTERM}:
            with trio.fail_after(STOP_TIMEOUT_S):
                await process.wait()

    def isolate(self, name: str) -> None:
        """Blocks the links of a node to all others; connections stay open."""
        host = self.nodes[name].host
        others = [n.host for n in self.nodes.values() if n.host != host]
        self.proxy.isolate(host, others)

    def status(self, node: Node) -> dict[str, Any] | None:
        """Returns the status of a process, or None if it cannot be read."""
        try:
            answer = self.http_client.request(
                "GET", f"http://{node.http}/v1/status", timeout=2
            )
        except urllib3.exceptions.HTTPError:
            return None
        return dict(json.loads(answer.data)) if answer.status == 200 else None

    async def wait_until(
        self,
        condition: Callable[[], bool],
        timeout_s: float,
        condition_name: str,
        check_process: Callable[[], None] = lambda: None,
    ) -> float:
        """Waits for a condition and returns the time that it took, in seconds.

        Args:
            condition: Returns whether the wait is over; called in a thread.
            timeout_s: Longest wait, in seconds.
            condition_name: Name of the condition for the error.
            check_process: Raises an error if the condition cannot be met any
                more.

        Raises:
            TimeoutError: The condition was not met in time.
        """
        started = trio.current_time()
        while trio.current_time() < started + timeout_s:
            check_process()
            if await trio.to_thread.run_sync(condition):
                return trio.current_time() - started
            await trio.sleep(0.05)
        raise TimeoutError(f"{condition_name}: not met within {timeout_s} s")

    def kill_all(self) -> None:
        """Kills the processes that this deployment started."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
