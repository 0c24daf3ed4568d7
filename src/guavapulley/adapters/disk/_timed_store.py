"""Measures the calls of a log store and reports a stalled disk."""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib

import attrs
import trio

from guavapulley import model
from guavapulley import ports

# Duration of a hundred syncs on a usual disk; elections start after twice this
# time.
STALL_THRESHOLD_S = 0.5


@attrs.define(eq=False)
class _PendingCall:
    """A call that waits for the disk.

    Attributes:
        name: Name of the call in events and metrics.
        started_s: When the call started, on trio's clock.
        stalled: Whether `disk:stalled` was written for the call.
    """

    name: str
    started_s: float
    stalled: bool = False


class TimedStore:
    """Delegates to another `ports.LogStore` and measures its calls.

    Args:
        store: Store to which all calls are delegated.
        events: Receives `disk:stalled` while a stalled call waits, and
            `disk:resumed` when it ends.
        metrics: Receives the duration of each call.

    Attributes:
        pending_calls: Calls that wait for the disk.
    """

    def __init__(
        self,
        store: ports.LogStore,
        events: ports.EventLog,
        metrics: ports.Metrics,
    ) -> None:
        self.store = store
        self.events = events
        self.metrics = metrics
        self.pending_calls: list[_PendingCall] = []

    async def load(self) -> ports.StoredLog:
        """Reads the stored state; see `ports.LogStore`."""
        with self._measure("load"):
            return await self.store.load()

    async def save_identity(self, identity: model.ReplicaIdentity) -> None:
        """Stores the identity; see `ports.LogStore`."""
        with self._measure("identity"):
            await self.store.save_identity(identity)

    async def save_vote(self, term: int, voted_for: str | None) -> None:
        """Stores term and vote; see `ports.LogStore`."""
        with self._measure("vote"):
            await self.store.save_vote(term, voted_for)

    async def append(self, entries: Sequence[model.LogEntry]) -> None:
        """Appends entries; see `ports.LogStore`."""
        with self._measure("append"):
            await self.store.append(entries)

    async def truncate_from(self, index: int) -> None:
        """Removes the entries from an index on; see `ports.LogStore`."""
        with self._measure("truncate"):
            await self.store.truncate_from(index)

    async def save_snapshot(self, snapshot: model.Snapshot) -> None:
        """Stores a snapshot; see `ports.LogStore`."""
        with self._measure("snapshot"):
            await self.store.save_snapshot(snapshot)

    @contextlib.contextmanager
    def _measure(self, call: str) -> Iterator[None]:
        pending_call = _PendingCall(call, trio.current_time())
        self.pending_calls.append(pending_call)
        try:
            yield
        finally:
            self.pending_calls.remove(pending_call)
            took_s = trio.current_time() - pending_call.started_s
            self.metrics.timing(f"disk.{call}", took_s * 1000)
            if pending_call.stalled:
                self.events.write(
                    "disk:resumed", call=call, took_s=round(took_s, 3)
                )

    async def report_stalls(self) -> None:
        """Reports calls that take longer than a threshold, until cancelled."""
        while True:
            await trio.sleep(STALL_THRESHOLD_S / 2)
            latest_start_s = trio.current_time() - STALL_THRESHOLD_S
            for call in self.pending_calls:
                if not call.stalled and call.started_s <= latest_start_s:
                    call.stalled = True
                    self.events.write("disk:stalled", call=call.name)
