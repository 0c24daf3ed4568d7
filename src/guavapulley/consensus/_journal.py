"""Writes changes of the log to the store, in order and with group commit."""

import collections
from collections.abc import Sequence
import math

import attrs

from guavapulley import model
from guavapulley import ports
from guavapulley.consensus import _log
from guavapulley.consensus import _signal

# Limits of the entries that share one sync. They bound the latency of the
# first command of a group and the size of the stored record.
MAX_GROUP_ENTRIES = 2048
MAX_GROUP_BYTES = 4 * 1024 * 1024


@attrs.frozen
class _Append:
    """Queued append.

    The queued operations share these attributes:

    Attributes:
        max_synced_index: Largest index that may count as synced before the
            operation is written.
        last_index: Index up to which the log is synced once it is written; 0
            if the operation makes no entry durable.
    """

    entries: tuple[model.LogEntry, ...]
    max_synced_index: float = math.inf

    @property
    def last_index(self) -> int:
        return self.entries[-1].index


@attrs.frozen
class _Truncate:
    """Queued removal of the entry at an index and all later ones."""

    index: int

    @property
    def max_synced_index(self) -> float:
        return self.index - 1

    @property
    def last_index(self) -> int:
        return 0


@attrs.frozen
class _InstallSnapshot:
    """Queued snapshot from the leader.

    Attributes:
        discard_tail: Whether stored entries after the snapshot are removed.
    """

    snapshot: model.Snapshot
    discard_tail: bool
    max_synced_index: float

    @property
    def last_index(self) -> int:
        return self.snapshot.index


class Journal:
    """The log in memory with a queue of writes to the store.

    A change takes effect in memory immediately. One task writes the changes to
    the store in order; all entries that are appended during a sync share the
    next sync (group commit).

    Attributes:
        log: The log in memory.
        store: Durable log.
        synced_index: Last index up to which the store agrees with `log`.
        synced: Notified when `synced_index` may have changed.
        operation_queued: Notified when an operation is added to `pending`.
        pending: Operations that are not yet written, oldest first.
    """

    def __init__(self, log: _log.Log, store: ports.LogStore) -> None:
        self.log = log
        self.store = store
        self.synced_index = log.last_index
        self.synced = _signal.Signal()
        self.operation_queued = _signal.Signal()
        self.pending: collections.deque[
            _Append | _Truncate | _InstallSnapshot
        ] = collections.deque()

    def append(self, entries: Sequence[model.LogEntry]) -> None:
        """Appends entries, which must follow the last entry of the log."""
        self.log.append(entries)
        self._enqueue(_Append(tuple(entries)))

    def truncate_from(self, index: int) -> None:
        """Removes the entry at an index and all later ones."""
        self.log.truncate_from(index)
        self._enqueue(_Truncate(index))

    def install(self, snapshot: model.Snapshot, commit_index: int) -> None:
        """Replaces the log by a snapshot from the leader.

        Args:
            snapshot: The snapshot.
            commit_index: Commit index before the snapshot; up to there the
                stored log agrees with that of the leader.
        """
        self.log.reset(snapshot)
        discard_tail = self.log.last_index == snapshot.index
        max_synced_index = commit_index if discard_tail else math.inf
        self._enqueue(
            _InstallSnapshot(snapshot, discard_tail, max_synced_index)
        )

    async def run(self) -> None:
        """Writes queued changes until cancelled.

        Raises:
            DiskError: The store failed.
        """
        while True:
            await self.operation_queued.wait_until(lambda: bool(self.pending))
            operation = self._dequeue_group()
            await self._write(operation)
            self._update_synced_index(operation.last_index)

    def _enqueue(
        self, operation: _Append | _Truncate | _InstallSnapshot
    ) -> None:
        self.pending.append(operation)
        if not isinstance(operation, _Append):
            self._update_synced_index(0)
        self.operation_queued.notify()

    def _dequeue_group(self) -> _Append | _Truncate | _InstallSnapshot:
        operation = self.pending.popleft()
        if not isinstance(operation, _Append):
            return operation
        group = list(operation.entries)
        size = _log.total_payload_bytes(operation.entries)
        while self.pending and len(group) < MAX_GROUP_ENTRIES:
            next_operation = self.pending[0]
            if not isinstance(next_operation, _Append):
                break
            size += _log.total_payload_bytes(next_operation.entries)
            if size > MAX_GROUP_BYTES:
                break
            group.extend(next_operation.entries)
            self.pending.popleft()
        return _Append(tuple(group))

    async def _write(
        self, operation: _Append | _Truncate | _InstallSnapshot
    ) -> None:
        if isinstance(operation, _Append):
            await self.store.append(operation.entries)
        elif isinstance(operation, _Truncate):
            await self.store.truncate_from(operation.index)
        else:
            await self.store.save_snapshot(operation.snapshot)
            if operation.discard_tail:
                await self.store.truncate_from(operation.snapshot.index + 1)

    def _update_synced_index(self, index: int) -> None:
        max_synced_index = min(
            (item.max_synced_index for item in self.pending), default=math.inf
        )
        self.synced_index = int(
            min(max(self.synced_index, index), max_synced_index)
        )
        self.synced.notify()
