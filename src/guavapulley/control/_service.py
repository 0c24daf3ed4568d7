"""Service of a control replica for entries and other replicas."""

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

# Replies of a replica count as confirmed when its last contact with a quorum is
# more recent than this.
MAX_QUORUM_AGE_S = 2.0
# A new leader is elected at the earliest 1 s after the last contact of a
# majority with the old one. The old leader must have stopped granting leases by
# then, because the new one only waits for the end of leases granted before its
# election.
MAX_LEASE_QUORUM_AGE_S = 0.8
MAX_WATCH_S = 30.0
COMMAND_TIMEOUT_S = 4.0
READ_TIMEOUT_S = 2.0


class ControlService:
    """One control replica with its state machine (`ports.PeerHandler`).

    A replica that is not the leader rejects calls that need the leader with
    `NOT_LEADER` and the leader's address, to which the calling process turns.

    Args:
        replica: Replica of the log.
        machine: State machine of the replica.
        codec: Codec of commands.
        dialer: Makes clients of the leader, for confirmed watches.
        unix_time: Returns the Unix time in seconds, which a leader adds to
            commands.
        events: Event log for verdicts.
    """

    def __init__(
        self,
        replica: consensus.Replica,
        machine: _machine.ControlStateMachine,
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
        machine.on_configuration = self._update_caps
        self.contacts = _contacts.EntryContacts()
        self.clients = ports.PeerClientPool(dialer)

    async def handle(self, request: model.PeerMessage) -> model.PeerMessage:
        """Returns the reply to a call; see `ports.PeerHandler`."""
        match request:
            case model.ProposeChange():
                return await self.propose_change(request.change)
            case model.ClaimKey():
                claim = _commands.ApplyClaim(request, self.unix_time())
                return await self._propose(claim, model.ClaimReply)
            case model.RecordOutcome():
                outcome = _commands.ApplyOutcome(request)
                return await self._propose(outcome, model.RecordReply)
            case model.ReleaseClaim():
                release = _commands.ApplyRelease(request)
                return await self._propose(release, model.RecordReply)
            case model.GetOutcome():
                return await self._read_outcome(request)
            case model.LeaseShare():
                return self._grant_shares(request)
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
        """Returns the status of the replica and its configuration revision."""
        return attrs.evolve(
            self.replica.status(), revision=self.machine.configuration.revision
        )

    async def propose_change(self, change: model.Change) -> model.Verdict:
        """Proposes a change as leader and returns the verdict on it.

        Raises:
            ConsensusError: This replica is not the leader, or the change was
                not committed in time.
        """
        command = _commands.ApplyChange(change, self.unix_time())
        verdict = await self._propose(command, model.Verdict)
        self.events.write(
            "configuration:decided",
            verdict=verdict.kind.value,
            revision=verdict.revision,
            change=change.request_id,
            operator=change.operator,
        )
        return verdict

    async def _propose(
        self, command: _commands.Command, result_type: type[T]
    ) -> T:
        payload = self.codec.encode(command)
        result = await self.replica.propose(payload, COMMAND_TIMEOUT_S)
        assert isinstance(result, result_type)
        return result

    async def _read_outcome(
        self, request: model.GetOutcome
    ) -> model.ClaimReply:
        await self.replica.read_index(READ_TIMEOUT_S)
        outcome = self.machine.keys.find(request.key)
        return model.ClaimReply(model.ClaimStatus.EXISTS, outcome)

    def _grant_shares(self, request: model.LeaseShare) -> model.LeaseShareReply:
        leadership = self.replica.leadership()
        if not leadership.is_leader:
            raise consensus.NotLeaderError(leadership.leader)
        if leadership.quorum_age_s > MAX_LEASE_QUORUM_AGE_S:
            raise consensus.NoQuorumError(
                "no lease is granted without recent contact with a quorum",
                appended=False,
            )
        return self.leases.lease(request, leadership.term)

    def _update_caps(self, configuration: model.Configuration) -> None:
        self.leases.set_caps(
            item
            for item in configuration.objects
            if isinstance(item, model.LinkCap)
        )

    async def _watch(
        self, request: model.WatchConfiguration
    ) -> model.WatchReply:
        """Waits for a newer configuration, or confirms the current one.

        Raises:
            ConsensusError: The watch asks for confirmation, and no majority
                confirmed in time.
        """
        self.contacts.record(request.entry, request.after)
        if request.confirm:
            await self.confirm()
        else:
            await self._wait_for_newer(request.after, request.wait_s)
        configuration = self.machine.configuration
        quorum_age_s = self.replica.leadership().quorum_age_s
        return model.WatchReply(
            configuration if configuration.revision > request.after else None,
            configuration.revision,
            quorum_age_s < MAX_QUORUM_AGE_S,
        )

    async def _wait_for_newer(self, after: int, wait_s: float) -> None:
        applied_index = self.replica.status().applied_index
        with trio.move_on_after(min(wait_s, MAX_WATCH_S)):
            while self.machine.configuration.revision <= after:
                applied_index = await self.replica.wait_applied(
                    applied_index + 1
                )

    async def confirm(self) -> None:
        """Waits until this replica has applied all changes accepted so far.

        Raises:
            ConsensusError: No leader is known, no majority confirmed it in
                time, or this replica did not catch up in time.
        """
        await consensus.await_read_barrier(
            self.replica, self.clients.client, READ_TIMEOUT_S
        )
