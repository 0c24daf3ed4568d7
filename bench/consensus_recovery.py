"""Measures disk, load and catch-up of the log by the number of changes.

One replica with a real data folder writes the changes; the folder is then
loaded again, and a second replica with an empty folder joins and catches up
over calls in memory. Run `.venv/bin/python bench/consensus_recovery.py`.
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

SIZES = (1_000, 10_000, 50_000)
# About an encoded change with one intent.
PAYLOAD_BYTES = 300
# Commands that wait at the same time, so that syncs are shared.
CONCURRENCY = 256
TIMEOUT_S = 60.0
NO_SNAPSHOTS = consensus.ConsensusSettings(
    snapshot_entries=10**9, snapshot_bytes=10**12
)
CODEC = codec.MessageCodec()
LEADER = model.NodeAddress("memory", 1)
JOINER = model.NodeAddress("memory", 2)


class Records:
    """State machine that keeps a record of every change, the worst case."""

    def __init__(self) -> None:
        self.records: dict[int, bytes] = {}

    def apply(self, index: int, payload: bytes) -> object:
        """Keeps a change."""
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
        write_s: Time to commit them.
        disk_bytes: Size of the data folder.
        load_s: Time to load the folder and apply all changes again.
        catch_up_s: Time from the start of an empty replica until it has
            applied all changes, its admission included.
    """

    changes: int
    write_s: float
    disk_bytes: int
    load_s: float
    catch_up_s: float


@attrs.define
class Process:
    """A replica with its data folder."""

    address: model.NodeAddress
    folder: disk.DataFolder
    machine: Records
    replica: consensus.Replica

    async def run(
        self,
        network: memory.MemoryNetwork,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs the replica and serves its peer."""
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.replica.run)
                await nursery.start(network.serve, self.address, self.replica)
                task_status.started()
        finally:
            self.folder.close()


def make_process(
    address: model.NodeAddress,
    path: pathlib.Path,
    network: memory.MemoryNetwork,
    settings: consensus.ConsensusSettings,
) -> Process:
    """Returns a replica that is not yet running."""
    folder = disk.DataFolder(path, CODEC)
    machine = Records()
    replica = consensus.Replica(
        f"c{address.port}",
        address,
        (LEADER, JOINER),
        folder,
        network.dialer(address),
        CODEC,
        machine,
        ports.NullEventLog(),
        ports.NullMetrics(),
        random.Random(address.port),
        settings,
    )
    return Process(address, folder, machine, replica)


async def write_changes(replica: consensus.Replica, changes: int) -> None:
    """Commits changes, many at a time."""
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
        writer = make_process(LEADER, path / "c1", network, settings)
        write_s = await run_writer(writer, network, changes)
        files = trio.Path(path / "c1")
        sizes = [(await file.stat()).st_size for file in await files.iterdir()]
        loading_s = await load_s(path / "c1")
        leader = make_process(LEADER, path / "c1", network, settings)
        await nursery.start(leader.run, network)
        await wait_for_leader(leader.replica)
        joiner = make_process(JOINER, path / "c2", network, settings)
        started_s = trio.current_time()
        await nursery.start(joiner.run, network)
        while len(joiner.machine.records) < changes:
            await joiner.replica.wait_applied(
                joiner.replica.status().applied_index + 1
            )
        catch_up_s = trio.current_time() - started_s
        nursery.cancel_scope.cancel()
    return Result(changes, write_s, sum(sizes), loading_s, catch_up_s)


async def run_writer(
    process: Process, network: memory.MemoryNetwork, changes: int
) -> float:
    """Creates a cluster, commits changes and returns the time for them."""
    async with trio.open_nursery() as nursery:
        await nursery.start(process.run, network)
        await process.replica.create_cluster(peers_may_be_down=True)
        await wait_for_leader(process.replica)
        started_s = trio.current_time()
        await write_changes(process.replica, changes)
        write_s = trio.current_time() - started_s
        nursery.cancel_scope.cancel()
    return write_s


async def load_s(path: pathlib.Path) -> float:
    """Returns the time to load a folder and to apply what it holds.

    A replica applies the entries behind its snapshot after the next election,
    whose timeout is left out here.
    """
    folder, machine = disk.DataFolder(path, CODEC), Records()
    started_s = trio.current_time()
    stored = await folder.load()
    if stored.snapshot is not None:
        machine.restore(stored.snapshot.state)
    for entry in stored.entries:
        if entry.kind is model.EntryKind.COMMAND:
            machine.apply(entry.index, entry.payload)
    folder.close()
    return trio.current_time() - started_s


def rows(results: list[Result]) -> Iterator[str]:
    """Yields the lines of a table with slopes to the row before."""
    yield (
        "| changes | write s | disk MB | load s | catch-up s"
        " | disk B/change | load us/change | catch-up us/change |"
    )
    yield "| ---: " * 8 + "|"
    before = Result(0, 0, 0, 0, 0)
    for row in results:
        more = row.changes - before.changes
        yield (
            f"| {row.changes} | {row.write_s:.2f}"
            f" | {row.disk_bytes / 1e6:.2f} | {row.load_s:.3f}"
            f" | {row.catch_up_s:.3f}"
            f" | {(row.disk_bytes - before.disk_bytes) / more:.0f}"
            f" | {(row.load_s - before.load_s) / more * 1e6:.1f}"
            f" | {(row.catch_up_s - before.catch_up_s) / more * 1e6:.1f} |"
        )
        before = row


async def main(sizes: tuple[int, ...]) -> None:
    """Prints one table with and one without snapshots."""
    for title, settings in (
        ("default snapshots", consensus.ConsensusSettings()),
        ("no snapshots", NO_SNAPSHOTS),
    ):
        results = []
        for size in sizes:
            with tempfile.TemporaryDirectory() as temporary:
                path = pathlib.Path(temporary)
                results.append(await measure(path, size, settings))
        print(f"{title}, {PAYLOAD_BYTES} bytes a change")
        print(*rows(results), "", sep="\n")


if __name__ == "__main__":
    trio.run(main, tuple(map(int, sys.argv[1:])) or SIZES)
