"""Guards against loss and reordering under random combinations of faults.

`SCHEDULE_SEEDS=first:last` selects other seeds than the default ones.
"""

import collections
import itertools
import os

import pytest
import trio

from guavapulley import consensus

FIRST, LAST = map(int, os.environ.get("SCHEDULE_SEEDS", "0:24").split(":"))
STEPS = 40
MAX_PAUSE_S = 3.0
# Clients and longest sync of the schedules, in turn; slow syncs under load
# leave much unsynced at a crash.
LOADS = [(3, 0.002), (12, 0.1), (2, 0.5)]
# Repeated names are more frequent.
FAULTS = [
    "crash",
    "crash",
    "blackout",
    "restart",
    "restart",
    "wipe",
    "cut",
    "one_way",
    "heal",
    "heal",
    "delay",
    "disk",
    "pause",
]
SETTLE_S = 40.0


class Schedule:
    """Runs clients and random faults, and checks what replicas apply."""

    def __init__(self, cluster, clients):
        self.clients = clients
        self.cluster = cluster
        self.rng = cluster.rng
        self.numbers = itertools.count()
        self.committed = {}
        self.refused = set()
        self.history = []
        self.trace = []

    def check(self):
        """Checks all nodes against everything applied before."""
        for node in self.cluster.running():
            applied = node.machine.applied
            shared = min(len(applied), len(self.history))
            assert applied[:shared] == self.history[:shared], node.name
            self.history.extend(applied[shared:])
        leaders = collections.defaultdict(set)
        for name, event, fields in self.cluster.events:
            if event == "replica:leader_elected":
                leaders[fields["term"]].add(name)
        assert all(len(names) == 1 for names in leaders.values()), leaders
        self.cluster.events.clear()
        shown = {payload for _, payload in self.history}
        assert not shown & self.refused

    def check_end(self):
        """Checks that every answered command was kept, once."""
        self.check()
        assert len({p for _, p in self.history}) == len(self.history)
        for index, payload in self.committed.items():
            assert (index, payload) in self.history, (index, payload)
        for node in self.cluster.nodes:
            assert node.machine.applied == self.history

    async def client(self):
        while True:
            await trio.sleep(self.rng.uniform(0, 0.3))
            nodes = self.cluster.running()
            if nodes:
                await self.ask(self.rng.choice(nodes))

    async def ask(self, node):
        timeout_s = self.rng.uniform(0.1, 3)
        if self.rng.random() < 0.2:
            await self.read(node, timeout_s)
            return
        payload = b"%d" % next(self.numbers)
        try:
            index = await node.replica.propose(payload, timeout_s)
            self.committed[index] = payload
        except consensus.NoQuorumError as error:
            if not error.appended:
                self.refused.add(payload)
        except consensus.ConsensusError:
            self.refused.add(payload)

    async def read(self, node, timeout_s):
        known = max(self.committed, default=0)
        machine = node.machine
        try:
            assert await node.replica.read_index(timeout_s) >= known
            assert not known or machine.applied[-1][0] >= known
        except consensus.ConsensusError:
            return

    def whole(self):
        """Whether every disk is that of a voter of a committed set."""
        leader = self.cluster.leader()
        if leader is None:
            return False
        status = leader.replica.status()
        identities = {n.disk.stored.identity for n in self.cluster.nodes}
        return (
            {i.replica_id for i in identities if i}
            == {m.replica_id for m in status.replicas.members if m.voter}
            and None not in identities
            and len(status.replicas.members) == len(self.cluster.nodes)
            and status.commit_index >= leader.replica.state.log.replicas_index
        )

    async def step(self):
        cluster, rng = self.cluster, self.rng
        node, other = rng.sample(cluster.nodes, 2)
        fault = rng.choice(
            [
                "crash",
                "crash",
                "restart",
                "restart",
                "wipe",
                "cut",
                "one_way",
                "heal",
                "heal",
                "delay",
                "disk",
                "pause",
            ]
        )
        self.trace.append((round(trio.current_time(), 3), fault, node.name))
        if fault == "crash":
            await cluster.crash(node)
        elif fault == "blackout":
            await cluster.crash(*cluster.nodes)
            await cluster.start()
        elif fault == "restart" and node.scope is None:
            await cluster.start(node)
        elif fault == "wipe" and self.whole():
            await cluster.crash(node, lose_disk=True)
            if rng.random() < 0.7:
                await cluster.start(node)
        elif fault == "cut":
            cluster.cut(node)
        elif fault == "one_way":
            cluster.cut_one_way(node, other)
        elif fault == "heal":
            cluster.heal()
        elif fault == "delay":
            pair = (node.address, other.address)
            cluster.extra_delay[pair] = rng.uniform(0, 3)
        elif fault == "disk":
            node.disk.failing = True
            await trio.sleep(1)
            node.disk.failing = False
        await trio.sleep(rng.uniform(0, MAX_PAUSE_S) * rng.random())

    async def run(self):
        await self.cluster.form()
        async with trio.open_nursery() as clients:
            for _ in range(self.clients):
                clients.start_soon(self.client)
            for _ in range(STEPS):
                await self.step()
                self.check()
            clients.cancel_scope.cancel()
        await self.settle()
        self.check_end()

    async def settle(self):
        """Ends all faults and waits until all replicas agree."""
        cluster = self.cluster
        cluster.heal()
        for node in cluster.nodes:
            node.disk.failing = False
            if node.scope is None:
                await cluster.start(node)
        with trio.fail_after(SETTLE_S):
            last = await self.propose_last()
            await cluster.wait_for(self.whole, SETTLE_S)
            await cluster.wait_for(
                lambda: all(
                    [payload for _, payload in node.machine.applied][-1:]
                    == [last]
                    for node in cluster.nodes
                )
            )

    async def propose_last(self):
        """Proposes until accepted, each time another command."""
        for attempt in itertools.count():
            payload = b"last %d" % attempt
            leader = self.cluster.leader()
            try:
                if leader is not None:
                    await leader.replica.propose(payload, 3)
                    return payload
            except consensus.ConsensusError:
                pass
            await trio.sleep(0.1)
        raise AssertionError


@pytest.mark.parametrize("seed", range(FIRST, LAST))
async def test_random_faults(make_cluster, autojump_clock, nursery, seed):
    clients, max_sync_s = LOADS[seed % len(LOADS)]
    cluster = make_cluster(
        nursery,
        seed,
        count=5 if seed % 4 == 3 else 3,
        max_sync_s=max_sync_s,
        snapshot_entries=25,
        trailing_entries=5,
        snapshot_chunk_bytes=200,
    )
    schedule = Schedule(cluster, clients)
    try:
        await schedule.run()
    except BaseException:
        print("seed", seed, *schedule.trace, sep="\n")
        for node in schedule.cluster.nodes:
            print(node.name, node.error, node.replica.status())
        raise
    nursery.cancel_scope.cancel()
