"""`ports.LogStore` on the files of a folder."""

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
# A vote, an append and a snapshot can be written concurrently.
MAX_THREADS = 3


class DataFolder:
    """Stores a replica in files `identity`, `vote`, `snapshot-N` and `log-N`.

    Calls run in worker threads. Writes of votes, entries and snapshots exclude
    only writes of the same kind, so that a large snapshot delays no commit.

    Args:
        folder: The data folder; created if it does not exist.
        codec: Encodes identity and snapshots.
        sync: Makes the data written to a file descriptor durable.

    Attributes:
        failure: Message of the first failure, with which every later call
            fails; None before a failure.
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
        self.limiter = trio.CapacityLimiter(MAX_THREADS)
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
        return await self._run_in_thread(self._load)

    async def save_identity(self, identity: model.ReplicaIdentity) -> None:
        """Stores the identity; see `ports.LogStore`."""
        payload = self.codec.encode(identity)
        path = self.folder / "identity"
        async with self.vote_lock:
            await self._run_in_thread(
                _records.replace_file, path, payload, self.sync
            )

    async def save_vote(self, term: int, voted_for: str | None) -> None:
        """Stores term and vote; see `ports.LogStore`."""
        payload = msgpack.packb((term, voted_for))
        path = self.folder / "vote"
        async with self.vote_lock:
            await self._run_in_thread(
                _records.replace_file, path, payload, self.sync
            )

    async def append(self, entries: Sequence[model.LogEntry]) -> None:
        """Appends entries; see `ports.LogStore`."""
        async with self.log_lock:
            await self._run_in_thread(self.segments.append, entries)

    async def truncate_from(self, index: int) -> None:
        """Removes the entries from an index on; see `ports.LogStore`."""
        async with self.log_lock:
            await self._run_in_thread(self.segments.truncate_from, index)

    async def save_snapshot(self, snapshot: model.Snapshot) -> None:
        """Stores a snapshot unless it is outdated; see `ports.LogStore`."""
        async with self.snapshot_lock:
            if snapshot.index <= self.snapshot_index:
                return
            await self._run_in_thread(self._write_snapshot, snapshot)
            self.snapshot_index = snapshot.index
            async with self.log_lock:
                await self._run_in_thread(
                    self.segments.remove_through, snapshot.index
                )

    def close(self) -> None:
        """Closes the files and lets another process use the folder."""
        self.segments.close()
        if self.lock_file is not None:
            self.lock_file.close()

    async def _run_in_thread(
        self, function: Callable[..., T], *arguments: object
    ) -> T:
        """Runs a blocking function in a thread and records its failure."""
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
        self._lock_folder()
        _records.sync_folder(self.folder.parent, self.sync)
        for leftover in self.folder.glob("*.tmp"):
            leftover.unlink()
        identity = self._read_object("identity", model.ReplicaIdentity)
        vote_payload = _records.read_single_record(self.folder / "vote")
        term, voted_for = (
            msgpack.unpackb(vote_payload) if vote_payload else (0, None)
        )
        snapshot = self._load_snapshot()
        self.snapshot_index = snapshot.index if snapshot else 0
        entries = self.segments.load(self.snapshot_index)
        # The previous process may have ended between a rename and its sync.
        _records.sync_folder(self.folder, self.sync)
        return ports.StoredLog(identity, term, voted_for, snapshot, entries)

    def _lock_folder(self) -> None:
        """Locks the folder against other processes, which could vote again."""
        self.lock_file = (self.folder / "lock").open("wb")
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise ports.DiskError(
                ports.DISK_FAILED,
                f"another process uses {self.folder}",
            ) from error

    def _snapshot_paths(self) -> Iterator[pathlib.Path]:
        return self.folder.glob(f"{SNAPSHOT_PREFIX}*")

    def _load_snapshot(self) -> model.Snapshot | None:
        """Reads the newest snapshot; removes older ones, left by a crash."""
        newest = max(self._snapshot_paths(), default=None)
        if newest is None:
            return None
        self._remove_snapshots(keep=newest)
        return self._read_object(newest.name, model.Snapshot)

    def _write_snapshot(self, snapshot: model.Snapshot) -> None:
        name = f"{SNAPSHOT_PREFIX}{snapshot.index:0{INDEX_DIGITS}}"
        path = self.folder / name
        _records.replace_file(path, self.codec.encode(snapshot), self.sync)
        self._remove_snapshots(keep=path)

    def _remove_snapshots(self, keep: pathlib.Path) -> None:
        for path in self._snapshot_paths():
            if path != keep:
                path.unlink()

    def _read_object(self, name: str, expected_type: type[T]) -> T | None:
        """Returns the object that a file contains; None if there is no file.

        Raises:
            DiskError: The content is damaged or of another type.
        """
        payload = _records.read_single_record(self.folder / name)
        if payload is None:
            return None
        try:
            decoded = self.codec.decode(payload)
        except errors.GuavapulleyError as error:
            raise ports.DiskError(
                ports.LOG_CORRUPT, f"{name}: {error.message}"
            ) from error
        if not isinstance(decoded, expected_type):
            raise ports.DiskError(
                ports.LOG_CORRUPT,
                f"{name} does not contain {expected_type.__name__}",
            )
        return decoded
