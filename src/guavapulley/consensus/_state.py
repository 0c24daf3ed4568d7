"""State shared by the tasks of a replica."""

from collections.abc import Sequence
import enum
import math
import random

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.consensus import _confirmations
from guavapulley.consensus import _errors
from guavapulley.consensus import _journal
from guavapulley.consensus import _leader_term
from guavapulley.consensus import _log
from guavapulley.consensus import _proposals
from guavapulley.consensus import _settings
from guavapulley.consensus import _signal


class Role(enum.StrEnum):
    """Role of a replica in its term, as reported in its status."""

    LEADER = "leader"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEARNER = "learner"


@attrs.frozen
class Environment:
    """Ports, addresses and settings of a replica; see `Replica`."""

    name: str
    address: model.NodeAddress
    peers: tuple[model.NodeAddress, ...]
    store: ports.LogStore
    dialer: ports.PeerDialer
    codec: ports.Codec
    state_machine: ports.StateMachine
    events: ports.EventLog
    metrics: ports.Metrics
    rng: random.Random
    settings: _settings.ConsensusSettings


class ReplicaState:
    """State of a replica, used by the tasks of a single trio run.

    Times are in seconds on trio's clock.

    Attributes:
        env: Ports, addresses and settings of the replica.
        peers: Peer addresses for requests for admission; they change when the
            settings are reloaded.
        identity: Identity, or None until the replica belongs to a cluster.
        term: Newest term seen.
        voted_for: Replica ID that this replica voted for in `term`, if any.
        saved_vote: The last stored term and vote.
        vote_lock: Held while term and vote are stored.
        journal: The log in memory, with the queue of writes to the store.
        role: Role; a learner has the role of a follower here.
        leader_id: Replica ID of the leader of `term`, if known.
        leader_contact_s: When a leader last made contact or the replica voted,
            or when the wait for the first contact began.
        recorded_quorum_contact_s: Last known contact with a quorum, apart from
            that of the current leader term.
        confirmations: Times at which a quorum confirmed the applied state,
            apart from those of the current leader term.
        commit_index: Index of the last entry known to be committed.
        applied_index: Index of the last applied entry.
        leading: State of the leader; None in other roles.
        proposals: Proposed commands whose results callers wait for.
        committed: Notified when `commit_index` rises.
        applied: Notified when `applied_index` rises.
        replicas_changed: Notified when the current replica set or the identity
            may have changed.
        failure: Reason why the replica does not run, or None while it runs.
    """

    def __init__(self, env: Environment) -> None:
        self.env = env
        self.peers: Sequence[model.NodeAddress] = env.peers
        self.identity: model.ReplicaIdentity | None = None
        self.term = 0
        self.voted_for: str | None = None
        self.saved_vote: tuple[int, str | None] = (0, None)
        self.vote_lock = trio.Lock()
        self.journal = _journal.Journal(_log.Log(env.codec), env.store)
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.leader_contact_s = -math.inf
        self.recorded_quorum_contact_s = -math.inf
        self.confirmations = _confirmations.Confirmations()
        self.commit_index = 0
        self.applied_index = 0
        self.leader_term: _leader_term.LeaderTerm | None = None
        self.proposals = _proposals.Proposals()
        self.committed = _signal.Signal()
        self.applied = _signal.Signal()
        self.replicas_changed = _signal.Signal()
        self.failure: str | None = None

    @property
    def log(self) -> _log.Log:
        """The log in memory."""
        return self.journal.log

    @property
    def own_id(self) -> str:
        """Own replica ID; empty until the replica belongs to a cluster."""
        return self.identity.replica_id if self.identity else ""

    @property
    def cluster_id(self) -> str:
        """Cluster ID; empty until the replica belongs to a cluster."""
        return self.identity.cluster_id if self.identity else ""

    def is_voter(self) -> bool:
        """Returns whether this replica is a voting member."""
        return _leader_term.is_voter(self.log.replicas, self.own_id)

    def find_member(self, replica_id: str | None) -> model.ReplicaMember | None:
        """Returns the member of the current replica set with a replica ID."""
        matching = (
            member
            for member in self.log.replicas.members
            if member.replica_id == replica_id
        )
        return next(matching, None)

    def leader_address(self) -> model.NodeAddress | None:
        """Returns the address of the leader, if it made contact recently."""
        silence_s = trio.current_time() - self.leader_contact_s
        if (
            self.leader_term is None
            and silence_s > self.env.settings.election_timeout_max_s
        ):
            return None
        member = self.find_member(self.leader_id)
        return member.address if member else None

    def quorum_contact_s(self) -> float:
        """Returns the time of the last known contact with a quorum."""
        if self.leader_term is None:
            return self.recorded_quorum_contact_s
        now = trio.current_time()
        contact_s = self.leader_term.quorum_contact_s(self.log.replicas, now)
        return max(contact_s, self.recorded_quorum_contact_s)

    def quorum_age_s(self) -> float:
        """Returns the seconds since a quorum confirmed the applied state.

        It is infinite if none has since the start. A replica that is in contact
        with a quorum but lacks committed entries decides on an old state.
        """
        confirmed_s = self.confirmations.newest_s(self.applied_index)
        if self._has_applied_earlier_terms():
            confirmed_s = max(confirmed_s, self.quorum_contact_s())
        return trio.current_time() - confirmed_s

    def _has_applied_earlier_terms(self) -> bool:
        """Returns whether this is a leader that has all earlier commands.

        A leader knows which entries of earlier terms are committed once the
        first one of its own term is.
        """
        leader_term = self.leader_term
        return (
            leader_term is not None
            and self.applied_index >= leader_term.first_index
        )

    async def adopt_term(self, term: int) -> None:
        """Adopts a newer term and returns once it is durable.

        The term changes in memory before it is durable, so that no message of
        an older term is accepted during the sync.
        """
        if term > self.term:
            self.step_down("newer term")
            self.term, self.voted_for = term, None
            self.leader_id = None
        await self.save_vote()

    async def save_vote(self) -> None:
        """Returns once the current or a newer term and vote are durable.

        Raises:
            DiskError: The store failed.
        """
        if self.saved_vote == (self.term, self.voted_for):
            return
        async with self.vote_lock:
            vote = (self.term, self.voted_for)
            if self.saved_vote != vote:
                await self.env.store.save_vote(*vote)
                self.saved_vote = vote

    def step_down(self, reason: str) -> None:
        """Becomes a follower, and ends the leader term if there is one."""
        if self.leader_term is not None:
            self.recorded_quorum_contact_s = self.quorum_contact_s()
            if self._has_applied_earlier_terms():
                self.confirmations.record(
                    self.commit_index,
                    self.recorded_quorum_contact_s,
                    self.applied_index,
                )
            self.leader_term.ended.set()
            self.leader_term.peer_acked.notify()
            self.committed.notify()
            self.leader_term = None
            self.leader_id = None
            self.leader_contact_s = trio.current_time()
            self.env.events.write(
                "replica:stepped_down", term=self.term, reason=reason
            )
        self.role = Role.FOLLOWER

    def record_leader_contact(
        self, leader_id: str, quorum_age_s: float, commit_index: int
    ) -> None:
        """Records contact from the leader of the current term.

        Args:
            leader_id: Replica ID of the leader.
            quorum_age_s: Seconds since a quorum confirmed the leader's state.
            commit_index: Index of the last entry that the leader has committed.
        """
        now = trio.current_time()
        if self.leader_id != leader_id:
            self.env.events.write(
                "replica:follows", term=self.term, leader=leader_id
            )
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.leader_contact_s = now
        self.recorded_quorum_contact_s = max(
            self.recorded_quorum_contact_s, now - quorum_age_s
        )
        self.confirmations.record(
            commit_index, now - quorum_age_s, self.applied_index
        )

    def commit(self, index: int) -> None:
        """Raises the commit index to an index, unless it is already higher."""
        if index > self.commit_index:
            self.commit_index = index
            self.committed.notify()

    def advance_commit(self) -> None:
        """Commits the entries that are durable at a majority, as leader.

        Only an entry of the leader's own term is committed by counting
        replicas (Raft paper, 5.4.2). The leader counts itself only for entries
        that are synced in its own log.
        """
        if self.leader_term is None:
            return
        index = self.leader_term.majority_match_index(
            self.log.replicas, self.journal.synced_index
        )
        if (
            index > self.commit_index
            and self.log.term_at(index) == self.leader_term.term
        ):
            self.commit(index)

    def append_as_leader(
        self, kind: model.EntryKind, payload: bytes
    ) -> model.LogEntry:
        """Appends an entry of the leader term and notifies its tasks."""
        leader_term = self.leader_term
        assert leader_term is not None
        entry = model.LogEntry(
            self.log.last_index + 1, leader_term.term, kind, payload
        )
        self.journal.append([entry])
        if kind is model.EntryKind.REPLICAS:
            self.replicas_changed.notify()
        leader_term.work_available.notify()
        return entry

    def check_addressee(self, cluster_id: str, target: str) -> None:
        """Checks the cluster ID and the target replica ID of a message.

        Raises:
            ConsensusError: The message is not for this replica.
        """
        if self.identity is None or cluster_id != self.identity.cluster_id:
            raise _errors.ConsensusError(
                _errors.WRONG_CLUSTER,
                f"{self.env.name} does not belong to cluster {cluster_id}",
            )
        if target != self.identity.replica_id:
            raise _errors.ConsensusError(
                _errors.WRONG_REPLICA,
                f"{self.env.name} is not replica {target}",
            )

    def check_running(self) -> None:
        """Raises `ConsensusError` unless the replica is running."""
        if self.failure is not None:
            raise _errors.ConsensusError(_errors.REPLICA_STOPPED, self.failure)
