"""Handlers for the messages of candidates and leaders."""

import math

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley.consensus import _errors
from guavapulley.consensus import _state


@attrs.define
class _PartialSnapshot:
    """Chunks received so far of a snapshot from the leader.

    Attributes:
        term: Term of the leader.
        index: Last log index that the snapshot covers.
        total: Bytes of the complete encoded snapshot.
        data: Bytes received so far.
    """

    term: int
    index: int
    total: int
    data: bytearray = attrs.field(factory=bytearray)


class Follower:
    """Handles `RequestVote`, `AppendEntries` and `InstallSnapshot`.

    Attributes:
        partial_snapshot: Snapshot of which chunks are still missing, if any.
    """

    def __init__(self, state: _state.ReplicaState) -> None:
        self.state = state
        self.partial_snapshot: _PartialSnapshot | None = None

    async def request_vote(
        self, request: model.RequestVote
    ) -> model.RequestVoteReply:
        """Grants or rejects a vote; a granted vote is durable before the reply.

        A replica that is in contact with a leader rejects the request without
        adopting its term, so that a replica that returns from a partition does
        not depose a working leader.

        A replica with an empty log grants no vote. A learner does: a candidate
        only asks replicas that are voters in its own log, and the leader that
        promoted this one saw that it had caught up. The learner may not have
        received the entry with its promotion yet. If it rejected the vote and
        the leader was lost at this moment, the other replicas could never
        form a majority.

        Raises:
            ConsensusError: The message is not for this replica.
        """
        state = self.state
        state.check_addressee(request.cluster_id, request.target)
        if self._has_current_leader() or not state.log.last_index:
            return model.RequestVoteReply(state.term, False)
        if request.pre_vote:
            granted = request.term > state.term and self._is_log_up_to_date(
                request
            )
            return model.RequestVoteReply(state.term, granted)
        await state.adopt_term(request.term)
        granted = (
            request.term == state.term
            and state.voted_for in (None, request.candidate)
            and self._is_log_up_to_date(request)
        )
        if granted:
            state.voted_for = request.candidate
            state.leader_contact_s = trio.current_time()
            await state.save_vote()
        return model.RequestVoteReply(state.term, granted)

    def _has_current_leader(self) -> bool:
        state = self.state
        if state.leader_term is not None:
            return True
        silence_s = trio.current_time() - state.leader_contact_s
        return (
            state.leader_id is not None
            and silence_s < state.env.settings.election_timeout_min_s
        )

    def _is_log_up_to_date(self, request: model.RequestVote) -> bool:
        log = self.state.log
        return (request.last_term, request.last_index) >= (
            log.last_term,
            log.last_index,
        )

    async def append_entries(
        self, request: model.AppendEntries
    ) -> model.AppendEntriesReply:
        """Appends entries; a reply with success means that they are durable.

        Raises:
            ConsensusError: The message is not for this replica.
        """
        state = self.state
        state.check_addressee(request.cluster_id, request.target)
        if request.term < state.term:
            return self._rejection()
        await state.adopt_term(request.term)
        if request.term != state.term:
            return self._rejection()
        state.record_leader_contact(
            request.leader, request.quorum_age_s, request.commit_index
        )
        if request.entries:
            await self._wait_for_predecessor(request.previous_index)
            if request.term != state.term:
                return self._rejection()
        if not self._log_matches(request.previous_index, request.previous_term):
            return self._rejection(self._conflict_hint(request.previous_index))
        self._append_new_entries(request.entries)
        match_index = request.previous_index + len(request.entries)
        state.commit(min(request.commit_index, match_index))
        await self._wait_synced(match_index, request.term)
        if request.term != state.term:
            return self._rejection()
        return model.AppendEntriesReply(state.term, True, match_index)

    async def _wait_synced(self, index: int, term: int) -> None:
        """Waits until an index is durable or the term has ended.

        Raises:
            ConsensusError: The replica has stopped.
        """
        state = self.state
        await state.journal.synced.wait_until(
            lambda: (
                state.journal.synced_index >= index
                or state.term != term
                or state.failure is not None
            )
        )
        state.check_running()

    def _rejection(self, hint_index: int = 0) -> model.AppendEntriesReply:
        return model.AppendEntriesReply(self.state.term, False, 0, hint_index)

    async def _wait_for_predecessor(self, previous_index: int) -> None:
        """Waits up to `reorder_wait_s` for entries that were overtaken."""
        journal = self.state.journal
        with trio.move_on_after(self.state.env.settings.reorder_wait_s):
            await journal.operation_queued.wait_until(
                lambda: journal.log.last_index >= previous_index
            )

    def _log_matches(self, index: int, term: int) -> bool:
        # Up to the commit index the log agrees with that of every later leader.
        # Entries that were dropped after a snapshot need no comparison.
        if index <= self.state.commit_index:
            return True
        return self.state.log.term_at(index) == term

    def _conflict_hint(self, index: int) -> int:
        """Returns the index from which the leader should retry.

        That is the index after the last entry if the log is too short.
        Otherwise it is the first uncommitted entry of the conflicting term, so
        that the leader skips a whole term at a time.
        """
        log = self.state.log
        if index > log.last_index:
            return log.last_index + 1
        term = log.term_at(index)
        lowest = self.state.commit_index + 1
        while index > lowest and log.term_at(index - 1) == term:
            index -= 1
        return index

    def _append_new_entries(self, entries: tuple[model.LogEntry, ...]) -> None:
        """Appends the missing entries and removes existing ones in conflict."""
        state = self.state
        for position, entry in enumerate(entries):
            if entry.index <= state.commit_index:
                continue
            existing_term = state.log.term_at(entry.index)
            if existing_term == entry.term:
                continue
            if existing_term is not None:
                state.journal.truncate_from(entry.index)
            state.journal.append(entries[position:])
            state.replicas_changed.notify()
            return

    async def install_snapshot(
        self, request: model.InstallSnapshot
    ) -> model.InstallSnapshotReply:
        """Stores a chunk of a snapshot; installs the snapshot after the last.

        Raises:
            ConsensusError: The message is not for this replica, or the
                snapshot cannot be decoded.
        """
        state = self.state
        state.check_addressee(request.cluster_id, request.target)
        if request.term < state.term:
            return model.InstallSnapshotReply(state.term, 0)
        await state.adopt_term(request.term)
        if request.term != state.term:
            return model.InstallSnapshotReply(state.term, 0)
        state.record_leader_contact(request.leader, math.inf, request.index)
        received = self._add_chunk(request)
        if received == request.total:
            self._install(request)
            await self._wait_synced(request.index, request.term)
            state.leader_contact_s = trio.current_time()
        return model.InstallSnapshotReply(state.term, received)

    def _add_chunk(self, request: model.InstallSnapshot) -> int:
        """Adds a chunk if it comes next; returns the offset of the next one."""
        requested = _PartialSnapshot(request.term, request.index, request.total)
        partial = self.partial_snapshot
        if request.offset == 0 or partial is None:
            partial = self.partial_snapshot = requested
        if (partial.term, partial.index, partial.total) != (
            requested.term,
            requested.index,
            requested.total,
        ):
            return 0
        if request.offset == len(partial.data):
            partial.data.extend(request.data)
        return len(partial.data)

    def _install(self, request: model.InstallSnapshot) -> None:
        state = self.state
        assert self.partial_snapshot is not None
        data, self.partial_snapshot = bytes(self.partial_snapshot.data), None
        if request.index <= state.commit_index:
            return
        try:
            snapshot = state.env.codec.decode(data)
        except errors.GuavapulleyError as error:
            raise _errors.ConsensusError(
                _errors.SNAPSHOT_INVALID, error.message
            ) from error
        if not isinstance(snapshot, model.Snapshot):
            raise _errors.ConsensusError(
                _errors.SNAPSHOT_INVALID,
                "the decoded message is not a snapshot",
            )
        state.journal.install(snapshot, state.commit_index)
        state.env.state_machine.restore(snapshot.state)
        state.applied_index = snapshot.index
        state.commit(snapshot.index)
        state.proposals.fail_covered_by_snapshot(snapshot.index)
        state.applied.notify()
        state.replicas_changed.notify()
        state.env.events.write(
            "replica:snapshot_installed", index=snapshot.index
        )
