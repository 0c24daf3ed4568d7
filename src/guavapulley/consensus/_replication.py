"""Replication to one peer."""

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.consensus import _leadership
from guavapulley.consensus import _state


class PeerReplicator:
    """Sends the log to one peer while this replica leads.

    Args:
        state: State of the replica.
        leading: State of the leader term.
        member: The peer.
        client: Calls the peer.
    """

    def __init__(
        self,
        state: _state.ReplicaState,
        leading: _leadership.LeaderTerm,
        member: model.ReplicaMember,
        client: ports.PeerClient,
    ) -> None:
        self.state = state
        self.leading = leading
        self.member = member
        self.client = client
        self.settings = state.env.settings
        self.progress = _leadership.Progress(state.log.last_index + 1)
        leading.progress[member.replica_id] = self.progress

    async def run(self) -> None:
        """Sends probes, entries and snapshots until cancelled."""
        progress = self.progress
        async with trio.open_nursery() as calls:
            while True:
                await self._wait_until_due()
                if self._needs_snapshot():
                    progress.installing = True
                    calls.start_soon(self._send_snapshot)
                elif self._entries_due():
                    calls.start_soon(self._send, self._next_entries())
                else:
                    calls.start_soon(self._send, self._probe())

    async def _wait_until_due(self) -> None:
        while not (
            self._needs_snapshot() or self._entries_due() or self._probe_due()
        ):
            with trio.move_on_at(self._next_due_s()):
                await self.leading.work.wait()

    def _next_due_s(self) -> float:
        """Returns when something is due without further events."""
        progress = self.progress
        heartbeat_s = progress.sent_s + self.settings.heartbeat_interval_s
        if self._entries_waiting():
            return min(heartbeat_s, self._batch_due_s())
        return heartbeat_s

    def _batch_due_s(self) -> float:
        return self.progress.entries_sent_s + self.settings.batch_interval_s

    def _needs_snapshot(self) -> bool:
        progress = self.progress
        return (
            progress.streaming
            and not progress.installing
            and progress.next_index <= self.state.log.base_index
        )

    def _entries_due(self) -> bool:
        return (
            self._entries_waiting()
            and trio.current_time() >= self._batch_due_s()
        )

    def _entries_waiting(self) -> bool:
        progress = self.progress
        return (
            progress.streaming
            and not progress.installing
            and progress.in_flight < self.settings.max_calls_in_flight
            and progress.next_index <= self.state.log.last_index
        )

    def _probe_due(self) -> bool:
        progress = self.progress
        interval_s = self.settings.heartbeat_interval_s
        unconfirmed = (
            progress.sent_round < self.leading.round
            and progress.in_flight < self.settings.max_calls_in_flight
        )
        return (
            progress.probe_due
            or unconfirmed
            or trio.current_time() >= progress.sent_s + interval_s
        )

    def _next_entries(self) -> model.AppendEntries:
        progress = self.progress
        entries = self.state.log.batch(
            progress.next_index,
            self.settings.max_batch_entries,
            self.settings.max_batch_bytes,
        )
        previous = progress.next_index - 1
        progress.next_index += len(entries)
        progress.entries_sent_s = trio.current_time()
        return self._message(previous, entries)

    def _probe(self) -> model.AppendEntries:
        """Returns a message without entries.

        To a streaming peer it names the last entry that is durable there, so
        that the peer can answer without a sync.
        """
        progress = self.progress
        previous = (
            progress.match_index
            if progress.streaming
            else progress.next_index - 1
        )
        if self.state.log.term_at(previous) is None:
            previous = 0
        return self._message(previous, ())

    def _message(
        self, previous: int, entries: tuple[model.LogEntry, ...]
    ) -> model.AppendEntries:
        state = self.state
        # Entry 0 stands for the empty log before the first entry.
        previous_term = state.log.term_at(previous) if previous else 0
        assert previous_term is not None
        self.progress.sent_s = trio.current_time()
        self.progress.sent_round = self.leading.round
        self.progress.probe_due = False
        self.progress.in_flight += bool(entries)
        return model.AppendEntries(
            state.cluster_id,
            self.leading.term,
            self.leading.own_id,
            previous,
            previous_term,
            entries,
            state.commit_index,
            self.member.replica_id,
            state.quorum_age_s(),
        )

    async def _send(self, message: model.AppendEntries) -> None:
        progress = self.progress
        sent_s, sent_round = trio.current_time(), self.leading.round
        try:
            reply = await self.client.call(
                message, self.settings.call_timeout_s
            )
        except ports.PeerError:
            progress.restart(progress.match_index + 1)
            return
        finally:
            progress.in_flight -= bool(message.entries)
            self.leading.work.notify()
        if not isinstance(reply, model.AppendEntriesReply):
            progress.restart(progress.match_index + 1)
            return
        if reply.term > self.leading.term:
            await self.state.adopt_term(reply.term)
            return
        self._acknowledge(sent_s, sent_round)
        if reply.success:
            progress.matched(reply.match_index)
            self.state.advance_commit()
        elif (
            message.previous_index + len(message.entries) > progress.match_index
        ):
            # Also when the predecessor has been acknowledged meanwhile: the
            # peer refused entries that overtook it and does not hold them.
            progress.restart(min(reply.hint_index, message.previous_index))
            progress.probe_due = True

    def _acknowledge(self, sent_s: float, sent_round: int) -> None:
        """Notes that the peer followed this leader when a call was sent."""
        self.progress.acked_s = max(self.progress.acked_s, sent_s)
        self.progress.acked_round = max(self.progress.acked_round, sent_round)
        self.leading.acked.notify()

    async def _send_snapshot(self) -> None:
        """Sends the last snapshot in chunks; the peer names the next one."""
        snapshot = self.state.log.snapshot
        assert snapshot is not None
        self.state.env.events.write(
            "replica:sends_snapshot",
            peer=self.member.name,
            index=snapshot.index,
            bytes=len(snapshot.state),
        )
        try:
            if await self._send_chunks(snapshot):
                self.progress.matched(snapshot.index)
                self.state.advance_commit()
        except ports.PeerError:
            self.progress.restart(self.progress.match_index + 1)
        finally:
            self.progress.installing = False
            self.leading.work.notify()

    async def _send_chunks(self, snapshot: model.Snapshot) -> bool:
        data = self.state.env.codec.encode(snapshot)
        offset = 0
        while offset < len(data):
            sent_s, sent_round = trio.current_time(), self.leading.round
            chunk = data[offset : offset + self.settings.snapshot_chunk_bytes]
            request = model.InstallSnapshot(
                self.state.cluster_id,
                self.leading.term,
                self.leading.own_id,
                snapshot.index,
                snapshot.term,
                offset,
                len(data),
                chunk,
                self.member.replica_id,
            )
            reply = await self.client.call(
                request, self.settings.snapshot_timeout_s
            )
            if not isinstance(reply, model.InstallSnapshotReply):
                return False
            if reply.term > self.leading.term:
                await self.state.adopt_term(reply.term)
                return False
            self._acknowledge(sent_s, sent_round)
            if reply.received != offset + len(chunk):
                return False
            offset = reply.received
        return True
