"""Fleet state at one control replica, for upstreams, operators and entries."""

import attrs
import trio

from guavapulley import consensus
from guavapulley import model
from guavapulley import ports
from guavapulley.fleet import _machine
from guavapulley.fleet import _presence

COMMAND_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 1.0
# A replica that heard of a quorum within this time serves upstreams; three
# missed heartbeats of the leader.
MAX_QUORUM_AGE_S = 0.9


class FleetService:
    """One control replica with the fleet state (`ports.PeerHandler`).

    Args:
        replica: Replica of the log.
        machine: Its state machine.
        codec: Codec of commands.
        dialer: Makes clients of the leader.
        events: Receives decisions.
        required_voters: Voters that must exist before a command is accepted,
            so that it survives the loss of as many disks as promised.
    """

    def __init__(
        self,
        replica: consensus.Replica,
        machine: _machine.FleetMachine,
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
        self.clients = ports.PeerClients(dialer)
        self.presence = _presence.Presence(self)

    async def run(self) -> None:
        """Reports and expires upstreams and entries until cancelled."""
        await self.presence.run()

    async def handle(self, request: model.PeerMessage) -> model.PeerMessage:
        """Returns the reply to a call; see `ports.PeerHandler`."""
        match request:
            case model.ProposeCommand():
                return await self._append(request)
            case model.WatchFleet():
                return await self._watch(request)
            case model.ReportHeard():
                self.presence.note(request.upstreams, request.nodes)
                return model.Acknowledged()
            case model.ReadIndex():
                index = await self.replica.read_index(READ_TIMEOUT_S)
                return model.ReadIndexReply(index)
        return await self.replica.handle(request)

    async def propose(self, command: model.FleetCommand) -> model.FleetVerdict:
        """Has the leader decide on a command.

        Raises:
            ConsensusError: No leader, or not committed in time; the command
                may still take effect.
            PeerError: The leader did not answer; the command may have taken
                effect.
        """
        request = model.ProposeCommand(command)
        leadership = self.replica.leadership()
        if leadership.is_leader:
            return await self._append(request)
        if leadership.leader is None:
            raise consensus.NoQuorumError("no leader is known", appended=False)
        reply = await self.clients.client(leadership.leader).call(
            request, COMMAND_TIMEOUT_S
        )
        assert isinstance(reply, model.FleetVerdict)
        return reply

    async def _append(
        self, request: model.ProposeCommand
    ) -> model.FleetVerdict:
        replicas = self.replica.status().replicas
        voters = sum(member.voter for member in replicas.members)
        if voters < self.required_voters:
            raise consensus.NoQuorumError(
                f"{voters} of {self.required_voters} voters have joined",
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

    async def heard_upstream(self, record: model.UpstreamRecord) -> None:
        """Takes a renewal of an upstream and returns once it is known.

        A renewal without news is not proposed, so that the log grows only with
        changes.

        Raises:
            ConsensusError: No quorum is known here, or no leader.
            PeerError: The leader did not answer.
        """
        self.check_quorum()
        known = self.machine.upstream(record.upstream)
        if known is None or not _says_the_same(known, record):
            await self.propose(model.RecordUpstream(record))
        self.presence.heard_upstream(record.upstream)

    def check_quorum(self) -> None:
        """Raises `NoQuorumError` unless a quorum was heard of recently."""
        age_s = self.replica.leadership().quorum_age_s
        if age_s > MAX_QUORUM_AGE_S:
            raise consensus.NoQuorumError(
                f"no quorum was heard of for {age_s:.1f} s", appended=False
            )

    async def read(self) -> model.FleetState:
        """Returns a state that holds all commands accepted before the call.

        Raises:
            ConsensusError: No majority confirmed it in time.
        """
        await consensus.await_read_barrier(
            self.replica, self.clients.client, READ_TIMEOUT_S
        )
        return self.machine.state

    async def _watch(self, request: model.WatchFleet) -> model.FleetUpdate:
        if request.node is not None:
            await self._note_node(request.node)
        with trio.move_on_after(request.wait_s):
            while self.machine.state.index <= request.after:
                applied = self.replica.status().applied_index
                await self.replica.wait_applied(applied + 1)
        state = self.machine.state
        changes = self.machine.changes_after(request.after)
        replicas = self.replica.status().replicas
        return model.FleetUpdate(
            state.index,
            state if changes is None or request.after == 0 else None,
            () if changes is None or request.after == 0 else changes,
            self.replica.leadership().quorum_age_s,
            tuple(member.address for member in replicas.members),
        )

    async def _note_node(self, node: model.NodeRecord) -> None:
        self.presence.heard_node(node.name)
        if node in self.machine.state.nodes:
            return
        try:
            await self.propose(model.RecordNode(node))
        except (consensus.ConsensusError, ports.PeerError) as error:
            # The next watch of the entry proposes it again.
            self.events.write(
                "fleet:node_not_recorded", entry=node.name, code=error.code
            )


def _says_the_same(
    known: model.UpstreamRecord, record: model.UpstreamRecord
) -> bool:
    """Returns whether a renewal differs only in what every renewal changes."""
    if record.version() <= known.version():
        return True
    same = attrs.evolve(
        record, sequence=known.sequence, cold_s=known.cold_s, load=known.load
    )
    # A rise of the cold time is news, and so is its end: an entry that starts
    # later would count the recorded time from its own start. What lies between
    # is known from the clock.
    warmed = known.cold_s > 0 and record.cold_s == 0
    return same == known and record.cold_s <= known.cold_s and not warmed
