"""Writes changes of the log to the store, in order and in groups."""

import collections
from collections.abc import Sequence
import math

import attrs

from guavapulley import model
from guavapulley import ports
from guavapulley.consensus import _log
from guavapulley.consensus import _signal

# Bounds the latency of the first command in a group, and its record.
MAX_GROUP_ENTRIES = 2048
MAX_GROUP_BYTES = 4 * 1024 * 1024


@attrs.frozen
class _Append:
    entries: tuple[model.LogEntry, ...]
    # Largest index that may count as synced while the operation waits.
    ceiling: float = math.inf

    @property
    def last_index(self) -> int:
        return self.entries[-1].index


@attrs.frozen
class _Truncate:
    index: int

    @property
    def ceiling(self) -> float:
        return self.index - 1

    @property
    def last_index(self) -> int:
        return 0


@attrs.frozen
class _Install:
    snapshot: model.Snapshot
    drop_tail: bool
    ceiling: float

    @property
    def last_index(self) -> int:
        return self.snapshot.index


def _payload_bytes(operation: _Append) -> int:
    return sum(len(entry.payload) for entry in operation.entries)


class Journal:
    """The log in memory with a queue of changes to the store.

    Changes take effect in memory at once; one task writes them in order. All
    commands that arrive during a sync share the next one.

    Attributes:
        log: The log in memory.
        store: Durable log.
        synced_index: Entries up to here are durable and agree with `log`.
        synced: Notified when `synced_index` rises.
    """

    def __init__(self, log: _log.Log, store: ports.LogStore) -> None:
        self.log = log
        self.store = store
        self.synced_index = log.last_index
        self.synced = _signal.Signal()
        self.queued = _signal.Signal()
        self.pending: collections.deque[_Append | _Truncate | _Install] = (
            collections.deque()
        )

    def append(self, entries: Sequence[model.LogEntry]) -> None:
        """Appends entries that follow the last one."""
        self.log.append(entries)
        self._enqueue(_Append(tuple(entries)))

    def truncate_from(self, index: int) -> None:
        """Removes the entries from an index on."""
        self.log.truncate_from(index)
        self._enqueue(_Truncate(index))

    def install(self, snapshot: model.Snapshot, committed: int) -> None:
        """Replaces the log by a snapshot from the leader.

        Args:
            snapshot: The snapshot.
            committed: Commit index before; the log agrees up to there.
        """
        self.log.reset(snapshot)
        drop_tail = self.log.last_index == snapshot.index
        ceiling = committed if drop_tail else math.inf
        self._enqueue(_Install(snapshot, drop_tail, ceiling))

    async def run(self) -> None:
        """Writes changes until cancelled.

        Raises:
            DiskError: The store failed.
        """
        while True:
            await self.queued.wait_until(lambda: bool(self.pending))
            operation = self._take()
            await self._write(operation)
            self._raise_synced(operation.last_index)

    def _enqueue(self, operation: _Append | _Truncate | _Install) -> None:
        self.pending.append(operation)
        if not isinstance(operation, _Append):
            self._raise_synced(0)
        self.queued.notify()

    def _take(self) -> _Append | _Truncate | _Install:
        operation = self.pending.popleft()
        if not isinstance(operation, _Append):
            return operation
        group = list(operation.entries)
        size = _payload_bytes(operation)
        while self.pending and len(group) < MAX_GROUP_ENTRIES:
            following = self.pending[0]
            if not isinstance(following, _Append):
                break
            size += _payload_bytes(following)
            if size > MAX_GROUP_BYTES:
                break
            group.extend(following.entries)
            self.pending.popleft()
        return _Append(tuple(group))

    async def _write(self, operation: _Append | _Truncate | _Install) -> None:
        if isinstance(operation, _Append):
            await self.store.append(operation.entries)
        elif isinstance(operation, _Truncate):
            await self.store.truncate_from(operation.index)
        else:
            await self.store.save_snapshot(operation.snapshot)
            if operation.drop_tail:
                await self.store.truncate_from(operation.snapshot.index + 1)

    def _raise_synced(self, index: int) -> None:
        ceiling = min((item.ceiling for item in self.pending), default=math.inf)
        self.synced_index = int(min(max(self.synced_index, index), ceiling))
        self.synced.notify()
