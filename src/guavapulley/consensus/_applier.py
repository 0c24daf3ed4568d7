"""Application of committed entries to the state machine, and snapshots."""

import trio

from guavapulley import model
from guavapulley.consensus import _signal
from guavapulley.consensus import _state

# Entries applied between two checkpoints of trio. Without this limit a long
# backlog would delay heartbeats.
MAX_ENTRIES_PER_STEP = 64
# Largest fraction by which a replica raises its snapshot thresholds at random.
# Without it all replicas would sync a snapshot at the same entry and delay
# commits at the same time.
MAX_SNAPSHOT_JITTER = 0.5


class Applier:
    """Applies committed entries in order and makes snapshots of the result.

    `run` and `make_snapshots` each need a task of their own.

    Attributes:
        entries_since_snapshot: Entries applied since the last snapshot.
        bytes_since_snapshot: Payload bytes applied since the last snapshot.
        threshold_factor: Factor on the configured snapshot thresholds; it is
            drawn anew at each snapshot.
        snapshot_due: Notified when a snapshot threshold is reached.
    """

    def __init__(self, state: _state.ReplicaState) -> None:
        self.state = state
        self.entries_since_snapshot = 0
        self.bytes_since_snapshot = 0
        self.threshold_factor = 1.0
        self.snapshot_due = _signal.Signal()

    async def run(self) -> None:
        """Applies entries as they are committed, until cancelled."""
        state = self.state
        while True:
            await state.committed.wait_until(
                lambda: state.commit_index > state.applied_index
            )
            last = min(
                state.commit_index, state.applied_index + MAX_ENTRIES_PER_STEP
            )
            while state.applied_index < last:
                self._apply(state.log.entry(state.applied_index + 1))
            state.applied.notify()
            if self._is_snapshot_due():
                self.snapshot_due.notify()
            await trio.lowlevel.checkpoint()

    def _apply(self, entry: model.LogEntry) -> None:
        state = self.state
        result: object = None
        if entry.kind is model.EntryKind.COMMAND:
            result = state.env.state_machine.apply(entry.index, entry.payload)
        state.applied_index = entry.index
        self.entries_since_snapshot += 1
        self.bytes_since_snapshot += len(entry.payload)
        state.proposals.resolve(entry, result)

    def _is_snapshot_due(self) -> bool:
        settings = self.state.env.settings
        return (
            self.entries_since_snapshot
            >= settings.snapshot_entries * self.threshold_factor
            or self.bytes_since_snapshot
            >= settings.snapshot_bytes * self.threshold_factor
        )

    async def make_snapshots(self) -> None:
        """Makes a snapshot whenever one is due, until cancelled.

        Raises:
            DiskError: The snapshot could not be stored.
        """
        while True:
            await self.snapshot_due.wait_until(self._is_snapshot_due)
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
            state.env.state_machine.snapshot(),
        )
        self.entries_since_snapshot = self.bytes_since_snapshot = 0
        self.threshold_factor = state.env.rng.uniform(
            1.0, 1.0 + MAX_SNAPSHOT_JITTER
        )
        # A follower may apply a committed entry before its own disk has it.
        await state.journal.synced.wait_until(
            lambda: state.journal.synced_index >= index
        )
        if index < state.log.base_index:
            return  # A newer snapshot from the leader was installed.
        await state.env.store.save_snapshot(snapshot)
        current = state.log.snapshot
        if current is None or current.index < index:
            settings = state.env.settings
            state.log.compact(
                snapshot, settings.trailing_entries, settings.trailing_bytes
            )
        state.env.metrics.gauge("replica.snapshot_bytes", len(snapshot.state))
        state.env.events.write(
            "replica:snapshot_made", index=index, bytes=len(snapshot.state)
        )
