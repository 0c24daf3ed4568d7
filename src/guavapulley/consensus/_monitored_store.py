"""A log store that reports its first failure to `Replica.run`."""

from collections.abc import Awaitable
from collections.abc import Sequence
from typing import TypeVar

import trio

from guavapulley import model
from guavapulley import ports

T = TypeVar("T")


class MonitoredStore:
    """Delegates to another store and records its first error.

    Votes are stored by the tasks that handle messages. Without the record,
    their errors would not reach `Replica.run`.

    Attributes:
        store: Store to which all calls are delegated.
        error: First error of that store, if any.
        failed: Set when `error` is.
    """

    def __init__(self, store: ports.LogStore) -> None:
        self.store = store
        self.error: ports.DiskError | None = None
        self.failed = trio.Event()

    async def raise_on_failure(self) -> None:
        """Waits for the first error of the store and raises it."""
        await self.failed.wait()
        assert self.error is not None
        raise self.error

    async def _record_failure(self, operation: Awaitable[T]) -> T:
        try:
            return await operation
        except ports.DiskError as error:
            self.error = self.error or error
            self.failed.set()
            raise

    async def load(self) -> ports.StoredLog:
        """See `ports.LogStore`."""
        return await self._record_failure(self.store.load())

    async def save_identity(self, identity: model.ReplicaIdentity) -> None:
        """See `ports.LogStore`."""
        await self._record_failure(self.store.save_identity(identity))

    async def save_vote(self, term: int, voted_for: str | None) -> None:
        """See `ports.LogStore`."""
        await self._record_failure(self.store.save_vote(term, voted_for))

    async def append(self, entries: Sequence[model.LogEntry]) -> None:
        """See `ports.LogStore`."""
        await self._record_failure(self.store.append(entries))

    async def truncate_from(self, index: int) -> None:
        """See `ports.LogStore`."""
        await self._record_failure(self.store.truncate_from(index))

    async def save_snapshot(self, snapshot: model.Snapshot) -> None:
        """See `ports.LogStore`."""
        await self._record_failure(self.store.save_snapshot(snapshot))
