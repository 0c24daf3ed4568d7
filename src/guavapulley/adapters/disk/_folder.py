"""`ports.LogStore` over a folder."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import fcntl
import os
import pathlib
import typing
from typing import TypeVar

import msgpack
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.disk import _records
from guavapulley.adapters.disk import _segments

T = TypeVar("T")

SNAPSHOT_PREFIX = "snapshot-"
INDEX_DIGITS = 20
# A vote, an append and a snapshot can be written at the same time.
THREADS = 3


class DataFolder:
    """Files `identity`, `vote`, `snapshot-N` and `log-N` of one replica.

    Calls run in threads. Votes, appends and snapshots exclude only calls of
    their own kind, so that a long snapshot delays no commit.

    Args:
        folder: The data folder; created if it does not exist.
        codec: Encodes identity and snapshots.
        sync: Makes a file descriptor durable.

    Attributes:
        failure: First failure; every later call fails with it.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        codec: ports.Codec,
        sync: _records.Sync = os.fsync,
    ) -> None:
        self.folder = folder
        self.codec = codec
        self.sync = sync
        self.segments = _segments.Segments(folder, sync)
        self.limiter = trio.CapacityLimiter(THREADS)
        self.log_lock = trio.Lock()
        self.vote_lock = trio.Lock()
        self.snapshot_lock = trio.Lock()
        self.snapshot_index = 0
        self.failure: str | None = None
        self.lock_file: typing.BinaryIO | None = None

    async def load(self) -> ports.StoredLog:
        """Reads the folder; see `ports.LogStore`.

        Raises:
            DiskError: The folder cannot be read or another process uses it
                (`DISK_FAILED`), or a record is damaged (`LOG_CORRUPT`).
        """
        return await self._run(self._load)

    async def save_identity(self, identity: model.ReplicaIdentity) -> None:
        """Stores the identity; see `ports.LogStore`."""
        payload = self.codec.encode(identity)
        path = self.folder / "identity"
        async with self.vote_lock:
            await self._run(_records.replace, path, payload, self.sync)

    async def save_vote(self, term: int, voted_for: str | None) -> None:
        """Stores term and vote; see `ports.LogStore`."""
        payload = msgpack.packb((term, voted_for))
        path = self.folder / "vote"
        async with self.vote_lock:
            await self._run(_records.replace, path, payload, self.sync)

    async def append(self, entries: Sequence[model.LogEntry]) -> None:
        """Appends entries; see `ports.LogStore`."""
        async with self.log_lock:
            await self._run(self.segments.append, entries)

    async def truncate_from(self, index: int) -> None:
        """Removes the entries from an index on; see `ports.LogStore`."""
        async with self.log_lock:
            await self._run(self.segments.truncate_from, index)

    async def save_snapshot(self, snapshot: model.Snapshot) -> None:
        """Stores a snapshot unless a newer one is; see `ports.LogStore`."""
        async with self.snapshot_lock:
            if snapshot.index <= self.snapshot_index:
                return
            await self._run(self._write_snapshot, snapshot)
            self.snapshot_index = snapshot.index
            async with self.log_lock:
                await self._run(self.segments.drop_through, snapshot.index)

    def close(self) -> None:
        """Closes the files and lets another process use the folder."""
        self.segments.close()
        if self.lock_file is not None:
            self.lock_file.close()

    async def _run(self, function: Callable[..., T], *arguments: object) -> T:
        """Runs a blocking function in a thread and notes its failure."""
        if self.failure is not None:
            raise ports.DiskError(ports.DISK_FAILED, self.failure)
        try:
            return await trio.to_thread.run_sync(
                lambda: function(*arguments), limiter=self.limiter
            )
        except OSError as error:
            self.failure = f"{self.folder}: {error}"
            raise ports.DiskError(ports.DISK_FAILED, self.failure) from error
        except ports.DiskError as error:
            self.failure = error.message
            raise

    def _load(self) -> ports.StoredLog:
        self.folder.mkdir(parents=True, exist_ok=True)
        self._lock()
        _records.sync_folder(self.folder.parent, self.sync)
        for leftover in self.folder.glob("*.tmp"):
            leftover.unlink()
        identity = self._read("identity", model.ReplicaIdentity)
        vote = _records.read_one(self.folder / "vote")
        term, voted_for = msgpack.unpackb(vote) if vote else (0, None)
        snapshot = self._load_snapshot()
        self.snapshot_index = snapshot.index if snapshot else 0
        entries = self.segments.load(self.snapshot_index)
        # The last process may have ended between a rename and its sync.
        _records.sync_folder(self.folder, self.sync)
        return ports.StoredLog(identity, term, voted_for, snapshot, entries)

    def _lock(self) -> None:
        """Excludes other processes, which could vote a second time."""
        self.lock_file = (self.folder / "lock").open("wb")
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise ports.DiskError(
                ports.DISK_FAILED,
                f"another process uses {self.folder}",
            ) from error

    def _snapshots(self) -> Iterator[pathlib.Path]:
        return self.folder.glob(f"{SNAPSHOT_PREFIX}*")

    def _load_snapshot(self) -> model.Snapshot | None:
        """Reads the newest snapshot; older ones remain only after a crash."""
        newest = max(self._snapshots(), default=None)
        if newest is None:
            return None
        self._remove_snapshots(keep=newest)
        return self._read(newest.name, model.Snapshot)

    def _write_snapshot(self, snapshot: model.Snapshot) -> None:
        name = f"{SNAPSHOT_PREFIX}{snapshot.index:0{INDEX_DIGITS}}"
        path = self.folder / name
        _records.replace(path, self.codec.encode(snapshot), self.sync)
        self._remove_snapshots(keep=path)

    def _remove_snapshots(self, keep: pathlib.Path) -> None:
        for path in self._snapshots():
            if path != keep:
                path.unlink()

    def _read(self, name: str, kind: type[T]) -> T | None:
        """Reads a file with one encoded object.

        Raises:
            DiskError: The content is damaged.
        """
        payload = _records.read_one(self.folder / name)
        if payload is None:
            return None
        try:
            item = self.codec.decode(payload)
        except errors.GuavapulleyError as error:
            raise ports.DiskError(
                ports.LOG_CORRUPT, f"{name}: {error.message}"
            ) from error
        if not isinstance(item, kind):
            raise ports.DiskError(
                ports.LOG_CORRUPT, f"{name} holds no {kind.__name__}"
            )
        return item
