"""Guards against lost or reordered commands under random fault schedules.

Set `SCHEDULE_SEEDS=first:last` to run other seeds than the default ones; `last`
is excluded.
"""

import collections
import itertools
import os

import pytest
import trio

from guavapulley import consensus

FIRST_SEED, LAST_SEED = map(
    int, os.environ.get("SCHEDULE_SEEDS", "0:24").split(":")
)
STEPS = 40
MAX_PAUSE_S = 3.0
# Pairs of the number of clients and the longest sync in seconds, used in turn.
# Slow syncs under load leave many entries unsynced at a crash.
WORKLOADS = [(3, 0.002), (12, 0.1), (2, 0.5)]
# A fault that is listed twice is twice as frequent.
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
SETTLE_TIMEOUT_S = 40.0


class FaultSchedule:
    """Runs clients and random faults, and checks the applied commands."""

    def __init__(self, cluster, clients):
        self.clients = clients
        self.cluster = cluster
        self.rng = cluster.rng
        self.payload_numbers = itertools.count()
        self.committed = {}
        self.rejected = set()
        self.history = []
        self.trace = []

    def check_histories(self):
        """Checks the running nodes against the history of applied commands.

        Also checks that no term had two leaders and that no rejected command
        was applied.
        """
        for node in self.cluster.running():
            applied = node.state_machine.applied
            shared = min(len(applied), len(self.history))
            assert applied[:shared] == self.history[:shared], node.name
            self.history.extend(applied[shared:])
        leaders = collections.defaultdict(set)
        for name, event, fields in self.cluster.events:
            if event == "replica:leader_elected":
                leaders[fields["term"]].add(name)
        assert all(len(names) == 1 for names in leaders.values()), leaders
        self.cluster.events.clear()
        applied_payloads = {payload for _, payload in self.history}
        assert not applied_payloads & self.rejected

    def check_final_state(self):
        """Checks that every acknowledged command was applied, exactly once."""
        self.check_histories()
        assert len({p for _, p in self.history}) == len(self.history)
        for index, payload in self.committed.items():
            assert (index, payload) in self.history, (index, payload)
        for node in self.cluster.nodes:
            assert node.state_machine.applied == self.history

    async def run_client(self):
        while True:
            await trio.sleep(self.rng.uniform(0, 0.3))
            nodes = self.cluster.running()
            if nodes:
                await self.send_request(self.rng.choice(nodes))

    async def send_request(self, node):
        timeout_s = self.rng.uniform(0.1, 3)
        if self.rng.random() < 0.2:
            await self.read(node, timeout_s)
            return
        payload = b"%d" % next(self.payload_numbers)
        try:
            index = await node.replica.propose(payload, timeout_s)
            self.committed[index] = payload
        except consensus.NoQuorumError as error:
            if not error.appended:
                self.rejected.add(payload)
        except consensus.ConsensusError:
            self.rejected.add(payload)

    async def read(self, node, timeout_s):
        committed_index = max(self.committed, default=0)
        state_machine = node.state_machine
        try:
            assert await node.replica.read_index(timeout_s) >= committed_index
            assert (
                not committed_index
                or state_machine.applied[-1][0] >= committed_index
            )
        except consensus.ConsensusError:
            return

    def is_fully_replicated(self):
        """Returns whether every disk belongs to a voter of a committed set."""
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

    async def inject_fault(self):
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
        elif fault == "wipe" and self.is_fully_replicated():
            await cluster.crash(node, lose_disk=True)
            if rng.random() < 0.7:
                await cluster.start(node)
        elif fault == "cut":
            cluster.isolate(node)
        elif fault == "one_way":
            cluster.cut_one_way(node, other)
        elif fault == "heal":
            cluster.remove_network_faults()
        elif fault == "delay":
            pair = (node.address, other.address)
            cluster.extra_delay[pair] = rng.uniform(0, 3)
        elif fault == "disk":
            node.disk.failing = True
            await trio.sleep(1)
            node.disk.failing = False
        await trio.sleep(rng.uniform(0, MAX_PAUSE_S) * rng.random())

    async def run(self):
        await self.cluster.form_cluster()
        async with trio.open_nursery() as clients:
            for _ in range(self.clients):
                clients.start_soon(self.run_client)
            for _ in range(STEPS):
                await self.inject_fault()
                self.check_histories()
            clients.cancel_scope.cancel()
        await self.settle()
        self.check_final_state()

    async def settle(self):
        """Removes all faults and waits until all replicas agree."""
        cluster = self.cluster
        cluster.remove_network_faults()
        for node in cluster.nodes:
            node.disk.failing = False
            if node.scope is None:
                await cluster.start(node)
        with trio.fail_after(SETTLE_TIMEOUT_S):
            final_payload = await self.propose_final_command()
            await cluster.wait_for(self.is_fully_replicated, SETTLE_TIMEOUT_S)
            await cluster.wait_for(
                lambda: all(
                    [payload for _, payload in node.state_machine.applied][-1:]
                    == [final_payload]
                    for node in cluster.nodes
                )
            )

    async def propose_final_command(self):
        """Proposes a new command in each attempt until one is committed."""
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


@pytest.mark.parametrize("seed", range(FIRST_SEED, LAST_SEED))
async def test_random_faults_lose_and_reorder_no_command(
    make_cluster, autojump_clock, nursery, seed
):
    clients, max_sync_s = WORKLOADS[seed % len(WORKLOADS)]
    cluster = make_cluster(
        nursery,
        seed,
        count=5 if seed % 4 == 3 else 3,
        max_sync_s=max_sync_s,
        snapshot_entries=25,
        trailing_entries=5,
        snapshot_chunk_bytes=200,
    )
    schedule = FaultSchedule(cluster, clients)
    try:
        await schedule.run()
    except BaseException:
        print("seed", seed, *schedule.trace, sep="\n")
        for node in schedule.cluster.nodes:
            print(node.name, node.error, node.replica.status())
        raise
    nursery.cancel_scope.cancel()
