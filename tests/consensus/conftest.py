"""A cluster of replicas with in-memory ports on trio's mock clock."""

import random

import attrs
import pytest
import trio
import trio._core._run as trio_run

from guavapulley import consensus
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import codec
from guavapulley.adapters import memory

CODEC = codec.MessageCodec()
MAX_DELAY_S = 0.035


class RecordingStateMachine:
    """State machine that records the applied commands with their indexes."""

    def __init__(self):
        self.applied = []

    def apply(self, index, payload):
        self.applied.append((index, payload))
        return index

    def snapshot(self):
        return b"\n".join(b"%d %s" % item for item in self.applied)

    def restore(self, state):
        pairs = (line.split(b" ", 1) for line in state.splitlines())
        self.applied = [(int(index), payload) for index, payload in pairs]


class CollectingEventLog(ports.NullEventLog):
    """Event log that adds its node's events to a list shared by all nodes."""

    def __init__(self, name, collected):
        self.name, self.collected = name, collected

    def write(self, event, **fields):
        self.collected.append((self.name, event, fields))


@attrs.define
class Node:
    name: str
    address: model.NodeAddress
    disk: memory.MemoryDisk
    replica: consensus.Replica | None = None
    state_machine: RecordingStateMachine | None = None
    scope: trio.CancelScope | None = None
    error: Exception | None = None


class Cluster:
    """Nodes c1, c2, ..., each of which can crash, restart and lose its disk."""

    def __init__(self, nursery, seed, count=3, max_sync_s=0.002, **overrides):
        self.nursery, self.rng = nursery, random.Random(seed)
        self.max_sync_s = max_sync_s
        # Makes the order of tasks, and so a failure, reproducible by its seed.
        trio_run._r.seed(seed)
        self.settings = consensus.ConsensusSettings(**overrides)
        self.make_metrics = ports.NullMetrics
        self.events = []
        self.extra_delay = {}
        self.network = memory.MemoryNetwork(self._delay)
        self.nodes = [
            Node(
                f"c{number}",
                model.NodeAddress("m", number),
                memory.MemoryDisk(),
            )
            for number in range(1, count + 1)
        ]

    def _delay(self, source, target):
        extra = self.extra_delay.get((source, target), 0)
        return self.rng.uniform(0, MAX_DELAY_S) + self.rng.uniform(0, extra)

    async def start(self, *nodes):
        if self.network.nursery is None:
            await self.nursery.start(self.network.run)
        for node in nodes or self.nodes:
            await self.nursery.start(self._run, node)

    async def _run(self, node, task_status):
        node.state_machine = RecordingStateMachine()
        node.replica = consensus.Replica(
            node.name,
            node.address,
            [other.address for other in self.nodes],
            memory.MemoryStore(node.disk, self.rng, self.max_sync_s),
            self.network.dialer(node.address),
            CODEC,
            node.state_machine,
            CollectingEventLog(node.name, self.events),
            self.make_metrics(),
            self.rng,
            self.settings,
        )
        node.error = None
        with trio.CancelScope() as node.scope:
            try:
                async with trio.open_nursery() as nursery:
                    await nursery.start(node.replica.run)
                    await nursery.start(
                        self.network.serve, node.address, node.replica
                    )
                    task_status.started()
            except* consensus.ConsensusError as group:
                node.error = group.exceptions[0]
        node.scope = None

    async def crash(self, *nodes, lose_disk=False):
        """Crashes nodes at the same time, without a restart."""
        for node in nodes:
            if node.scope is not None:
                node.scope.cancel()
        await self.wait_for(lambda: all(n.scope is None for n in nodes))
        for node in nodes:
            if lose_disk:
                node.disk = memory.MemoryDisk()

    def running(self):
        return [node for node in self.nodes if node.scope is not None]

    def isolate(self, *isolated_nodes):
        for isolated_node in isolated_nodes:
            for node in self.nodes:
                if node not in isolated_nodes:
                    self.cut_one_way(isolated_node, node)
                    self.cut_one_way(node, isolated_node)

    def cut_one_way(self, source, target):
        self.network.blocked_links.add((source.address, target.address))

    def remove_network_faults(self):
        self.network.blocked_links.clear()
        self.extra_delay.clear()

    async def wait_for(self, condition, timeout_s=60):
        with trio.fail_after(timeout_s):
            # Polls because the conditions depend on several replicas, which
            # do not share an event.
            while not condition():  # noqa: ASYNC110
                await trio.sleep(0.01)

    def leader(self):
        leaders = [
            n for n in self.running() if n.replica.leadership().is_leader
        ]
        return max(
            leaders, key=lambda n: n.replica.leadership().term, default=None
        )

    async def form_cluster(self):
        """Starts all nodes and forms a cluster in which all are voters."""
        await self.start()
        await self.nodes[0].replica.create_cluster()
        await self.wait_for(lambda: self.all_voters(len(self.nodes)))
        return self

    def all_voters(self, count):
        return all(
            sum(m.voter for m in n.replica.status().replicas.members) == count
            and len(n.replica.status().replicas.members) == count
            for n in self.running()
        )

    async def propose(self, payload, timeout_s=2):
        """Proposes a command, at most for 60 s, until a leader commits it."""
        with trio.fail_after(60):
            while True:
                leader = self.leader()
                try:
                    if leader is not None:
                        return await leader.replica.propose(payload, timeout_s)
                except consensus.ConsensusError:
                    pass
                await trio.sleep(0.1)


@pytest.fixture
def make_cluster(monkeypatch):
    monkeypatch.setattr(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    return Cluster
