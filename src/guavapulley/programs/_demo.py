"""Runs all roles and simulated upstreams in one process."""

from collections.abc import Callable
from collections.abc import Iterator
import fnmatch
import functools
import math
import pathlib
import secrets

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import http
from guavapulley.adapters import settings
from guavapulley.programs import _addresses
from guavapulley.programs import _control
from guavapulley.programs import _demo_scenario
from guavapulley.programs import _entry
from guavapulley.programs import _process
from guavapulley.programs import _simulated_upstream
from guavapulley.programs import _timeline

HOST = "127.0.0.1"
REGIONS = ("pb", "za", "tn")
TOKEN_BYTES = 24
UPSTREAMS_PER_REGION = {
    "line-status": 2,
    "batch-release": 1,
    "inspection-archive": 1,
}
SERVICE_TIME_S = {
    "line-status": 0.01,
    "batch-release": 0.05,
    "inspection-archive": 0.5,
}
# Leaves out failed contacts, which are usual while all processes start at once.
TIMELINE_EVENTS = ("replica:*", "configuration:applied", "configuration:dec*")
SLOTS_PER_UPSTREAM = 6
MAX_CONNECTIONS_PER_UPSTREAM = 30
CALL_TIMEOUT_S = 20.0


@attrs.frozen
class DemoTokens:
    """Secrets of a demonstration, as hexadecimal digits."""

    cluster: str = attrs.field(factory=lambda: secrets.token_hex(TOKEN_BYTES))
    operator: str = attrs.field(factory=lambda: secrets.token_hex(TOKEN_BYTES))
    upstream: str = attrs.field(factory=lambda: secrets.token_hex(TOKEN_BYTES))


def _create_settings(
    role: settings.Role, region: str, folder: pathlib.Path, tokens: DemoTokens
) -> settings.ProcessSettings:
    """Returns settings that lack the addresses of the other processes."""
    name = f"{region}-{role}"
    http_address = _addresses.free_address(HOST)
    peer = _addresses.free_address(HOST)
    return settings.ProcessSettings(
        role=role,
        node=name,
        region=region,
        failure_domain=f"{region}-a",
        http=http_address,
        peer=peer,
        announced_http=http_address,
        announced_peer=peer,
        control_peers=(),
        entry_seeds=(),
        data_folder=folder / f"{name}.data",
        log_file=folder / f"{name}.log",
        statsd=None,
        cluster_key=tokens.cluster.encode(),
        operator_token=tokens.operator,
        upstream_token=tokens.upstream,
    )


@attrs.frozen
class Deployment:
    """Settings of all processes of a demonstration.

    Attributes:
        folder: Folder of the data and logs.
        tokens: Secrets of the processes.
        controls: Settings of the control replicas, one for each region.
        entries: Settings of the entries, one for each region.
    """

    folder: pathlib.Path
    tokens: DemoTokens
    controls: tuple[settings.ProcessSettings, ...]
    entries: tuple[settings.ProcessSettings, ...]

    def control_addresses(self) -> tuple[model.NodeAddress, ...]:
        """Returns the HTTP addresses of the control replicas."""
        return tuple(node.http for node in self.controls)

    def upstreams(
        self,
    ) -> Iterator[_simulated_upstream.SimulatedUpstreamSettings]:
        """Yields the settings of the simulated upstreams."""
        entries = tuple(node.http for node in self.entries)
        for service, count in UPSTREAMS_PER_REGION.items():
            for region in REGIONS:
                for number in range(1, count + 1):
                    record = model.UpstreamRecord(
                        f"{service}-{region}-{number}",
                        service,
                        model.NodeAddress(HOST, 0),
                        region,
                        f"{region}-a",
                        SLOTS_PER_UPSTREAM,
                        MAX_CONNECTIONS_PER_UPSTREAM,
                        labels={"rack": str(number)},
                    )
                    yield _simulated_upstream.SimulatedUpstreamSettings(
                        record,
                        entries,
                        service_time_s=SERVICE_TIME_S[service],
                        token=self.tokens.upstream,
                    )


def plan_deployment(folder: pathlib.Path) -> Deployment:
    """Chooses names, free addresses and secrets for a demonstration.

    Args:
        folder: Folder for data and logs.
    """
    tokens = DemoTokens()
    nodes = {
        role: [
            _create_settings(role, region, folder, tokens) for region in REGIONS
        ]
        for role in settings.Role
    }
    peers = tuple(node.peer for node in nodes[settings.Role.CONTROL])
    seeds = tuple(node.peer for node in nodes[settings.Role.ENTRY])
    configured = {
        role: tuple(
            attrs.evolve(node, control_peers=peers, entry_seeds=seeds)
            for node in role_nodes
        )
        for role, role_nodes in nodes.items()
    }
    return Deployment(
        folder,
        tokens,
        configured[settings.Role.CONTROL],
        configured[settings.Role.ENTRY],
    )


async def run_demo(
    folder: pathlib.Path,
    seconds: float | None,
    print_line: Callable[[str], None],
) -> None:
    """Runs a deployment on loopback and demonstrates its use.

    Args:
        folder: Empty folder for data and logs.
        seconds: Time in seconds for which it runs after the last step; None
            for until it is interrupted.
        print_line: Prints a line of text.

    Raises:
        GuavapulleyError: A process failed.
    """
    deployment = plan_deployment(folder)
    token_file = folder / "operator.token"
    token_file.touch(mode=0o600)
    token_file.write_text(deployment.tokens.operator)
    print_line(
        f"Starting {len(REGIONS)} control replicas, {len(REGIONS)} entries and"
        " simulated upstreams in this process."
    )
    with errors.unwrap_exception_group():
        await _run(deployment, token_file, seconds, print_line)


async def _run(
    deployment: Deployment,
    token_file: pathlib.Path,
    seconds: float | None,
    print_line: Callable[[str], None],
) -> None:
    async with trio.open_nursery() as nursery:
        upstreams = await _start_processes(nursery, deployment)
        client = http.AdminClient(
            deployment.control_addresses(),
            deployment.tokens.operator,
            CALL_TIMEOUT_S,
            lambda text: None,
        )
        entry = deployment.entries[0].http
        await _demo_scenario.DemoScenario(
            client, entry, upstreams, print_line
        ).run()
        _print_timeline(deployment.folder, print_line)
        addresses = ",".join(map(str, deployment.control_addresses()))
        print_line("")
        print_line("Try it from another shell:")
        print_line(f"  export GUAVAPULLEY_CONTROL={addresses}")
        print_line(f"  export GUAVAPULLEY_TOKEN_FILE={token_file}")
        print_line("  guavapulley status")
        print_line(
            f"  guavapulley timeline {deployment.folder}/*.log"
            " --event 'config*'"
        )
        if seconds is None:
            print_line("Press Ctrl-C to stop.")
        with trio.move_on_after(math.inf if seconds is None else seconds):
            await _process.wait_for_stop_signal()
        nursery.cancel_scope.cancel()


def _print_timeline(
    folder: pathlib.Path, print_line: Callable[[str], None]
) -> None:
    """Prints the main events of all processes in causal order."""
    print_line("")
    print_line(
        "Timeline of leadership and configuration events of all processes:"
    )
    readers = [
        _timeline.LogReader(path) for path in sorted(folder.glob("*.log"))
    ]
    events = _timeline.merge(readers, _timeline.EventFilter())
    shown_events = (
        event
        for event in events
        if any(
            fnmatch.fnmatch(event.name, pattern) for pattern in TIMELINE_EVENTS
        )
    )
    for line in _timeline.text_lines(shown_events):
        print_line(f"  {line}")


async def _start_processes(
    nursery: trio.Nursery, deployment: Deployment
) -> list[_simulated_upstream.SimulatedUpstream]:
    """Starts all processes and returns the simulated upstreams."""
    first = deployment.controls[0]
    # The other replicas have not started, and their data folders are empty.
    await _control.init_control(first, peers_may_be_down=True)
    for control in deployment.controls:
        await nursery.start(_control.run_control, control, trio.sleep_forever)
    options = _entry.EntryOptions(wait_for_stop=trio.sleep_forever)
    for entry in deployment.entries:
        await nursery.start(_entry.run_entry, entry, options)
    run_upstream = functools.partial(
        _simulated_upstream.run_simulated_upstream, events=ports.NullEventLog()
    )
    return [
        await nursery.start(run_upstream, upstream)
        for upstream in deployment.upstreams()
    ]
