"""Answers to messages of candidates and leaders."""

import math

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley.consensus import _errors
from guavapulley.consensus import _state


@attrs.define
class _Incoming:
    """A snapshot that is being received."""

    term: int
    index: int
    total: int
    data: bytearray = attrs.field(factory=bytearray)


class Follower:
    """Answers `RequestVote`, `AppendEntries` and `InstallSnapshot`."""

    def __init__(self, state: _state.ReplicaState) -> None:
        self.state = state
        self.incoming: _Incoming | None = None

    async def request_vote(
        self, request: model.RequestVote
    ) -> model.RequestVoteReply:
        """Gives or refuses a vote; a given one is durable before the reply.

        A replica that hears from a leader refuses without taking over the
        term, so that a returning replica disturbs nobody. An empty disk gives
        no vote. A learner does: a candidate asks only replicas that its log
        makes voters, and the leader that made this one a voter saw that it
        had caught up. The learner itself may not have received that entry, and
        without its vote the loss of the leader at this moment would leave
        the others short of a majority for ever.

        Raises:
            ConsensusError: The message is not for this replica.
        """
        state = self.state
        state.check_addressee(request.cluster_id, request.target)
        if self._hears_leader() or not state.log.last_index:
            return model.RequestVoteReply(state.term, False)
        if request.pre_vote:
            granted = request.term > state.term and self._up_to_date(request)
            return model.RequestVoteReply(state.term, granted)
        await state.adopt_term(request.term)
        granted = (
            request.term == state.term
            and state.voted_for in (None, request.candidate)
            and self._up_to_date(request)
        )
        if granted:
            state.voted_for = request.candidate
            state.leader_contact_s = trio.current_time()
            await state.save_vote()
        return model.RequestVoteReply(state.term, granted)

    def _hears_leader(self) -> bool:
        state = self.state
        if state.leading is not None:
            return True
        silence_s = trio.current_time() - state.leader_contact_s
        return (
            state.leader_id is not None
            and silence_s < state.env.settings.election_timeout_min_s
        )

    def _up_to_date(self, request: model.RequestVote) -> bool:
        log = self.state.log
        return (request.last_term, request.last_index) >= (
            log.last_term,
            log.last_index,
        )

    async def append_entries(
        self, request: model.AppendEntries
    ) -> model.AppendEntriesReply:
        """Appends entries; a success means that they are durable.

        Raises:
            ConsensusError: The message is not for this replica.
        """
        state = self.state
        state.check_addressee(request.cluster_id, request.target)
        if request.term < state.term:
            return self._refusal()
        await state.adopt_term(request.term)
        if request.term != state.term:
            return self._refusal()
        state.follow(request.leader, request.quorum_age_s)
        if request.entries:
            await self._wait_for_predecessor(request.previous_index)
            if request.term != state.term:
                return self._refusal()
        if not self._matches(request.previous_index, request.previous_term):
            return self._refusal(self._hint(request.previous_index))
        self._store(request.entries)
        match = request.previous_index + len(request.entries)
        state.commit(min(request.commit_index, match))
        await self._wait_synced(match, request.term)
        if request.term != state.term:
            return self._refusal()
        return model.AppendEntriesReply(state.term, True, match)

    async def _wait_synced(self, index: int, term: int) -> None:
        """Waits until an index is durable or the term is over."""
        state = self.state
        await state.journal.synced.wait_until(
            lambda: (
                state.journal.synced_index >= index
                or state.term != term
                or state.failure is not None
            )
        )
        state.check_running()

    def _refusal(self, hint_index: int = 0) -> model.AppendEntriesReply:
        return model.AppendEntriesReply(self.state.term, False, 0, hint_index)

    async def _wait_for_predecessor(self, previous_index: int) -> None:
        """Gives entries that were overtaken a short time to arrive."""
        journal = self.state.journal
        with trio.move_on_after(self.state.env.settings.reorder_wait_s):
            await journal.queued.wait_until(
                lambda: journal.log.last_index >= previous_index
            )

    def _matches(self, index: int, term: int) -> bool:
        # The log agrees with that of every later leader up to the commit
        # index, so entries dropped after a snapshot need no comparison.
        if index <= self.state.commit_index:
            return True
        return self.state.log.term_at(index) == term

    def _hint(self, index: int) -> int:
        """Returns where the leader should look for the last common entry."""
        log = self.state.log
        if index > log.last_index:
            return log.last_index + 1
        term = log.term_at(index)
        lowest = self.state.commit_index + 1
        while index > lowest and log.term_at(index - 1) == term:
            index -= 1
        return index

    def _store(self, entries: tuple[model.LogEntry, ...]) -> None:
        """Appends new entries, removing those that contradict them."""
        state = self.state
        for position, entry in enumerate(entries):
            if entry.index <= state.commit_index:
                continue
            known = state.log.term_at(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                state.journal.truncate_from(entry.index)
            state.journal.append(entries[position:])
            state.replicas_changed.notify()
            return

    async def install_snapshot(
        self, request: model.InstallSnapshot
    ) -> model.InstallSnapshotReply:
        """Takes a chunk of a snapshot, and installs it with the last one.

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
        state.follow(request.leader, math.inf)
        received = self._collect(request)
        if received == request.total:
            self._install(request)
            await self._wait_synced(request.index, request.term)
            state.leader_contact_s = trio.current_time()
        return model.InstallSnapshotReply(state.term, received)

    def _collect(self, request: model.InstallSnapshot) -> int:
        wanted = _Incoming(request.term, request.index, request.total)
        known = self.incoming
        if request.offset == 0 or known is None:
            known = self.incoming = wanted
        if (known.term, known.index, known.total) != (
            wanted.term,
            wanted.index,
            wanted.total,
        ):
            return 0
        if request.offset == len(known.data):
            known.data.extend(request.data)
        return len(known.data)

    def _install(self, request: model.InstallSnapshot) -> None:
        state = self.state
        assert self.incoming is not None
        data, self.incoming = bytes(self.incoming.data), None
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
                _errors.SNAPSHOT_INVALID, "the message is no snapshot"
            )
        state.journal.install(snapshot, state.commit_index)
        state.env.machine.restore(snapshot.state)
        state.applied_index = snapshot.index
        state.commit(snapshot.index)
        state.proposals.skipped(snapshot.index)
        state.applied.notify()
        state.replicas_changed.notify()
        state.env.events.write(
            "replica:snapshot_installed", index=snapshot.index
        )
