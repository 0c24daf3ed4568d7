"""One replica of the replicated log."""

from collections.abc import Sequence
import random

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.consensus import _applier
from guavapulley.consensus import _election
from guavapulley.consensus import _errors
from guavapulley.consensus import _follower
from guavapulley.consensus import _joining
from guavapulley.consensus import _leader
from guavapulley.consensus import _leader_term
from guavapulley.consensus import _monitored_store
from guavapulley.consensus import _settings
from guavapulley.consensus import _state


@attrs.frozen
class Leadership:
    """The current term and leader, as seen by one replica.

    Attributes:
        term: Newest term that the replica has seen.
        is_leader: Whether the replica leads in this term.
        leader: Peer address of the leader, if known.
        quorum_age_s: Seconds since a quorum last confirmed the applied state;
            infinite if none has since the start. A follower takes it from the
            leader's messages, without their delay on the network, which it
            does not know.
    """

    term: int
    is_leader: bool
    leader: model.NodeAddress | None
    quorum_age_s: float


class Replica:
    """One replica of the log, by Raft (Ongaro and Ousterhout, 2014).

    Args:
        name: Name of the VM. A replica that joins with a new ID replaces the
            one that had the same name.
        address: Own peer address.
        peers: Peer addresses of all configured replicas.
        store: Durable log.
        dialer: Creates clients for peers.
        codec: Encodes replica sets and snapshots.
        state_machine: Applies the committed commands. Its `apply` must not
            raise, because it would raise on every replica.
        events: Event log.
        metrics: Metrics.
        rng: Source of random timeouts and IDs.
        settings: Timeouts and limits; defaults if None.
    """

    def __init__(
        self,
        name: str,
        address: model.NodeAddress,
        peers: Sequence[model.NodeAddress],
        store: ports.LogStore,
        dialer: ports.PeerDialer,
        codec: ports.Codec,
        state_machine: ports.StateMachine,
        events: ports.EventLog,
        metrics: ports.Metrics,
        rng: random.Random,
        settings: _settings.ConsensusSettings | None = None,
    ) -> None:
        self.store = _monitored_store.MonitoredStore(store)
        env = _state.Environment(
            name,
            address,
            tuple(peers),
            self.store,
            dialer,
            codec,
            state_machine,
            events,
            metrics,
            rng,
            settings or _settings.ConsensusSettings(),
        )
        self.state = _state.ReplicaState(env)
        self.state.failure = "the replica has not been started"
        self.connections = ports.PeerClientPool(dialer)
        self.follower = _follower.Follower(self.state)
        self.leader = _leader.Leader(self.state, self.connections)
        self.joiner = _joining.ClusterJoiner(
            self.state, self.connections, self.leader
        )
        self.elections = _election.Elections(
            self.state, self.connections, self.leader.lead
        )
        self.applier = _applier.Applier(self.state)

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Loads the store and runs the replica until cancelled.

        Args:
            task_status: Reports the start once the store is loaded.

        Raises:
            ConsensusError: The store failed (`DISK_FAILED`) or is damaged
                (`LOG_CORRUPT`). The process must end, because the state of its
                files is unknown.
        """
        reason = "the replica has stopped"
        try:
            await self._run_tasks(task_status)
        except ports.DiskError as error:
            reason = str(error)
            raise _wrap_disk_error(error) from error
        except BaseExceptionGroup as group:
            failure = self.store.error
            if failure is None:
                raise
            reason = str(failure)
            raise _wrap_disk_error(failure) from group
        finally:
            self._stop(reason)
            await self.connections.aclose()

    async def _run_tasks(self, task_status: trio.TaskStatus[None]) -> None:
        await self._load()
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.store.raise_on_failure)
            nursery.start_soon(self.state.journal.run)
            nursery.start_soon(self.applier.run)
            nursery.start_soon(self.applier.make_snapshots)
            nursery.start_soon(self.joiner.run)
            nursery.start_soon(self.elections.run)

    async def _load(self) -> None:
        """Restores the state of the replica from the store."""
        state = self.state
        stored = await state.env.store.load()
        if stored.identity is None and stored.entries:
            # The process ended while it created a cluster, before it stored
            # the identity.
            await state.env.store.truncate_from(1)
            stored = attrs.evolve(stored, entries=())
        state.identity = stored.identity
        state.term, state.voted_for = stored.term, stored.voted_for
        state.saved_vote = (stored.term, stored.voted_for)
        if stored.snapshot is not None:
            state.log.reset(stored.snapshot)
            state.env.state_machine.restore(stored.snapshot.state)
            state.applied_index = state.commit_index = stored.snapshot.index
        state.log.append(stored.entries)
        state.journal.synced_index = state.log.last_index
        state.leader_contact_s = trio.current_time()
        state.failure = None

    def _stop(self, reason: str) -> None:
        self.state.step_down(reason)
        self.state.failure = reason
        self.state.proposals.fail_all(reason)
        self.state.committed.notify()
        self.state.applied.notify()
        self.state.journal.synced.notify()

    async def create_cluster(self, *, peers_may_be_down: bool = False) -> None:
        """Creates a cluster with this replica as its only member.

        Args:
            peers_may_be_down: Create the cluster even if a configured peer
                does not answer. If that peer already belongs to a cluster,
                there are then two clusters.

        Raises:
            ConsensusError: This replica or a configured peer already belongs
                to a cluster (`CLUSTER_EXISTS`), or a peer does not answer
                (`CLUSTER_UNCERTAIN`).
        """
        self.state.check_running()
        try:
            await self.joiner.create_cluster(
                peers_may_be_down=peers_may_be_down
            )
        except ports.DiskError as error:
            raise _wrap_disk_error(error) from error

    async def propose(self, payload: bytes, timeout_s: float) -> object:
        """Appends a command and returns its result once it is applied.

        Args:
            payload: Command for the state machine.
            timeout_s: Timeout in seconds.

        Returns:
            The result of `StateMachine.apply`.

        Raises:
            NotLeaderError: Another replica leads; nothing was appended.
            NoQuorumError: The command was not committed in time; `appended`
                tells whether it may still take effect.
            ConsensusError: The command is too large, or the replica has
                stopped.
        """
        self._require_leader_term()
        self._check_limits(payload)
        started_s = trio.current_time()
        entry = self.state.append_as_leader(model.EntryKind.COMMAND, payload)
        proposal = self.state.proposals.add(entry)
        try:
            with trio.move_on_after(timeout_s):
                await proposal.done.wait()
        finally:
            self.state.proposals.discard(entry.index, proposal)
        if not proposal.done.is_set():
            raise _errors.NoQuorumError(
                "no majority confirmed the command in time", appended=True
            )
        if proposal.error is not None:
            raise proposal.error
        elapsed_ms = (trio.current_time() - started_s) * 1000
        self.state.env.metrics.timing("replica.commit", elapsed_ms)
        return proposal.result

    def _check_limits(self, payload: bytes) -> None:
        """Checks the size of a command and that of the log.

        Raises:
            ConsensusError: A limit is exceeded; the command is not appended.
        """
        settings = self.state.env.settings
        if len(payload) > settings.max_command_bytes:
            raise _errors.ConsensusError(
                _errors.COMMAND_TOO_LARGE,
                f"{len(payload)} bytes exceed the command size limit of"
                f" {settings.max_command_bytes}",
            )
        uncommitted = self.state.log.last_index - self.state.commit_index
        if uncommitted >= settings.max_uncommitted_entries:
            raise _errors.NoQuorumError(
                f"{uncommitted} entries already wait for a quorum",
                appended=False,
            )
        if self.state.log.payload_bytes >= settings.max_log_bytes:
            raise _errors.NoQuorumError(
                f"{self.state.log.payload_bytes} bytes of commands wait for a"
                " quorum, a sync or a snapshot",
                appended=False,
            )

    async def read_index(self, timeout_s: float) -> int:
        """Returns an applied index that covers every entry committed before.

        Leaders only. A majority confirms that this replica still leads, and
        the state machine then contains every entry that was committed before
        the call (Ongaro, 6.4).

        Args:
            timeout_s: Timeout in seconds.

        Raises:
            NotLeaderError: Another replica leads.
            NoQuorumError: No majority confirmed the leader in time.
        """
        leader_term = self._require_leader_term()
        state = self.state
        index = 0
        with trio.move_on_after(timeout_s):
            await state.committed.wait_until(
                lambda: (
                    state.commit_index >= leader_term.first_index
                    or leader_term.ended.is_set()
                )
            )
            index = state.commit_index
            target_round = leader_term.start_round()
            await leader_term.peer_acked.wait_until(
                lambda: (
                    leader_term.confirmed_round(state.log.replicas)
                    >= target_round
                    or leader_term.ended.is_set()
                )
            )
            await self.wait_applied(index)
            if state.leader_term is leader_term:
                return index
        self._require_leader_term()
        raise _errors.NoQuorumError(
            "no majority confirmed the leader in time", appended=False
        )

    def _require_leader_term(self) -> _leader_term.LeaderTerm:
        self.state.check_running()
        if self.state.leader_term is not None:
            return self.state.leader_term
        leader = self.state.leader_address()
        if leader is not None:
            raise _errors.NotLeaderError(leader)
        raise _errors.NoQuorumError("no leader is known", appended=False)

    async def wait_applied(self, index: int) -> int:
        """Waits until the state machine has applied an index.

        Args:
            index: Log index. There is no timeout; the caller sets one.

        Returns:
            The last index applied.

        Raises:
            ConsensusError: The replica has stopped.
        """
        state = self.state
        await state.applied.wait_until(
            lambda: state.applied_index >= index or state.failure is not None
        )
        state.check_running()
        return state.applied_index

    async def handle(self, message: model.PeerMessage) -> model.PeerMessage:
        """Handles a message from a peer and returns the reply.

        Raises:
            ConsensusError: The message is rejected or of an unknown type, or
                the replica has stopped.
        """
        self.state.check_running()
        try:
            return await self._dispatch(message)
        except ports.DiskError as error:
            raise _wrap_disk_error(error) from error

    async def _dispatch(self, message: model.PeerMessage) -> model.PeerMessage:
        match message:
            case model.AppendEntries():
                return await self.follower.append_entries(message)
            case model.RequestVote():
                return await self.follower.request_vote(message)
            case model.InstallSnapshot():
                return await self.follower.install_snapshot(message)
            case model.JoinCluster():
                return await self.joiner.admit(message)
            case model.GetStatus():
                return self.status()
        raise _errors.ConsensusError(
            _errors.MESSAGE_UNKNOWN,
            f"the replica does not handle {type(message).__name__}",
        )

    def leadership(self) -> Leadership:
        """Returns the current term and leader, as seen by this replica."""
        state = self.state
        return Leadership(
            state.term,
            state.leader_term is not None,
            state.leader_address(),
            state.quorum_age_s(),
        )

    def status(self) -> model.ReplicaStatus:
        """Returns the status; the revision is left to the state machine."""
        state = self.state
        role = state.role
        if role is _state.Role.FOLLOWER and not state.is_voter():
            role = _state.Role.LEARNER
        return model.ReplicaStatus(
            state.identity,
            role,
            state.term,
            state.leader_address(),
            state.log.last_index,
            state.commit_index,
            state.applied_index,
            0,
            state.quorum_age_s(),
            state.log.replicas,
        )


def _wrap_disk_error(error: ports.DiskError) -> _errors.ConsensusError:
    return _errors.ConsensusError(error.code, error.message, **error.details)
