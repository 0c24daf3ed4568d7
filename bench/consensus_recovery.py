"""Measures disk use, load time and catch-up time by the number of changes.

One replica with a data folder on disk commits the changes. The folder is then
loaded again, and a second replica with an empty folder joins and catches up
over an in-memory network. Run `.venv/bin/python bench/consensus_recovery.py`.
"""

from collections.abc import Iterator
import pathlib
import random
import sys
import tempfile

import attrs
import msgpack
import trio

from guavapulley import consensus
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters import codec
from guavapulley.adapters import disk
from guavapulley.adapters import memory

CHANGE_COUNTS = (1_000, 10_000, 50_000)
# Approximate size of an encoded change with one intent.
PAYLOAD_BYTES = 300
# Number of concurrent proposals; they share the syncs of the disk.
CONCURRENCY = 256
TIMEOUT_S = 60.0
NO_SNAPSHOTS = consensus.ConsensusSettings(
    snapshot_entries=10**9, snapshot_bytes=10**12
)
CODEC = codec.MessageCodec()
LEADER = model.NodeAddress("memory", 1)
JOINER = model.NodeAddress("memory", 2)


class RecordingStateMachine:
    """State machine that stores every change: the worst case for its size."""

    def __init__(self) -> None:
        self.records: dict[int, bytes] = {}

    def apply(self, index: int, payload: bytes) -> object:
        """Stores a change; returns its index."""
        self.records[index] = payload
        return index

    def snapshot(self) -> bytes:
        """Returns all records."""
        packed: bytes = msgpack.packb(self.records)
        return packed

    def restore(self, state: bytes) -> None:
        """Replaces all records."""
        self.records = msgpack.unpackb(state, strict_map_key=False)


@attrs.frozen
class Result:
    """One row of the table.

    Attributes:
        changes: Number of changes.
        write_s: Time to commit them, in seconds.
        disk_bytes: Size of the data folder.
        load_s: Time to load the folder and apply all changes again, in seconds.
        catch_up_s: Time from the start of an empty replica until it has joined
            and applied all changes, in seconds.
    """

    changes: int
    write_s: float
    disk_bytes: int
    load_s: float
    catch_up_s: float


@attrs.define
class ReplicaNode:
    """A replica with its data folder."""

    address: model.NodeAddress
    folder: disk.DataFolder
    state_machine: RecordingStateMachine
    replica: consensus.Replica

    async def run(
        self,
        network: memory.MemoryNetwork,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs the replica and serves calls of its peer."""
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.replica.run)
                await nursery.start(network.serve, self.address, self.replica)
                task_status.started()
        finally:
            self.folder.close()


def create_node(
    address: model.NodeAddress,
    path: pathlib.Path,
    network: memory.MemoryNetwork,
    settings: consensus.ConsensusSettings,
) -> ReplicaNode:
    """Returns a node whose replica does not run yet."""
    folder = disk.DataFolder(path, CODEC)
    state_machine = RecordingStateMachine()
    replica = consensus.Replica(
        f"c{address.port}",
        address,
        (LEADER, JOINER),
        folder,
        network.dialer(address),
        CODEC,
        state_machine,
        ports.NullEventLog(),
        ports.NullMetrics(),
        random.Random(address.port),
        settings,
    )
    return ReplicaNode(address, folder, state_machine, replica)


async def write_changes(replica: consensus.Replica, changes: int) -> None:
    """Commits changes concurrently."""
    limit = trio.CapacityLimiter(CONCURRENCY)

    async def propose(number: int) -> None:
        async with limit:
            payload = number.to_bytes(8, "big").ljust(PAYLOAD_BYTES, b".")
            await replica.propose(payload, TIMEOUT_S)

    async with trio.open_nursery() as nursery:
        for number in range(changes):
            nursery.start_soon(propose, number)
            await trio.lowlevel.checkpoint()


async def wait_for_leader(replica: consensus.Replica) -> None:
    """Waits until a replica leads and has committed in its term."""
    with trio.fail_after(TIMEOUT_S):
        while not replica.leadership().is_leader:  # noqa: ASYNC110
            await trio.sleep(0.01)
        await replica.read_index(TIMEOUT_S)


async def measure(
    path: pathlib.Path, changes: int, settings: consensus.ConsensusSettings
) -> Result:
    """Returns the row for a number of changes."""
    network = memory.MemoryNetwork(lambda source, target: 0.0)
    async with trio.open_nursery() as nursery:
        await nursery.start(network.run)
        writer = create_node(LEADER, path / "c1", network, settings)
        write_s = await run_writer(writer, network, changes)
        data_folder = trio.Path(path / "c1")
        file_sizes = [
            (await file.stat()).st_size for file in await data_folder.iterdir()
        ]
        load_s = await measure_load_s(path / "c1")
        leader = create_node(LEADER, path / "c1", network, settings)
        await nursery.start(leader.run, network)
        await wait_for_leader(leader.replica)
        joiner = create_node(JOINER, path / "c2", network, settings)
        started_at_s = trio.current_time()
        await nursery.start(joiner.run, network)
        while len(joiner.state_machine.records) < changes:
            await joiner.replica.wait_applied(
                joiner.replica.status().applied_index + 1
            )
        catch_up_s = trio.current_time() - started_at_s
        nursery.cancel_scope.cancel()
    return Result(changes, write_s, sum(file_sizes), load_s, catch_up_s)


async def run_writer(
    node: ReplicaNode, network: memory.MemoryNetwork, changes: int
) -> float:
    """Creates a cluster and commits changes; returns the time in seconds."""
    async with trio.open_nursery() as nursery:
        await nursery.start(node.run, network)
        await node.replica.create_cluster(peers_may_be_down=True)
        await wait_for_leader(node.replica)
        started_at_s = trio.current_time()
        await write_changes(node.replica, changes)
        write_s = trio.current_time() - started_at_s
        nursery.cancel_scope.cancel()
    return write_s


async def measure_load_s(path: pathlib.Path) -> float:
    """Returns the time to load a folder and apply its content, in seconds.

    A replica applies the log entries after its snapshot only after the next
    election. The election timeout is not included here.
    """
    folder, state_machine = (
        disk.DataFolder(path, CODEC),
        RecordingStateMachine(),
    )
    started_at_s = trio.current_time()
    stored = await folder.load()
    if stored.snapshot is not None:
        state_machine.restore(stored.snapshot.state)
    for entry in stored.entries:
        if entry.kind is model.EntryKind.COMMAND:
            state_machine.apply(entry.index, entry.payload)
    folder.close()
    return trio.current_time() - started_at_s


def format_rows(results: list[Result]) -> Iterator[str]:
    """Yields the lines of a table.

    The last columns are the costs per change that a row has more than the row
    before it.
    """
    yield (
        "| changes | write s | disk MB | load s | catch-up s"
        " | disk B/change | load us/change | catch-up us/change |"
    )
    yield "| ---: " * 8 + "|"
    previous = Result(0, 0, 0, 0, 0)
    for row in results:
        added = row.changes - previous.changes
        yield (
            f"| {row.changes} | {row.write_s:.2f}"
            f" | {row.disk_bytes / 1e6:.2f} | {row.load_s:.3f}"
            f" | {row.catch_up_s:.3f}"
            f" | {(row.disk_bytes - previous.disk_bytes) / added:.0f}"
            f" | {(row.load_s - previous.load_s) / added * 1e6:.1f}"
            f" | {(row.catch_up_s - previous.catch_up_s) / added * 1e6:.1f} |"
        )
        previous = row


async def main(change_counts: tuple[int, ...]) -> None:
    """Prints a table with default snapshots and one without snapshots."""
    for title, settings in (
        ("default snapshots", consensus.ConsensusSettings()),
        ("no snapshots", NO_SNAPSHOTS),
    ):
        results = []
        for change_count in change_counts:
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder)
                results.append(await measure(path, change_count, settings))
        print(f"{title}, {PAYLOAD_BYTES} bytes a change")
        print(*format_rows(results), "", sep="\n")


if __name__ == "__main__":
    trio.run(main, tuple(map(int, sys.argv[1:])) or CHANGE_COUNTS)
