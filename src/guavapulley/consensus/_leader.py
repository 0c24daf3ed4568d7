"""The tasks that a leader runs during its term."""

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.consensus import _leader_term
from guavapulley.consensus import _membership
from guavapulley.consensus import _replication
from guavapulley.consensus import _state


class Leader:
    """Runs the tasks of the leader, for one term at a time.

    Args:
        state: State of the replica.
        connections: Clients for the peers.
    """

    def __init__(
        self,
        state: _state.ReplicaState,
        connections: ports.PeerClientPool,
    ) -> None:
        self.state = state
        self.connections = connections

    async def lead(self) -> None:
        """Runs the tasks of the leader until it steps down."""
        leader_term = self.state.leader_term
        if leader_term is None:
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._replicate, leader_term)
            nursery.start_soon(self._commit_synced_entries)
            nursery.start_soon(self._check_quorum, leader_term)
            nursery.start_soon(self._change_membership, leader_term)
            await leader_term.ended.wait()
            nursery.cancel_scope.cancel()

    async def _replicate(self, leader_term: _leader_term.LeaderTerm) -> None:
        """Runs one task for each peer in the current replica set."""
        state = self.state
        cancel_scopes: dict[str, trio.CancelScope] = {}
        async with trio.open_nursery() as nursery:
            while True:
                members = {
                    member.replica_id: member
                    for member in state.log.replicas.members
                    if member.replica_id != leader_term.own_id
                }
                for removed in [
                    replica_id
                    for replica_id in cancel_scopes
                    if replica_id not in members
                ]:
                    cancel_scopes.pop(removed).cancel()
                    leader_term.progress.pop(removed, None)
                for added in [
                    replica_id
                    for replica_id in members
                    if replica_id not in cancel_scopes
                ]:
                    cancel_scopes[added] = trio.CancelScope()
                    nursery.start_soon(
                        self._replicate_to,
                        leader_term,
                        members[added],
                        cancel_scopes[added],
                    )
                # If voters were removed, fewer replicas make a majority.
                state.advance_commit()
                await state.replicas_changed.wait()

    async def _replicate_to(
        self,
        leader_term: _leader_term.LeaderTerm,
        member: model.ReplicaMember,
        scope: trio.CancelScope,
    ) -> None:
        client = self.connections.client(member.address)
        with scope:
            await _replication.PeerReplicator(
                self.state, leader_term, member, client
            ).run()

    async def _commit_synced_entries(self) -> None:
        """Advances the commit index whenever the leader's own log is synced."""
        while True:
            self.state.advance_commit()
            await self.state.journal.synced.wait()

    async def _check_quorum(self, leader_term: _leader_term.LeaderTerm) -> None:
        """Steps down when no majority has answered for the timeout."""
        timeout_s = self.state.env.settings.election_timeout_min_s
        while self.state.leader_term is leader_term:
            # Compares points in time. A remaining duration could be rounded to
            # a value above zero that is too small to advance the clock, so
            # that the loop would spin.
            due_s = self.state.quorum_contact_s() + timeout_s
            if due_s <= trio.current_time():
                self.state.step_down("no quorum")
                return
            await trio.sleep_until(due_s)

    async def _change_membership(
        self, leader_term: _leader_term.LeaderTerm
    ) -> None:
        """Promotes learners to voters and removes the voters they replace."""
        while True:
            if self.can_change_membership(leader_term):
                replicas = _membership.next_replica_set(
                    self.state.log.replicas,
                    leader_term.own_id,
                    self._is_caught_up,
                    self._is_silent,
                    self.state.env.settings.max_voters,
                )
                if replicas is not None:
                    self.append_replica_set(replicas)
            await leader_term.peer_acked.wait()

    def _is_silent(self, member: model.ReplicaMember) -> bool:
        leader_term = self.state.leader_term
        if leader_term is None or member.replica_id not in leader_term.progress:
            return False
        # At the start of a term no peer has answered the leader yet.
        last_ack_s = max(
            leader_term.progress[member.replica_id].acked_s,
            leader_term.started_s,
        )
        settings = self.state.env.settings
        return trio.current_time() - last_ack_s > settings.replace_silence_s

    def can_change_membership(
        self, leader_term: _leader_term.LeaderTerm
    ) -> bool:
        """Returns whether the leader may append a replica set.

        All earlier replica sets must be committed, and so must an entry of the
        leader's own term: otherwise two leaders could commit with majorities
        that do not overlap (Ongaro, raft-dev, "bug in single-server membership
        changes", 2015).
        """
        return (
            self.state.leader_term is leader_term
            and self.state.commit_index >= leader_term.first_index
            and self.state.commit_index >= self.state.log.replicas_index
        )

    def append_replica_set(self, replicas: model.ReplicaSet) -> model.LogEntry:
        """Appends a replica set, which takes effect before it is committed."""
        self.state.env.events.write(
            "replica:members_changed",
            index=self.state.log.last_index + 1,
            voters=[m.name for m in _leader_term.voters(replicas)],
            learners=[m.name for m in replicas.members if not m.voter],
        )
        return self.state.append_as_leader(
            model.EntryKind.REPLICAS, self.state.env.codec.encode(replicas)
        )

    def _is_caught_up(self, member: model.ReplicaMember) -> bool:
        leader_term = self.state.leader_term
        if leader_term is None or member.replica_id not in leader_term.progress:
            return False
        progress = leader_term.progress[member.replica_id]
        settings = self.state.env.settings
        lag = self.state.log.last_index - progress.match_index
        silence_s = trio.current_time() - progress.acked_s
        return (
            progress.match_index >= leader_term.first_index
            and lag <= settings.catch_up_entries
            and silence_s < settings.election_timeout_min_s
        )
