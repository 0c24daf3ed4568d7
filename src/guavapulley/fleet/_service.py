"""Service of a control replica for upstreams, operators and entries."""

import math

import attrs
import trio

from guavapulley import consensus
from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.fleet import _changes
from guavapulley.fleet import _liveness
from guavapulley.fleet import _machine

COMMAND_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 1.0
# A replica whose state no quorum has confirmed for longer than this rejects
# renewals of upstreams; equals three missed heartbeats of the leader.
MAX_QUORUM_AGE_S = 0.9

INCARNATION_UNCERTAIN = errors.register_code(
    "INCARNATION_UNCERTAIN",
    "The replica cannot tell which incarnation of an upstream leaves; the call"
    " has had no effect and can be repeated.",
)


class FleetService:
    """One control replica with the fleet state (`ports.PeerHandler`).

    Args:
        replica: Replica of the log.
        machine: State machine of the replica.
        codec: Codec of commands.
        dialer: Makes clients of the leader.
        events: Event log for verdicts and failures.
        required_voters: Number of voters that must have joined before a
            command is accepted, so that the command survives the loss of the
            number of disks that the settings allow for.
    """

    def __init__(
        self,
        replica: consensus.Replica,
        machine: _machine.FleetStateMachine,
        codec: ports.Codec,
        dialer: ports.PeerDialer,
        events: ports.EventLog,
        required_voters: int,
    ) -> None:
        self.replica = replica
        self.machine = machine
        self.codec = codec
        self.events = events
        self.required_voters = required_voters
        self.clients = ports.PeerClientPool(dialer)
        self.liveness = _liveness.LivenessTracker(self)
        self.encoder = _changes.ChangesEncoder(machine, codec)

    async def run(self) -> None:
        """Tracks the liveness of upstreams and entries until cancelled."""
        await self.liveness.run()

    async def handle(self, request: model.PeerMessage) -> model.PeerMessage:
        """Returns the reply to a call; see `ports.PeerHandler`."""
        match request:
            case model.ProposeCommand():
                return await self._propose_as_leader(request)
            case model.WatchFleet():
                return await self._watch(request)
            case model.ReportHeard():
                self.liveness.record_contacts(request.upstreams, request.nodes)
                return model.Acknowledged()
            case model.ReadIndex():
                index = await self.replica.read_index(READ_TIMEOUT_S)
                return model.ReadIndexReply(index)
        return await self.replica.handle(request)

    async def propose(self, command: model.FleetCommand) -> model.FleetVerdict:
        """Proposes a command to the leader and returns its verdict.

        Raises:
            ConsensusError: No leader is known or too few voters have joined, or
                the command was not committed in time and may still take effect.
            PeerError: The leader did not answer; the command may have taken
                effect.
        """
        request = model.ProposeCommand(command)
        leadership = self.replica.leadership()
        if leadership.is_leader:
            return await self._propose_as_leader(request)
        if leadership.leader is None:
            raise consensus.NoQuorumError("no leader is known", appended=False)
        reply = await self.clients.client(leadership.leader).call(
            request, COMMAND_TIMEOUT_S
        )
        assert isinstance(reply, model.FleetVerdict)
        return reply

    async def _propose_as_leader(
        self, request: model.ProposeCommand
    ) -> model.FleetVerdict:
        replicas = self.replica.status().replicas
        voters = sum(member.voter for member in replicas.members)
        if voters < self.required_voters:
            raise consensus.NoQuorumError(
                f"{voters} of {self.required_voters} required voters have"
                " joined",
                appended=False,
            )
        result = await self.replica.propose(
            self.codec.encode(request), COMMAND_TIMEOUT_S
        )
        assert isinstance(result, model.FleetVerdict)
        self.events.write(
            "fleet:decided",
            command=type(request.command).__name__,
            accepted=result.accepted,
            version=result.version,
            reason=result.message,
        )
        return result

    async def propose_as_leader(
        self, command: model.FleetCommand
    ) -> model.FleetVerdict:
        """Proposes a command that only the current leader may decide on.

        Raises:
            ConsensusError: This replica does not lead, too few voters have
                joined, or the command was not committed in time.
        """
        return await self._propose_as_leader(model.ProposeCommand(command))

    async def set_evacuation(
        self, failure_domain: str, *, evacuated: bool
    ) -> model.FleetVerdict:
        """Evacuates a failure domain, or lets it receive requests again.

        The command may reach the leader long after its caller has sent the
        order again to another replica. It is therefore based on a state that
        this replica had while the caller waited: the caller must cancel this
        call when it no longer waits, which the read barrier allows for.

        Raises:
            ConsensusError: No quorum confirmed the order in time.
            PeerError: The leader did not answer; the order may have taken
                effect.
        """
        while True:
            base_index = self.machine.state.index
            await self._await_read_barrier()
            verdict = await self.propose(
                model.SetEvacuation(failure_domain, evacuated, base_index)
            )
            if not verdict.conflict:
                return verdict
            # Another order was applied meanwhile. This one is still waited
            # for, so that it is the newer one.

    async def remove_upstream(
        self, command: model.RemoveUpstream
    ) -> model.FleetVerdict:
        """Removes an upstream that leaves.

        A command for any incarnation removes the one that is known while the
        caller waits, so that a late copy does not remove a newer one.

        Raises:
            ConsensusError: The command was not committed in time.
            FleetError: This replica cannot tell which incarnation leaves
                (`INCARNATION_UNCERTAIN`); nothing was removed.
            PeerError: The leader did not answer; the command may have taken
                effect.
        """
        if command.incarnation is None:
            incarnation = await self._find_leaving(command.upstream)
            if incarnation is None:
                version = self.machine.state.routing.version
                return model.FleetVerdict(accepted=True, version=version)
            command = attrs.evolve(command, incarnation=incarnation)
        return await self.propose(command)

    async def _find_leaving(self, name: str) -> int | None:
        """Returns the incarnation of an upstream whose removal is requested.

        Returns:
            The incarnation, also if it has expired, as a late renewal would
            record it again; None if the upstream is not known.

        Raises:
            ConsensusError: No quorum confirmed the incarnation in time.
            FleetError: The incarnation changed during the wait
                (`INCARNATION_UNCERTAIN`). Either the state of this replica was
                old and the new incarnation leaves, or the call is a late copy
                and the earlier one has left.
        """
        known = self.machine.last_incarnation(name)
        await self._await_read_barrier()
        current = self.machine.last_incarnation(name)
        if known == current:
            return current
        self.events.write(
            "fleet:incarnation_uncertain",
            upstream=name,
            incarnation=current,
            known=known,
        )
        raise _machine.FleetError(
            INCARNATION_UNCERTAIN,
            f"another incarnation of {name} was recorded meanwhile",
        )

    async def renew_upstream(self, record: model.UpstreamRecord) -> None:
        """Handles the renewal of an upstream.

        Returns once a changed record is committed. A renewal that changes
        nothing is not proposed, so the log grows only with changes.

        Raises:
            ConsensusError: This replica had no recent contact with a quorum, or
                the change was not committed.
            PeerError: The leader did not answer.
        """
        self.check_quorum()
        existing = self.machine.upstream(record.upstream)
        if existing is None or not _is_redundant_renewal(existing, record):
            await self.propose(model.RecordUpstream(record))
        self.liveness.record_upstream(record.upstream)

    def check_quorum(self) -> None:
        """Checks that a quorum confirmed the state of this replica recently.

        Raises:
            NoQuorumError: The state is older than `MAX_QUORUM_AGE_S`.
        """
        age_s = self.replica.leadership().quorum_age_s
        if age_s > MAX_QUORUM_AGE_S:
            raise consensus.NoQuorumError(
                f"no quorum has confirmed the state for {age_s:.1f} s",
                appended=False,
            )

    def has_caught_up(self) -> bool:
        """Returns whether the state is at least of the time of the start.

        A replica that knows no leader cannot tell: its state may be the newest
        one that there is.
        """
        leadership = self.replica.leadership()
        return leadership.leader is None or math.isfinite(
            leadership.quorum_age_s
        )

    async def read(self) -> model.FleetState:
        """Returns a state that contains all commands accepted before the call.

        Raises:
            ConsensusError: No leader is known, no majority confirmed it in
                time, or this replica did not catch up in time.
        """
        await self._await_read_barrier()
        return self.machine.state

    async def _await_read_barrier(self) -> None:
        await consensus.await_read_barrier(
            self.replica, self.clients.client, READ_TIMEOUT_S
        )

    async def _watch(self, request: model.WatchFleet) -> model.FleetUpdate:
        if request.node is not None:
            await self._record_node(request.node, request.after)
        with trio.move_on_after(request.wait_s):
            while self.machine.state.index <= request.after:
                applied = self.replica.status().applied_index
                await self.replica.wait_applied(applied + 1)
        replicas = self.replica.status().replicas
        return model.FleetUpdate(
            self.machine.state.index,
            self.encoder.encode_after(request.after),
            self.replica.leadership().quorum_age_s,
            tuple(member.address for member in replicas.members),
        )

    async def _record_node(
        self, node: model.NodeRecord, base_index: int
    ) -> None:
        self.liveness.record_node(node.name)
        if node in self.machine.state.nodes:
            return
        try:
            await self.propose(model.RecordNode(node, base_index))
        except (consensus.ConsensusError, ports.PeerError) as error:
            # The next watch of the entry proposes the record again.
            self.events.write(
                "fleet:node_not_recorded", entry=node.name, code=error.code
            )


def _is_redundant_renewal(
    existing: model.UpstreamRecord, record: model.UpstreamRecord
) -> bool:
    """Returns whether a renewal changes nothing that must be recorded.

    Sequence number and load change with every renewal and are not compared.
    """
    if record.version() <= existing.version():
        return True
    renewed = attrs.evolve(
        record,
        sequence=existing.sequence,
        cold_s=existing.cold_s,
        load=existing.load,
    )
    # An increase of the cold time and its end must be recorded: an entry that
    # starts later would count the recorded time from its own start. Values in
    # between follow from the clock.
    became_warm = existing.cold_s > 0 and record.cold_s == 0
    return (
        renewed == existing
        and record.cold_s <= existing.cold_s
        and not became_warm
    )
