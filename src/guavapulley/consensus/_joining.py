"""Creation of a cluster, and admission of replicas to an existing one."""

from collections.abc import Iterator
import math

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.consensus import _errors
from guavapulley.consensus import _leader
from guavapulley.consensus import _membership
from guavapulley.consensus import _state

ID_BITS = 128


class ClusterJoiner:
    """Joins this replica to a cluster and, as leader, admits others.

    Args:
        state: State of the replica.
        connections: Clients for the peers.
        leader: Appends the changed replica sets to the log.

    Attributes:
        lock: Held while this replica gets its identity.
        replica_id: Replica ID to use if the store holds no identity.
    """

    def __init__(
        self,
        state: _state.ReplicaState,
        connections: ports.PeerClientPool,
        leader: _leader.Leader,
    ) -> None:
        self.state = state
        self.connections = connections
        self.leader = leader
        self.lock = trio.Lock()
        self.replica_id = self._random_id()

    def _random_id(self) -> str:
        return f"{self.state.env.rng.getrandbits(ID_BITS):032x}"

    async def create_cluster(self, *, peers_may_be_down: bool) -> None:
        """Creates a cluster; see `Replica.create_cluster`."""
        async with self.lock:
            if self.state.identity is not None:
                raise _errors.ConsensusError(
                    _errors.CLUSTER_EXISTS,
                    "this replica already belongs to a cluster",
                )
            for address in self._peer_addresses():
                await self._check_not_in_cluster(address, peers_may_be_down)
            await self._bootstrap_cluster()

    def _peer_addresses(self) -> Iterator[model.NodeAddress]:
        own_address = self.state.env.address
        return (
            address
            for address in tuple(self.state.peers)
            if address != own_address
        )

    async def _check_not_in_cluster(
        self, address: model.NodeAddress, peers_may_be_down: bool
    ) -> None:
        client = self.connections.client(address)
        timeout_s = self.state.env.settings.call_timeout_s
        try:
            status = await client.call(model.GetStatus(), timeout_s)
        except ports.PeerError as error:
            if peers_may_be_down:
                return
            raise _errors.ConsensusError(
                _errors.CLUSTER_UNCERTAIN,
                f"{address} did not answer and may already belong to a cluster",
                peer=str(address),
            ) from error
        if isinstance(status, model.ReplicaStatus) and status.identity:
            raise _errors.ConsensusError(
                _errors.CLUSTER_EXISTS,
                f"{address} belongs to a cluster; let this replica join it",
                peer=str(address),
                cluster=status.identity.cluster_id,
            )

    async def _bootstrap_cluster(self) -> None:
        """Writes the first log entry, then the identity.

        An entry without an identity is discarded at the next start.
        """
        state = self.state
        member = model.ReplicaMember(
            self.replica_id, state.env.name, state.env.address, voter=True
        )
        payload = state.env.codec.encode(model.ReplicaSet((member,)))
        state.term, state.voted_for = 1, self.replica_id
        await state.save_vote()
        state.journal.append(
            [model.LogEntry(1, 1, model.EntryKind.REPLICAS, payload)]
        )
        await state.journal.synced.wait_until(
            lambda: state.journal.synced_index >= 1
        )
        await self._save_identity(self._random_id())

    async def _save_identity(self, cluster_id: str) -> None:
        state = self.state
        identity = model.ReplicaIdentity(
            cluster_id, self.replica_id, state.env.name
        )
        await state.env.store.save_identity(identity)
        state.identity = identity
        # A replica that creates a cluster has no leader to wait for, so that
        # it campaigns at once.
        state.leader_contact_s = -math.inf
        state.replicas_changed.notify()
        state.env.events.write("replica:joined", cluster=cluster_id)

    async def run(self) -> None:
        """Requests admission whenever this replica may not be a member.

        That is the case before it has an identity, and when no leader has made
        contact for `rejoin_silence_s`: it may have been replaced by another
        replica.
        """
        settings = self.state.env.settings
        while True:
            if self._should_join():
                for address in tuple(self._peer_addresses()):
                    if await self._request_admission(address):
                        break
            await trio.sleep(settings.join_interval_s)

    def _should_join(self) -> bool:
        state = self.state
        if state.identity is None:
            return True
        silence_s = trio.current_time() - state.leader_contact_s
        return (
            state.leader_term is None
            and math.isfinite(silence_s)
            and silence_s > state.env.settings.rejoin_silence_s
        )

    async def _request_admission(self, address: model.NodeAddress) -> bool:
        """Requests admission from one peer, then from the leader it names."""
        reply = await self._call_join(address)
        if reply is not None and not reply.accepted and reply.leader:
            reply = await self._call_join(reply.leader)
        if reply is None or not reply.accepted:
            return False
        async with self.lock:
            if self.state.identity is None:
                await self._save_identity(reply.cluster_id)
        return True

    async def _call_join(
        self, address: model.NodeAddress
    ) -> model.JoinReply | None:
        env = self.state.env
        replica_id = self.state.own_id or self.replica_id
        request = model.JoinCluster(replica_id, env.name, env.address)
        timeout_s = env.settings.join_timeout_s + env.settings.call_timeout_s
        try:
            reply = await self.connections.client(address).call(
                request, timeout_s
            )
        except ports.PeerError as error:
            env.events.write(
                "replica:join_failed", peer=str(address), code=error.code
            )
            return None
        return reply if isinstance(reply, model.JoinReply) else None

    async def admit(self, request: model.JoinCluster) -> model.JoinReply:
        """Adds a replica as learner and returns once that is committed.

        Only a leader without an open membership change accepts the request.

        Raises:
            ConsensusError: Another running replica has the same name.
        """
        state = self.state
        rejection = model.JoinReply(
            state.cluster_id, False, state.leader_address()
        )
        leader_term = state.leader_term
        if leader_term is None or not self.leader.can_change_membership(
            leader_term
        ):
            return rejection
        if self._name_in_use(request):
            raise _errors.ConsensusError(
                _errors.NAME_IN_USE,
                f"a running replica already has the name {request.name}",
            )
        replicas = _membership.add_learner(state.log.replicas, request)
        if replicas is not None:
            entry = self.leader.append_replica_set(replicas)
            with trio.move_on_after(state.env.settings.join_timeout_s):
                await state.committed.wait_until(
                    lambda: state.commit_index >= entry.index
                )
            if (
                state.commit_index < entry.index
                or state.leader_term is not leader_term
            ):
                return rejection
        return attrs.evolve(rejection, accepted=True)

    def _name_in_use(self, request: model.JoinCluster) -> bool:
        """Returns whether a running replica has the name but another ID."""
        state, leader_term = self.state, self.state.leader_term
        if leader_term is None:
            return False
        recent_since_s = (
            trio.current_time() - state.env.settings.election_timeout_min_s
        )
        return any(
            member.name == request.name
            and member.replica_id != request.replica_id
            and (
                member.replica_id == leader_term.own_id
                or leader_term.progress[member.replica_id].acked_s
                > recent_since_s
            )
            for member in state.log.replicas.members
            if member.replica_id == leader_term.own_id
            or member.replica_id in leader_term.progress
        )
