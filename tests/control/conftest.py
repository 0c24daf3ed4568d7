"""Control replicas over in-memory ports on a paused clock."""

import random
import types

import attrs
import pytest
import trio
import trio._core._run as trio_run

from guavapulley import consensus
from guavapulley import control
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import codec
from guavapulley.adapters import memory
from guavapulley.serving import _control_client

CODEC = codec.MessageCodec(control.CODEC_TYPES)
START_S = 1_700_000_000.0
DAY_S = 86_400.0
OBSERVER = model.NodeAddress("entry", 1)


def command(machine, index, request, at_s=START_S):
    """Applies a request to a state machine, wrapped as by the service."""
    wrapped = {
        model.Change: lambda: control._commands.ApplyChange(request, at_s),
        model.ClaimKey: lambda: control._commands.ApplyClaim(request, at_s),
        model.RecordOutcome: lambda: control._commands.ApplyOutcome(request),
        model.ReleaseClaim: lambda: control._commands.ApplyRelease(request),
    }[type(request)]()
    return machine.apply(index, CODEC.encode(wrapped))


def change(request_id, base, *puts, deletes=()):
    return model.Change(request_id, base, "op", puts, deletes)


def drain(name):
    return model.Drain(name, f"rack = {name}")


def claim(request_id="r1", **fields):
    values = {
        "key": "order/k1",
        "body_hash": "h",
        "entry": "e1",
        "request_id": request_id,
        "created_s": START_S,
    }
    return model.ClaimKey(**values | fields)


@attrs.define
class Node:
    address: model.NodeAddress
    disk: memory.MemoryDisk
    replica: consensus.Replica | None = None
    service: control.ControlService | None = None
    scope: trio.CancelScope | None = None


class Cluster:
    """Three control replicas with their services, and a client of an entry."""

    def __init__(self, nursery, seed):
        print(f"seed {seed}")  # shown by pytest when a test fails
        # Makes the scheduling, and so a failure, reproducible by its seed.
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
        trio_run._r.seed(seed)
        self.nursery, self.rng = nursery, random.Random(seed)
        self.network = memory.MemoryNetwork(
            lambda source, target: self.rng.uniform(0, 0.035)
        )
        self.nodes = [
            Node(model.NodeAddress("control", number), memory.MemoryDisk())
            for number in range(3)
        ]
        self.client = _control_client.ControlClient(
            self.network.dialer(OBSERVER), [n.address for n in self.nodes]
        )

    async def form_cluster(self):
        await self.nursery.start(self.network.run)
        for node in self.nodes:
            await self.nursery.start(self.run, node)
        await self.nodes[0].replica.create_cluster()
        await self.wait_for(
            lambda: all(self.voters(n) == 3 for n in self.nodes)
        )
        return self

    def voters(self, node):
        members = node.replica.status().replicas.members
        return sum(member.voter for member in members)

    async def run(self, node, task_status):
        machine = control.ControlStateMachine(
            CODEC, control.validate_configuration
        )
        dialer = self.network.dialer(node.address)
        node.replica = consensus.Replica(
            f"c{node.address.port}",
            node.address,
            [other.address for other in self.nodes],
            memory.MemoryStore(node.disk, self.rng),
            dialer,
            CODEC,
            machine,
            ports.NullEventLog(),
            ports.NullMetrics(),
            self.rng,
        )
        node.service = control.ControlService(
            node.replica,
            machine,
            CODEC,
            dialer,
            lambda: START_S + trio.current_time(),
            ports.NullEventLog(),
        )
        with trio.CancelScope() as node.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(node.replica.run)
                await nursery.start(
                    self.network.serve, node.address, node.service
                )
                task_status.started()
        node.scope = None

    async def crash(self, node):
        node.scope.cancel()
        await self.wait_for(lambda: node.scope is None)

    def isolate(self, node, *others):
        """Cuts a replica off from the other replicas and given addresses."""
        peers = [n.address for n in self.nodes if n is not node]
        for other in (*peers, *others):
            self.network.blocked_links.add((node.address, other))
            self.network.blocked_links.add((other, node.address))

    async def wait_for(self, condition):
        for _ in range(6_000):
            if condition():
                return
            await trio.sleep(0.01)
        raise AssertionError("the condition did not become true in 60 s")

    async def leader(self, *excluded):
        leaders = []

        def find_leaders():
            leaders[:] = [
                n
                for n in self.nodes
                if n.scope is not None
                and n not in excluded
                and n.replica.leadership().is_leader
            ]
            return bool(leaders)

        await self.wait_for(find_leaders)
        return leaders[0]

    def revisions(self):
        return [n.service.machine.configuration.revision for n in self.nodes]


@pytest.fixture
def make_cluster(nursery):
    return lambda seed: Cluster(nursery, seed).form_cluster()


@pytest.fixture
def machine():
    return control.ControlStateMachine(CODEC, control.validate_configuration)


@pytest.fixture
def make():
    return types.SimpleNamespace(
        command=command,
        change=change,
        drain=drain,
        claim=claim,
        start_s=START_S,
        day_s=DAY_S,
        codec=CODEC,
    )
