"""Three control replicas on an in-memory network and a mock clock."""

import random

import attrs
import trio

from guavapulley import consensus
from guavapulley import fleet
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import memory
from tests.fleet import conftest

DELAY_S = 0.02


class HoldingNetwork(memory.MemoryNetwork):
    """Holds up some requests, as a partition does, and delivers them later.

    Attributes:
        held_type: Type of the requests that are held up; None for none.
        released: Set when the requests are delivered.
    """

    def __init__(self):
        super().__init__(lambda source, target: DELAY_S)
        self.held_type = None
        self.released = trio.Event()

    async def _deliver_request(self, pending_call):
        if type(pending_call.request) is self.held_type:
            await self.released.wait()
        await super()._deliver_request(pending_call)


class PausableApplier:
    """Applies committed commands of a replica, except while it is paused.

    A replica that replays a long log, or waits for a slow disk, is in contact
    with a quorum and has not applied what that committed.
    """

    def __init__(self, replica):
        self.apply_until_cancelled = replica.applier.run
        replica.applier.run = self.run
        self.scope, self.resumed = trio.CancelScope(), trio.Event()

    async def run(self):
        while True:
            with self.scope:
                await self.apply_until_cancelled()
            await self.resumed.wait()
            self.scope, self.resumed = trio.CancelScope(), trio.Event()

    def pause(self):
        self.scope.cancel()

    def resume(self):
        self.resumed.set()


@attrs.define
class Node:
    """A control replica and the cancel scope of its tasks."""

    address: model.NodeAddress
    disk: memory.MemoryDisk
    service: fleet.FleetService
    applier: PausableApplier
    scope: trio.CancelScope | None = None


class ControlCluster:
    """Three control replicas on an in-memory network and a mock clock."""

    def __init__(self, nursery, network=None):
        self.nursery, self.rng = nursery, random.Random(7)
        self.network = network or memory.MemoryNetwork(lambda a, b: DELAY_S)
        self.addresses = [model.NodeAddress("m", port) for port in (1, 2, 3)]
        self.nodes = [
            self._node(address, memory.MemoryDisk())
            for address in self.addresses
        ]

    def _node(self, address, disk):
        machine = fleet.FleetStateMachine(conftest.CODEC)
        dialer = self.network.dialer(address)
        replica = consensus.Replica(
            f"c{address.port}",
            address,
            self.addresses,
            memory.MemoryStore(disk, self.rng, 0.002),
            dialer,
            conftest.CODEC,
            machine,
            ports.NullEventLog(),
            ports.NullMetrics(),
            self.rng,
            consensus.ConsensusSettings(max_voters=3, join_interval_s=0.2),
        )
        service = fleet.FleetService(
            replica, machine, conftest.CODEC, dialer, ports.NullEventLog(), 3
        )
        return Node(address, disk, service, PausableApplier(replica))

    async def start(self):
        await self.nursery.start(self.network.run)
        for node in self.nodes:
            await self.nursery.start(self._run, node)
        await self.nodes[0].service.replica.create_cluster(
            peers_may_be_down=True
        )

    async def start_accepting(self):
        """Starts the replicas and records an upstream."""
        await self.start()

        async def accepts():
            await self.nodes[2].service.renew_upstream(conftest.upstream())
            return True

        await self.retry_until_true(accepts)

    async def restart_paused(self, node):
        """Crashes a replica and starts it again, without applying its log."""
        node.scope.cancel()
        restarted = self._node(node.address, node.disk)
        restarted.applier.pause()
        self.nodes[self.nodes.index(node)] = restarted
        await self.nursery.start(self._run, restarted)
        return restarted

    async def _run(self, node, task_status):
        with trio.CancelScope() as node.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(node.service.replica.run)
                await nursery.start(
                    self.network.serve, node.address, node.service
                )
                nursery.start_soon(node.service.run)
                task_status.started()
                await trio.sleep_forever()

    async def retry_until_true(self, attempt, timeout_s=20):
        with trio.fail_after(timeout_s):
            while True:
                try:
                    if await attempt():
                        return
                except (consensus.ConsensusError, ports.PeerError):
                    pass
                await trio.sleep(0.05)

    def follower(self):
        leader = self.leader()
        return next(node for node in self.nodes if node is not leader)

    def leader(self):
        return next(
            n for n in self.nodes if n.service.replica.leadership().is_leader
        )
