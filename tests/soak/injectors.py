"""Faults of the soak, injected from outside the processes."""

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
from tests.soak import stand_ins

# A disk that came back empty counts as lost until it has caught up.
CATCH_UP_S = 4.0
# Part of the injections that are planned work with a calm span after it.
PLANNED_PART = 0.15
CALM_S = (5.0, 9.0)


@attrs.define(eq=False)
class Place:
    """Where one server runs after the other, behind the fault proxy.

    Attributes:
        host: Loopback address of the proxy, which names the place.
        listener: Socket of the servers of this place.
        server: The one that runs now; None between two.
        starts: Number of servers started here.
        scope: Cancelled when the server ends.
    """

    service: str
    zone: str
    host: str
    listener: trio.SocketListener
    port: int
    server: stand_ins.Server | None = None
    starts: int = 0
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)


@attrs.define(eq=False)
class World:
    """Everything that faults can disturb.

    Attributes:
        rng: Numbers of the faults alone, so that a seed repeats their order.
        noise: Numbers of servers, callers and operators.
        starts: Number of starts of each edge.
        busy: Nodes and places that a fault holds now.
    """

    deployed: deployment.Deployment
    proxy: fault_proxy.FaultProxy
    nursery: trio.Nursery
    places: list[Place]
    operator: stand_ins.Operator
    seen: history.History
    rng: random.Random
    noise: random.Random
    starts: dict[str, int] = attrs.field(factory=dict)
    busy: set[str] = attrs.field(factory=set)

    @contextlib.contextmanager
    def trouble(self, name):
        """Notes a span in which something is disturbed."""
        from_s = trio.current_time()
        open_ended = history.Trouble(name, from_s, float("inf"))
        self.seen.troubles.append(open_ended)
        try:
            yield
        finally:
            self.seen.troubles.remove(open_ended)
            self.seen.troubles.append(
                history.Trouble(name, from_s, trio.current_time())
            )

    def start_node(self, node):
        """Starts a node; it is no first start of the deployment."""
        self.deployed.write_settings(node, first_start=False)
        node.start()
        self.starts[node.name] = self.starts.get(node.name, 1) + 1

    def start_server(self, place, *, cold=False):
        """Starts the next server of a place."""
        place.starts += 1
        place.server = stand_ins.Server(
            f"{place.host}-{place.starts}",
            place.service,
            place.zone,
            f"{place.host}:{place.port}",
            self.seen,
            self.noise,
        )
        if cold:
            place.server.cold_until_s = trio.current_time() + stand_ins.COLD_S
        self.nursery.start_soon(self._serve, place, place.server)

    async def _serve(self, place, server):
        with trio.CancelScope() as place.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._beat, server)
                while True:
                    stream = await place.listener.accept()
                    nursery.start_soon(server.serve, stream)

    async def _beat(self, server):
        while True:
            state = server.state
            status = await stand_ins.order(
                self.deployed.cores,
                self.noise,
                f"/Instances.Heartbeat/{server.name}",
                server.beat(),
            )
            if status == 200 and state == "draining":
                self._note_drain(server.name)
            await trio.sleep(stand_ins.HEARTBEAT_S)

    def _note_drain(self, name):
        known = any(
            (o.kind, o.name) == ("drain", name) for o in self.seen.orders
        )
        if not known:
            self.seen.orders.append(
                history.Order("drain", name, trio.current_time())
            )

    def sources(self):
        """Returns the addresses from which edges connect."""
        return ["127.0.0.1", *(edge.ip for edge in self.deployed.edges)]


def _core_name(world, node):
    return "core" if node in world.deployed.cores else node.name


async def kill_node(world, node):
    """A node is killed and started again."""
    with world.trouble(_core_name(world, node)):
        deployment.kill(node)
        await trio.sleep(world.rng.uniform(0.1, 1.5))
        world.start_node(node)
        await trio.sleep(0.5)


async def freeze_node(world, node):
    """A node stands still."""
    with world.trouble(_core_name(world, node)):
        node.send_signal(signal.SIGSTOP)
        try:
            await trio.sleep(world.rng.uniform(0.2, 5))
        finally:
            node.send_signal(signal.SIGCONT)


async def stop_edge(world, node):
    """An edge is asked to end, and is started again."""
    with world.trouble(f"stop {node.name}"):
        asked_s = trio.current_time()
        node.send_signal(signal.SIGTERM)
        code = None
        with trio.move_on_after(checkers.GRACE_S):
            while code is None:
                await trio.sleep(0.02)
                code = node.process.poll()
        ended_s = trio.current_time()
        if code is None:
            deployment.kill(node)
        world.seen.exits.append(history.Exit(node.name, code, asked_s, ended_s))
        world.start_node(node)
        await trio.sleep(0.5)


async def reload_node(world, node):
    """A node is told that its settings have changed."""
    node.send_signal(signal.SIGHUP)
    await trio.sleep(0.1)


async def wipe_core(world, node):
    """A core node loses its disk."""
    with world.trouble("core"):
        deployment.kill(node)
        shutil.rmtree(world.deployed.folder / node.name)
        world.start_node(node)
        await trio.sleep(CATCH_UP_S)


async def kill_core(world, node):
    """All core nodes are killed at once; their disks remain."""
    del node
    with world.trouble("core"):
        for core in world.deployed.cores:
            deployment.kill(core)
        await trio.sleep(world.rng.uniform(0.1, 1))
        for core in world.deployed.cores:
            world.start_node(core)
        await trio.sleep(0.5)


async def crash_server(world, place):
    """A server crashes; another start follows, cold, at its address."""
    with world.trouble(place.host):
        place.scope.cancel()
        world.proxy.reset(place.host)
        await trio.sleep(world.rng.uniform(0.5, 2))
        world.start_server(place, cold=True)


async def drain_server(world, place):
    """A server leaves as planned; another one follows."""
    leaving = place.server
    leaving.state = "draining"
    await trio.sleep(world.rng.uniform(4, 8))
    await stand_ins.order(
        world.deployed.cores,
        world.noise,
        f"/Instances.Deregister/{leaving.name}",
    )
    place.scope.cancel()
    world.start_server(place, cold=True)


async def slow_server(world, place):
    """A server is many times slower."""
    with world.trouble(place.host):
        server = place.server
        server.work_s *= world.rng.choice((5, 40))
        await trio.sleep(world.rng.uniform(1, 4))
        server.work_s = stand_ins.WORK_S


async def spoil_server(world, place):
    """A server loses, breaks off or fails answers."""
    with world.trouble(place.host):
        server = place.server
        kind = world.rng.choice(("lost_part", "spoiled_part", "failing_part"))
        setattr(server, kind, world.rng.uniform(0.2, 0.9))
        await trio.sleep(world.rng.uniform(1, 4))
        setattr(server, kind, 0.0)


async def fail_service(world, place):
    """All servers of a service fail most of their requests."""
    service = [p for p in world.places if p.service == place.service]
    with contextlib.ExitStack() as troubles:
        servers = [p.server for p in service if p.server]
        for peer, server in zip(service, servers, strict=False):
            troubles.enter_context(world.trouble(peer.host))
            server.failing_part = 0.9
        await trio.sleep(world.rng.uniform(4, 8))
        for server in servers:
            server.failing_part = 0.0


async def cut_server(world, place):
    """The link to a server is silent, in both directions or in one."""
    with world.trouble(place.host):
        ways = [
            way
            for source in world.sources()
            for way in ((source, place.host), (place.host, source))
        ]
        chosen = world.rng.choice((ways, ways[::2], ways[1::2]))
        for way in chosen:
            world.proxy.link(*way).cut()
        await trio.sleep(world.rng.uniform(0.5, 4))
        for way in chosen:
            world.proxy.link(*way).restore()


async def delay_server(world, place):
    """The link to a server is slow."""
    with world.trouble(place.host):
        links = [world.proxy.link(s, place.host) for s in world.sources()]
        for link in links:
            link.delay_s = world.rng.uniform(0.05, 0.5)
        await trio.sleep(world.rng.uniform(1, 4))
        for link in links:
            link.delay_s = 0.0


async def reset_server(world, place):
    """Open connections to a server are reset."""
    with world.trouble(place.host):
        world.proxy.reset(place.host)
        await trio.sleep(0.1)


async def change(world, target):
    """The configuration changes, sometimes twice on the same version."""
    del target
    await world.operator.change(race=world.rng.random() < 0.5)


async def evacuate(world, target):
    """A zone is emptied for a while."""
    del target
    zone = world.rng.choice(stand_ins.ZONES)
    await world.operator.evacuate(zone, world.rng.uniform(6, 12))


CORE_FAULTS = (kill_node, freeze_node, wipe_core, kill_core, reload_node)
EDGE_FAULTS = (kill_node, freeze_node, stop_edge, stop_edge, reload_node)
SERVER_FAULTS = (
    crash_server,
    drain_server,
    drain_server,
    slow_server,
    spoil_server,
    spoil_server,
    fail_service,
    cut_server,
    delay_server,
    reset_server,
)
OPERATOR_FAULTS = (change, change, evacuate)


def _targets(world):
    """Yields what may be disturbed, with its faults and a name of its own."""
    # One core node at a time, as the deployment bears the loss of one disk.
    yield "core", world.deployed.cores, CORE_FAULTS
    for edge in world.deployed.edges:
        yield edge.name, [edge], EDGE_FAULTS
    for place in world.places:
        yield place.host, [place], SERVER_FAULTS
    yield "operator", [None], OPERATOR_FAULTS


def _planned(world):
    """Yields what is done on purpose, each kind once."""
    place = world.rng.choice(world.places)
    yield place.host, [place], (drain_server,)
    edge = world.rng.choice(world.deployed.edges)
    yield edge.name, [edge], (stop_edge,)
    yield "operator", [None], (change,)
    yield "operator", [None], (evacuate,)


def _only(targets, fault):
    """Returns the targets of one fault alone; all without one."""
    if fault is None:
        return list(targets)
    return [
        (name, found, (kind,))
        for name, found, kinds in targets
        for kind in set(kinds)
        if kind.__name__ == fault
    ]


async def inject(world, seconds, fault=None):
    """Injects faults one after the other, overlapping, for some time.

    Args:
        world: What is disturbed.
        seconds: How long new faults begin.
        fault: Name of the only fault that is injected; None for all.
    """
    end_s = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            if world.rng.random() < PLANNED_PART:
                # Planned work is judged by time bounds only while all else is
                # calm.
                _start(world, nursery, _only(_planned(world), fault))
                await trio.sleep(world.rng.uniform(*CALM_S))
            else:
                _start(world, nursery, _only(_targets(world), fault))
                await trio.sleep(world.rng.uniform(0.1, 1))


def _start(world, nursery, targets):
    free = [target for target in targets if target[0] not in world.busy]
    if free:
        chosen = world.rng.choice(free)
        world.busy.add(chosen[0])
        nursery.start_soon(_disturb, world, chosen)


async def _disturb(world, chosen):
    name, targets, faults = chosen
    try:
        fault = world.rng.choice(faults)
        await fault(world, world.rng.choice(targets))
    finally:
        world.busy.discard(name)
