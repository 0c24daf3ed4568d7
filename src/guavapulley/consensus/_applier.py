"""Applies committed entries and makes snapshots."""

import trio

from guavapulley import model
from guavapulley.consensus import _signal
from guavapulley.consensus import _state

# Applied between two checkpoints, so that heartbeats are not delayed.
ENTRIES_PER_STEP = 64
# Spreads the snapshots of the replicas, which would otherwise sync theirs at
# the same entry and delay commits together.
SNAPSHOT_SPREAD = 0.5


class Applier:
    """Applies committed entries in order; one task each for snapshots."""

    def __init__(self, state: _state.ReplicaState) -> None:
        self.state = state
        self.entries_since = 0
        self.bytes_since = 0
        self.spread = 1.0
        self.snapshot_due = _signal.Signal()

    async def run(self) -> None:
        """Applies entries until cancelled."""
        state = self.state
        while True:
            await state.committed.wait_until(
                lambda: state.commit_index > state.applied_index
            )
            last = min(
                state.commit_index, state.applied_index + ENTRIES_PER_STEP
            )
            while state.applied_index < last:
                self._apply(state.log.entry(state.applied_index + 1))
            state.applied.notify()
            if self._snapshot_due():
                self.snapshot_due.notify()
            await trio.lowlevel.checkpoint()

    def _apply(self, entry: model.LogEntry) -> None:
        state = self.state
        result: object = None
        if entry.kind is model.EntryKind.COMMAND:
            result = state.env.machine.apply(entry.index, entry.payload)
        state.applied_index = entry.index
        self.entries_since += 1
        self.bytes_since += len(entry.payload)
        state.proposals.applied(entry, result)

    def _snapshot_due(self) -> bool:
        settings = self.state.env.settings
        return (
            self.entries_since >= settings.snapshot_entries * self.spread
            or self.bytes_since >= settings.snapshot_bytes * self.spread
        )

    async def make_snapshots(self) -> None:
        """Makes snapshots until cancelled.

        Raises:
            DiskError: The store failed.
        """
        while True:
            await self.snapshot_due.wait_until(self._snapshot_due)
            await self._make_snapshot()

    async def _make_snapshot(self) -> None:
        state = self.state
        index = state.applied_index
        term = state.log.term_at(index)
        assert term is not None
        snapshot = model.Snapshot(
            index,
            term,
            state.log.replicas_at(index),
            state.env.machine.snapshot(),
        )
        self.entries_since = self.bytes_since = 0
        self.spread = state.env.rng.uniform(1.0, 1.0 + SNAPSHOT_SPREAD)
        # A follower applies entries that others hold before its own sync.
        await state.journal.synced.wait_until(
            lambda: state.journal.synced_index >= index
        )
        if index < state.log.base_index:
            return  # A snapshot of the leader has overtaken this one.
        await state.env.store.save_snapshot(snapshot)
        held = state.log.snapshot
        if held is None or held.index < index:
            state.log.compact(snapshot, state.env.settings.trailing_entries)
        state.env.metrics.gauge("replica.snapshot_bytes", len(snapshot.state))
        state.env.events.write(
            "replica:snapshot_made", index=index, bytes=len(snapshot.state)
        )
