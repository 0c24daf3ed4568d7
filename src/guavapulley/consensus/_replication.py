"""Replication of the log from the leader to one peer."""

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.consensus import _leader_term
from guavapulley.consensus import _log
from guavapulley.consensus import _state


class PeerReplicator:
    """Replicates the log to one peer while this replica leads.

    Args:
        state: State of the replica.
        leading: State of the leader term.
        member: The peer.
        client: Client for the peer.
    """

    def __init__(
        self,
        state: _state.ReplicaState,
        leader_term: _leader_term.LeaderTerm,
        member: model.ReplicaMember,
        client: ports.PeerClient,
    ) -> None:
        self.state = state
        self.leader_term = leader_term
        self.member = member
        self.client = client
        self.settings = state.env.settings
        self.progress = _leader_term.Progress(state.log.last_index + 1)
        leader_term.progress[member.replica_id] = self.progress

    async def run(self) -> None:
        """Sends probes, entries and snapshots until cancelled."""
        progress = self.progress
        async with trio.open_nursery() as calls:
            while True:
                await self._wait_until_due()
                if self._needs_snapshot():
                    progress.sending_snapshot = True
                    calls.start_soon(self._send_snapshot)
                elif self._entries_due():
                    calls.start_soon(self._send, self._next_entries_request())
                else:
                    calls.start_soon(self._send, self._probe_request())

    async def _wait_until_due(self) -> None:
        while not (
            self._needs_snapshot() or self._entries_due() or self._probe_due()
        ):
            with trio.move_on_at(self._next_due_s()):
                await self.leader_term.work_available.wait()

    def _next_due_s(self) -> float:
        """Returns the time of the next message if no event comes before."""
        progress = self.progress
        heartbeat_s = progress.sent_s + self.settings.heartbeat_interval_s
        if self._can_send_entries():
            return min(heartbeat_s, self._batch_due_s())
        return heartbeat_s

    def _batch_due_s(self) -> float:
        return self.progress.entries_sent_s + self.settings.batch_interval_s

    def _needs_snapshot(self) -> bool:
        progress = self.progress
        return (
            progress.pipelining
            and not progress.sending_snapshot
            and progress.next_index <= self.state.log.base_index
        )

    def _entries_due(self) -> bool:
        return (
            self._can_send_entries()
            and trio.current_time() >= self._batch_due_s()
        )

    def _can_send_entries(self) -> bool:
        progress = self.progress
        return (
            progress.pipelining
            and not progress.sending_snapshot
            and progress.in_flight < self.settings.max_calls_in_flight
            and progress.bytes_in_flight < self.settings.max_bytes_in_flight
            and progress.next_index <= self.state.log.last_index
        )

    def _probe_due(self) -> bool:
        progress = self.progress
        interval_s = self.settings.heartbeat_interval_s
        round_unsent = (
            progress.sent_round < self.leader_term.newest_round
            and progress.in_flight < self.settings.max_calls_in_flight
        )
        return (
            progress.probe_requested
            or round_unsent
            or trio.current_time() >= progress.sent_s + interval_s
        )

    def _next_entries_request(self) -> model.AppendEntries:
        progress = self.progress
        entries = self.state.log.batch(
            progress.next_index,
            self.settings.max_batch_entries,
            self.settings.max_batch_bytes,
        )
        previous_index = progress.next_index - 1
        progress.next_index += len(entries)
        progress.entries_sent_s = trio.current_time()
        return self._append_entries_request(previous_index, entries)

    def _probe_request(self) -> model.AppendEntries:
        """Returns a message without entries, a heartbeat or a probe.

        When the leader pipelines entries to the peer, the message refers to
        the last entry that is durable there, so that the peer can reply
        without waiting for a sync.
        """
        progress = self.progress
        previous_index = (
            progress.match_index
            if progress.pipelining
            else progress.next_index - 1
        )
        if self.state.log.term_at(previous_index) is None:
            previous_index = 0
        return self._append_entries_request(previous_index, ())

    def _append_entries_request(
        self, previous_index: int, entries: tuple[model.LogEntry, ...]
    ) -> model.AppendEntries:
        state = self.state
        # Index 0 is the empty log before the first entry.
        previous_term = (
            state.log.term_at(previous_index) if previous_index else 0
        )
        assert previous_term is not None
        self.progress.sent_s = trio.current_time()
        self.progress.sent_round = self.leader_term.newest_round
        self.progress.probe_requested = False
        self.progress.in_flight += bool(entries)
        self.progress.bytes_in_flight += _log.total_payload_bytes(entries)
        return model.AppendEntries(
            state.cluster_id,
            self.leader_term.term,
            self.leader_term.own_id,
            previous_index,
            previous_term,
            entries,
            state.commit_index,
            self.member.replica_id,
            state.quorum_age_s(),
        )

    async def _send(self, message: model.AppendEntries) -> None:
        progress = self.progress
        sent_s, sent_round = trio.current_time(), self.leader_term.newest_round
        try:
            reply = await self.client.call(
                message, self.settings.call_timeout_s
            )
        except ports.PeerError:
            progress.start_probing(progress.match_index + 1)
            return
        finally:
            progress.in_flight -= bool(message.entries)
            progress.bytes_in_flight -= _log.total_payload_bytes(
                message.entries
            )
            self.leader_term.work_available.notify()
        if not isinstance(reply, model.AppendEntriesReply):
            progress.start_probing(progress.match_index + 1)
            return
        if reply.term > self.leader_term.term:
            await self.state.adopt_term(reply.term)
            return
        self._record_ack(sent_s, sent_round)
        if reply.success:
            progress.record_match(reply.match_index)
            self.state.advance_commit()
        elif (
            message.previous_index + len(message.entries) > progress.match_index
        ):
            # Applies even if the peer has acknowledged the preceding entry in
            # the meantime: it rejected these entries because they overtook
            # that one, and does not have them.
            progress.start_probing(
                min(reply.hint_index, message.previous_index)
            )
            progress.probe_requested = True

    def _record_ack(self, sent_s: float, sent_round: int) -> None:
        """Records that the peer answered a call that was sent at `sent_s`."""
        self.progress.acked_s = max(self.progress.acked_s, sent_s)
        self.progress.acked_round = max(self.progress.acked_round, sent_round)
        self.leader_term.peer_acked.notify()

    async def _send_snapshot(self) -> None:
        """Sends the last snapshot, then resumes sending entries."""
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
                self.progress.record_match(snapshot.index)
                self.state.advance_commit()
        except ports.PeerError:
            self.progress.start_probing(self.progress.match_index + 1)
        finally:
            self.progress.sending_snapshot = False
            self.leader_term.work_available.notify()

    async def _send_chunks(self, snapshot: model.Snapshot) -> bool:
        """Sends a snapshot in chunks; returns whether the peer has all."""
        data = self.state.env.codec.encode(snapshot)
        offset = 0
        while offset < len(data):
            sent_s, sent_round = (
                trio.current_time(),
                self.leader_term.newest_round,
            )
            chunk = data[offset : offset + self.settings.snapshot_chunk_bytes]
            request = model.InstallSnapshot(
                self.state.cluster_id,
                self.leader_term.term,
                self.leader_term.own_id,
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
            if reply.term > self.leader_term.term:
                await self.state.adopt_term(reply.term)
                return False
            self._record_ack(sent_s, sent_round)
            if reply.received != offset + len(chunk):
                return False
            offset = reply.received
        return True
