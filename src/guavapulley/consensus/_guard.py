"""Store that reports its first failure to the task that runs the replica."""

from collections.abc import Awaitable
from collections.abc import Sequence
from typing import TypeVar

import trio

from guavapulley import model
from guavapulley import ports

T = TypeVar("T")


class GuardedStore:
    """Passes calls on and keeps the first error.

    Votes are stored by tasks of callers, whose errors would otherwise not
    reach `Replica.run`.

    Attributes:
        error: First error of the store, if any.
        failed: Set at the first error.
    """

    def __init__(self, store: ports.LogStore) -> None:
        self.store = store
        self.error: ports.DiskError | None = None
        self.failed = trio.Event()

    async def watch(self) -> None:
        """Raises the first error of the store once there is one."""
        await self.failed.wait()
        assert self.error is not None
        raise self.error

    async def _guard(self, call: Awaitable[T]) -> T:
        try:
            return await call
        except ports.DiskError as error:
            self.error = self.error or error
            self.failed.set()
            raise

    async def load(self) -> ports.StoredLog:
        """See `ports.LogStore`."""
        return await self._guard(self.store.load())

    async def save_identity(self, identity: model.ReplicaIdentity) -> None:
        """See `ports.LogStore`."""
        await self._guard(self.store.save_identity(identity))

    async def save_vote(self, term: int, voted_for: str | None) -> None:
        """See `ports.LogStore`."""
        await self._guard(self.store.save_vote(term, voted_for))

    async def append(self, entries: Sequence[model.LogEntry]) -> None:
        """See `ports.LogStore`."""
        await self._guard(self.store.append(entries))

    async def truncate_from(self, index: int) -> None:
        """See `ports.LogStore`."""
        await self._guard(self.store.truncate_from(index))

    async def save_snapshot(self, snapshot: model.Snapshot) -> None:
        """See `ports.LogStore`."""
        await self._guard(self.store.save_snapshot(snapshot))
