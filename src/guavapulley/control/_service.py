"""Answers calls of replicas and entries at a control replica."""

from collections.abc import Callable
from typing import TypeVar

import attrs
import trio

from guavapulley import consensus
from guavapulley import model
from guavapulley import ports
from guavapulley.control import _commands
from guavapulley.control import _contacts
from guavapulley.control import _leases
from guavapulley.control import _machine

T = TypeVar("T")

# A replica that heard of a quorum within this time counts as confirmed.
MAX_QUORUM_AGE_S = 2.0
# A new leader is elected at the earliest 1 s after a majority heard from the
# old one. The old one must have stopped to lease by then, because the new one
# waits only for the end of leases granted before its election.
MAX_LEASE_QUORUM_AGE_S = 0.8
MAX_WATCH_S = 30.0
COMMAND_TIMEOUT_S = 4.0
READ_TIMEOUT_S = 2.0


class ControlService:
    """One control replica with its state machine (`ports.PeerHandler`).

    Calls that need the leader are refused by the others with `NOT_LEADER` and
    the leader's address; the caller follows it.

    Args:
        replica: Replica of the log.
        machine: Its state machine.
        codec: Codec of commands.
        dialer: Makes clients of the leader, for confirmed watches.
        unix_time: Returns the Unix time that a leader proposes.
        events: Receives decisions.
    """

    def __init__(
        self,
        replica: consensus.Replica,
        machine: _machine.SteeringStateMachine,
        codec: ports.Codec,
        dialer: ports.PeerDialer,
        unix_time: Callable[[], float],
        events: ports.EventLog,
    ) -> None:
        self.replica = replica
        self.machine = machine
        self.codec = codec
        self.unix_time = unix_time
        self.events = events
        self.leases = _leases.LinkLeases()
        machine.on_configuration = self._note_caps
        self.contacts = _contacts.Contacts()
        self.clients = ports.PeerClients(dialer)

    async def handle(self, request: model.PeerMessage) -> model.PeerMessage:
        """Returns the reply to a call; see `ports.PeerHandler`."""
        match request:
            case model.ProposeChange():
                return await self.change(request.change)
            case model.ClaimKey():
                claim = _commands.ApplyClaim(request, self.unix_time())
                return await self._command(claim, model.ClaimReply)
            case model.RecordOutcome():
                outcome = _commands.ApplyOutcome(request)
                return await self._command(outcome, model.RecordReply)
            case model.ReleaseClaim():
                release = _commands.ApplyRelease(request)
                return await self._command(release, model.RecordReply)
            case model.GetOutcome():
                return await self._outcome(request)
            case model.LeaseShare():
                return self._lease(request)
            case model.WatchConfiguration():
                return await self._watch(request)
            case model.ReadIndex():
                index = await self.replica.read_index(READ_TIMEOUT_S)
                return model.ReadIndexReply(index)
            case model.GetContacts():
                return model.ContactsReply(self.contacts.report())
            case model.GetStatus():
                return self.status()
        return await self.replica.handle(request)

    def status(self) -> model.ReplicaStatus:
        """Returns the status of the replica with its revision."""
        return attrs.evolve(
            self.replica.status(), revision=self.machine.configuration.revision
        )

    async def change(self, change: model.Change) -> model.Verdict:
        """Decides on a change as leader.

        Raises:
            ConsensusError: This replica is not the leader or has no quorum.
        """
        command = _commands.ApplyChange(change, self.unix_time())
        verdict = await self._command(command, model.Verdict)
        self.events.write(
            "configuration:decided",
            verdict=verdict.kind.value,
            revision=verdict.revision,
            change=change.request_id,
            operator=change.operator,
        )
        return verdict

    async def _command(self, command: _commands.Command, wanted: type[T]) -> T:
        payload = self.codec.encode(command)
        result = await self.replica.propose(payload, COMMAND_TIMEOUT_S)
        assert isinstance(result, wanted)
        return result

    async def _outcome(self, request: model.GetOutcome) -> model.ClaimReply:
        await self.replica.read_index(READ_TIMEOUT_S)
        outcome = self.machine.keys.find(request.key)
        return model.ClaimReply(model.ClaimStatus.EXISTS, outcome)

    def _lease(self, request: model.LeaseShare) -> model.LeaseShareReply:
        leadership = self.replica.leadership()
        if not leadership.is_leader:
            raise consensus.NotLeaderError(leadership.leader)
        if leadership.quorum_age_s > MAX_LEASE_QUORUM_AGE_S:
            raise consensus.NoQuorumError(
                "no leases without a recent quorum", appended=False
            )
        return self.leases.lease(request, leadership.term)

    def _note_caps(self, configuration: model.Configuration) -> None:
        self.leases.note_caps(
            item
            for item in configuration.objects
            if isinstance(item, model.LinkCap)
        )

    async def _watch(
        self, request: model.WatchConfiguration
    ) -> model.WatchReply:
        """Waits for a newer configuration.

        Raises:
            ConsensusError: The watch must be confirmed and no majority was
                reached.
        """
        self.contacts.note(request.entry, request.after)
        if request.confirm:
            await self.confirm()
        else:
            await self._wait_newer(request.after, request.wait_s)
        configuration = self.machine.configuration
        quorum_age_s = self.replica.leadership().quorum_age_s
        return model.WatchReply(
            configuration if configuration.revision > request.after else None,
            configuration.revision,
            quorum_age_s < MAX_QUORUM_AGE_S,
        )

    async def _wait_newer(self, after: int, wait_s: float) -> None:
        applied = self.replica.status().applied_index
        with trio.move_on_after(min(wait_s, MAX_WATCH_S)):
            while self.machine.configuration.revision <= after:
                applied = await self.replica.wait_applied(applied + 1)

    async def confirm(self) -> None:
        """Returns when this replica has applied all accepted changes.

        Raises:
            ConsensusError: No majority was reached in time.
        """
        await consensus.await_read_barrier(
            self.replica, self.clients.client, READ_TIMEOUT_S
        )
