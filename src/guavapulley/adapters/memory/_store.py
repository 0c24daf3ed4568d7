"""In-memory log store that loses unsynced entries in a crash."""

from collections.abc import Sequence
import random

import attrs
import trio

from guavapulley import model
from guavapulley import ports


@attrs.define
class MemoryDisk:
    """Simulated disk, whose content survives a crash of the process.

    Attributes:
        stored: Synced content.
        failing: Whether syncs fail.
    """

    stored: ports.StoredLog = attrs.field(factory=ports.StoredLog)
    failing: bool = False


class MemoryStore:
    """`ports.LogStore` on a simulated disk; cancelling a call is a crash.

    Args:
        disk: The disk, which can be used by later stores.
        rng: Determines how many entries of an unsynced append survive a crash,
            and the duration of each sync.
        max_sync_s: Maximum duration of a sync in seconds.
    """

    def __init__(
        self, disk: MemoryDisk, rng: random.Random, max_sync_s: float = 0.002
    ) -> None:
        self.disk = disk
        self.rng = rng
        self.max_sync_s = max_sync_s
        self.log_lock = trio.Lock()

    async def load(self) -> ports.StoredLog:
        """See `ports.LogStore`."""
        await trio.lowlevel.checkpoint()
        return self.disk.stored

    async def save_identity(self, identity: model.ReplicaIdentity) -> None:
        """See `ports.LogStore`."""
        await self._sync()
        self.disk.stored = attrs.evolve(self.disk.stored, identity=identity)

    async def save_vote(self, term: int, voted_for: str | None) -> None:
        """See `ports.LogStore`."""
        await self._sync()
        self.disk.stored = attrs.evolve(
            self.disk.stored, term=term, voted_for=voted_for
        )

    async def append(self, entries: Sequence[model.LogEntry]) -> None:
        """See `ports.LogStore`."""
        async with self.log_lock:
            try:
                await self._sync()
            except trio.Cancelled:
                self._append(entries[: self.rng.randint(0, len(entries))])
                raise
            self._append(entries)

    def _append(self, entries: Sequence[model.LogEntry]) -> None:
        stored = self.disk.stored
        last_index = stored.snapshot.index if stored.snapshot else 0
        last_index = stored.entries[-1].index if stored.entries else last_index
        if entries and entries[0].index != last_index + 1:
            raise AssertionError(
                f"{entries[0].index} does not follow {last_index}"
            )
        self.disk.stored = attrs.evolve(
            self.disk.stored, entries=(*stored.entries, *entries)
        )

    async def truncate_from(self, index: int) -> None:
        """See `ports.LogStore`."""
        async with self.log_lock:
            await self._sync()
            remaining = (
                entry
                for entry in self.disk.stored.entries
                if entry.index < index
            )
            self.disk.stored = attrs.evolve(
                self.disk.stored, entries=tuple(remaining)
            )

    async def save_snapshot(self, snapshot: model.Snapshot) -> None:
        """See `ports.LogStore`."""
        await self._sync()
        async with self.log_lock:
            stored = self.disk.stored
            if stored.snapshot and stored.snapshot.index >= snapshot.index:
                return
            remaining = (
                entry
                for entry in stored.entries
                if entry.index > snapshot.index
            )
            self.disk.stored = attrs.evolve(
                self.disk.stored, snapshot=snapshot, entries=tuple(remaining)
            )

    async def _sync(self) -> None:
        await trio.sleep(self.rng.uniform(0, self.max_sync_s))
        if self.disk.failing:
            raise ports.DiskError(ports.DISK_FAILED, "the sync failed")
