"""Injects faults into the processes of the soak from outside."""

import contextlib
import random
import shutil
import signal

import attrs
import trio

from tests.integration import fault_proxy
from tests.platform import deployment
from tests.soak import checkers
from tests.soak import history
from tests.soak import simulators

# A core node that restarts with an empty disk counts as lost for this time, in
# which it fetches the state from the others.
CATCH_UP_S = 4.0
# Fraction of the injections that are planned maintenance, each of which is
# followed by a pause without new faults.
PLANNED_FRACTION = 0.15
CALM_DURATION_RANGE_S = (5.0, 9.0)


@attrs.define(eq=False)
class Location:
    """An address behind the fault proxy at which one server runs at a time.

    Attributes:
        service: Service of the servers.
        zone: Zone of the servers.
        host: Loopback address of the proxy; names the location.
        listener: Listening socket that all servers of this location use.
        port: Port of the proxy.
        server: The newest server; None before the first one.
        start_count: Number of servers started here so far.
        scope: Cancel scope of the current server.
    """

    service: str
    zone: str
    host: str
    listener: trio.SocketListener
    port: int
    server: simulators.Server | None = None
    start_count: int = 0
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)


@attrs.define(eq=False)
class System:
    """The system under test and the participants of the soak.

    Attributes:
        deployed: The processes.
        proxy: Proxy in front of all servers.
        nursery: Runs the servers.
        locations: Locations of the servers.
        operator: The operator.
        observed: Records of what is observed from outside.
        fault_rng: Random numbers of the faults alone, so that a seed repeats
            their order.
        workload_rng: Random numbers of servers, callers and operators.
        start_counts: Number of starts by name of the node; a node that was
            started only once is left out.
        busy_targets: Names of the targets that a fault uses at present.
    """

    deployed: deployment.Deployment
    proxy: fault_proxy.FaultProxy
    nursery: trio.Nursery
    locations: list[Location]
    operator: simulators.Operator
    observed: history.History
    fault_rng: random.Random
    workload_rng: random.Random
    start_counts: dict[str, int] = attrs.field(factory=dict)
    busy_targets: set[str] = attrs.field(factory=set)

    @contextlib.contextmanager
    def record_disturbance(self, name):
        """Records the time span of the block as a disturbance."""
        from_s = trio.current_time()
        ongoing = history.Disturbance(name, from_s, float("inf"))
        self.observed.disturbances.append(ongoing)
        try:
            yield
        finally:
            self.observed.disturbances.remove(ongoing)
            self.observed.disturbances.append(
                history.Disturbance(name, from_s, trio.current_time())
            )

    def start_node(self, node):
        """Starts a node that has run before."""
        self.deployed.write_settings(node, first_start=False)
        node.start()
        self.start_counts[node.name] = self.start_counts.get(node.name, 1) + 1

    def start_server(self, location, *, cold=False):
        """Starts the next server of a location."""
        location.start_count += 1
        location.server = simulators.Server(
            f"{location.host}-{location.start_count}",
            location.service,
            location.zone,
            f"{location.host}:{location.port}",
            self.observed,
            self.workload_rng,
        )
        if cold:
            location.server.cold_until_s = (
                trio.current_time() + simulators.COLD_S
            )
        self.nursery.start_soon(self._serve, location, location.server)

    async def _serve(self, location, server):
        with trio.CancelScope() as location.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_heartbeats, server)
                while True:
                    stream = await location.listener.accept()
                    nursery.start_soon(server.serve, stream)

    async def _send_heartbeats(self, server):
        while True:
            state = server.state
            status = await simulators.send_command(
                self.deployed.cores,
                self.workload_rng,
                f"/Instances.Heartbeat/{server.name}",
                server.next_heartbeat(),
            )
            if status == 200 and state == "draining":
                self._record_drain(server.name)
            await trio.sleep(simulators.HEARTBEAT_S)

    def _record_drain(self, name):
        recorded = any(
            (command.kind, command.name) == ("drain", name)
            for command in self.observed.commands
        )
        if not recorded:
            self.observed.commands.append(
                history.Command("drain", name, trio.current_time())
            )

    def source_addresses(self):
        """Returns the source addresses of the connections of edges."""
        return ["127.0.0.1", *(edge.ip for edge in self.deployed.edges)]


def _disturbance_name(system, node):
    return "core" if node in system.deployed.cores else node.name


async def kill_node(system, node):
    """Kills a node and restarts it."""
    with system.record_disturbance(_disturbance_name(system, node)):
        deployment.kill(node)
        await trio.sleep(system.fault_rng.uniform(0.1, 1.5))
        system.start_node(node)
        await trio.sleep(0.5)


async def freeze_node(system, node):
    """Pauses a node by SIGSTOP."""
    with system.record_disturbance(_disturbance_name(system, node)):
        node.send_signal(signal.SIGSTOP)
        try:
            await trio.sleep(system.fault_rng.uniform(0.2, 5))
        finally:
            node.send_signal(signal.SIGCONT)


async def stop_edge(system, node):
    """Stops an edge by SIGTERM and restarts it."""
    with system.record_disturbance(f"stop {node.name}"):
        signaled_s = trio.current_time()
        node.send_signal(signal.SIGTERM)
        code = None
        with trio.move_on_after(checkers.GRACE_S):
            while code is None:
                await trio.sleep(0.02)
                code = node.process.poll()
        ended_s = trio.current_time()
        if code is None:
            deployment.kill(node)
        system.observed.exits.append(
            history.Exit(node.name, code, signaled_s, ended_s)
        )
        system.start_node(node)
        await trio.sleep(0.5)


async def reload_node(system, node):
    """Makes a node reload its settings by SIGHUP."""
    node.send_signal(signal.SIGHUP)
    await trio.sleep(0.1)


async def wipe_core(system, node):
    """Kills a core node, deletes its data and restarts it."""
    with system.record_disturbance("core"):
        deployment.kill(node)
        shutil.rmtree(system.deployed.folder / node.name)
        system.start_node(node)
        await trio.sleep(CATCH_UP_S)


async def kill_core(system, node):
    """Kills all core nodes at once and restarts them with their data."""
    del node
    with system.record_disturbance("core"):
        for core in system.deployed.cores:
            deployment.kill(core)
        await trio.sleep(system.fault_rng.uniform(0.1, 1))
        for core in system.deployed.cores:
            system.start_node(core)
        await trio.sleep(0.5)


async def crash_server(system, location):
    """Crashes a server; a cold one is started later at its address."""
    with system.record_disturbance(location.host):
        location.scope.cancel()
        system.proxy.reset(location.host)
        await trio.sleep(system.fault_rng.uniform(0.5, 2))
        system.start_server(location, cold=True)


async def drain_server(system, location):
    """Drains and deregisters a server, then starts a cold one."""
    leaving = location.server
    leaving.state = "draining"
    await trio.sleep(system.fault_rng.uniform(4, 8))
    await simulators.send_command(
        system.deployed.cores,
        system.workload_rng,
        f"/Instances.Deregister/{leaving.name}",
    )
    location.scope.cancel()
    system.start_server(location, cold=True)


async def slow_server(system, location):
    """Makes a server many times slower for a while."""
    with system.record_disturbance(location.host):
        server = location.server
        server.service_time_s *= system.fault_rng.choice((5, 40))
        await trio.sleep(system.fault_rng.uniform(1, 4))
        server.service_time_s = simulators.SERVICE_TIME_S


async def spoil_server(system, location):
    """Makes a server drop or truncate answers or fail requests for a while."""
    with system.record_disturbance(location.host):
        server = location.server
        fraction = system.fault_rng.choice(
            ("lost_fraction", "truncated_fraction", "failing_fraction")
        )
        setattr(server, fraction, system.fault_rng.uniform(0.2, 0.9))
        await trio.sleep(system.fault_rng.uniform(1, 4))
        setattr(server, fraction, 0.0)


async def refuse_requests(system, location):
    """Makes a server turn away requests and say for how long, for a while."""
    server = location.server
    server.refusal_s = system.fault_rng.uniform(0.8, 2.5)
    await trio.sleep(system.fault_rng.uniform(1, 4))
    server.refusal_s = 0.0


async def fail_service(system, location):
    """Makes all servers of a service fail most requests for a while."""
    members = [
        member
        for member in system.locations
        if member.service == location.service
    ]
    with contextlib.ExitStack() as disturbances:
        servers = [member.server for member in members if member.server]
        for member, server in zip(members, servers, strict=False):
            disturbances.enter_context(system.record_disturbance(member.host))
            server.failing_fraction = 0.9
        await trio.sleep(system.fault_rng.uniform(4, 8))
        for server in servers:
            server.failing_fraction = 0.0


async def cut_server(system, location):
    """Blocks the link to a server in one or both directions for a while."""
    with system.record_disturbance(location.host):
        directions = [
            direction
            for source in system.source_addresses()
            for direction in ((source, location.host), (location.host, source))
        ]
        chosen = system.fault_rng.choice(
            (directions, directions[::2], directions[1::2])
        )
        for direction in chosen:
            system.proxy.link(*direction).block()
        await trio.sleep(system.fault_rng.uniform(0.5, 4))
        for direction in chosen:
            system.proxy.link(*direction).restore()


async def delay_server(system, location):
    """Adds latency to the link to a server for a while."""
    with system.record_disturbance(location.host):
        links = [
            system.proxy.link(s, location.host)
            for s in system.source_addresses()
        ]
        for link in links:
            link.delay_s = system.fault_rng.uniform(0.05, 0.5)
        await trio.sleep(system.fault_rng.uniform(1, 4))
        for link in links:
            link.delay_s = 0.0


async def reset_server(system, location):
    """Resets the open connections to a server."""
    with system.record_disturbance(location.host):
        system.proxy.reset(location.host)
        await trio.sleep(0.1)


async def change(system, target):
    """Changes the configuration, at times with two competing changes."""
    del target
    await system.operator.change(race=system.fault_rng.random() < 0.5)


async def evacuate(system, target):
    """Evacuates a zone for a while."""
    del target
    zone = system.fault_rng.choice(simulators.ZONES)
    await system.operator.evacuate(zone, system.fault_rng.uniform(6, 12))


CORE_FAULTS = (kill_node, freeze_node, wipe_core, kill_core, reload_node)
EDGE_FAULTS = (kill_node, freeze_node, stop_edge, stop_edge, reload_node)
SERVER_FAULTS = (
    crash_server,
    drain_server,
    drain_server,
    slow_server,
    spoil_server,
    spoil_server,
    refuse_requests,
    fail_service,
    cut_server,
    delay_server,
    reset_server,
)
OPERATOR_FAULTS = (change, change, evacuate)


def _all_targets(system):
    """Yields targets: a unique name, what to choose from, and the faults."""
    # One core node at a time, as the deployment tolerates the loss of one disk.
    yield "core", system.deployed.cores, CORE_FAULTS
    for edge in system.deployed.edges:
        yield edge.name, [edge], EDGE_FAULTS
    for location in system.locations:
        yield location.host, [location], SERVER_FAULTS
    yield "operator", [None], OPERATOR_FAULTS


def _planned_targets(system):
    """Yields the targets of planned maintenance, each fault once."""
    location = system.fault_rng.choice(system.locations)
    yield location.host, [location], (drain_server,)
    edge = system.fault_rng.choice(system.deployed.edges)
    yield edge.name, [edge], (stop_edge,)
    yield "operator", [None], (change,)
    yield "operator", [None], (evacuate,)


def _select_fault(targets, fault):
    """Returns the targets limited to one fault; all targets if it is None."""
    if fault is None:
        return list(targets)
    return [
        (name, nodes_or_locations, (kind,))
        for name, nodes_or_locations, faults in targets
        for kind in set(faults)
        if kind.__name__ == fault
    ]


async def inject(system, duration_s, fault=None):
    """Injects faults that may overlap, and waits until they have ended.

    Args:
        system: The system under test.
        duration_s: Time in which new faults are started.
        fault: Name of the only fault that is injected; None for all faults.
    """
    end_s = trio.current_time() + duration_s
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            if system.fault_rng.random() < PLANNED_FRACTION:
                # The checkers apply time bounds to planned maintenance only
                # where nothing else is disturbed.
                _start_fault(
                    system,
                    nursery,
                    _select_fault(_planned_targets(system), fault),
                )
                await trio.sleep(
                    system.fault_rng.uniform(*CALM_DURATION_RANGE_S)
                )
            else:
                _start_fault(
                    system, nursery, _select_fault(_all_targets(system), fault)
                )
                await trio.sleep(system.fault_rng.uniform(0.1, 1))


def _start_fault(system, nursery, targets):
    free = [
        target for target in targets if target[0] not in system.busy_targets
    ]
    if free:
        chosen = system.fault_rng.choice(free)
        system.busy_targets.add(chosen[0])
        nursery.start_soon(_run_fault, system, chosen)


async def _run_fault(system, chosen):
    name, targets, faults = chosen
    try:
        fault = system.fault_rng.choice(faults)
        await fault(system, system.fault_rng.choice(targets))
    finally:
        system.busy_targets.discard(name)
