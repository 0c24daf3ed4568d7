"""Administration of the cluster by operators at a control replica."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol
from typing import TypeVar

import trio

from guavapulley import consensus
from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.control import _contacts
from guavapulley.control import _leases
from guavapulley.control import _service

T = TypeVar("T")

# Changes wait this long for a leader, as elections usually end within it.
LEADER_WAIT_S = 5.0
LEADER_RETRY_S = 0.2
CALL_TIMEOUT_S = 5.0
STATUS_TIMEOUT_S = 1.0
# An entry without contact for longer than this counts as partitioned. An entry
# starts a new watch after 2 s at the latest.
MAX_CONTACT_AGE_S = 4.0


class EntryDirectory(Protocol):
    """Queries of the state that entries hold."""

    async def entries(self) -> Sequence[model.EntryRecord]:
        """Returns the entries, sorted by name."""

    async def upstreams(self) -> Sequence[model.UpstreamRecord]:
        """Returns the upstreams, sorted by service and name."""

    async def explain(self, request_id: str) -> ports.Explanation | None:
        """Returns the explanation of a request, or None if no entry has it."""


class ControlAdmin:
    """`ports.AdminService` of one control replica.

    Args:
        service: Service of the replica.
        directory: Queries entries.
        peers: Peer addresses of all control replicas.
        own_address: Peer address of this replica.
    """

    def __init__(
        self,
        service: _service.ControlService,
        directory: EntryDirectory,
        peers: Sequence[model.NodeAddress],
        own_address: model.NodeAddress,
    ) -> None:
        self.service = service
        self.directory = directory
        self.peers = peers
        self.own_address = own_address

    def local_status(self) -> model.ReplicaStatus | None:
        """Returns the status of this replica."""
        return self.service.status()

    async def configuration(self) -> ports.ConfigurationView:
        """Returns the current configuration; see `ports.AdminService`."""
        # Operators read the configuration before each change, so the read waits
        # for the end of an election.
        confirmed = await self._try_confirm(LEADER_WAIT_S)
        return ports.ConfigurationView(
            self.service.machine.configuration, confirmed
        )

    async def _try_confirm(self, wait_s: float = 0.0) -> bool:
        """Returns whether a majority confirmed that this replica is current.

        Args:
            wait_s: Time in seconds during which failures are retried.
        """
        deadline_at_s = trio.current_time() + wait_s
        while True:
            try:
                await self.service.confirm()
            except errors.GuavapulleyError:
                if trio.current_time() + LEADER_RETRY_S > deadline_at_s:
                    return False
            else:
                return True
            await trio.sleep(LEADER_RETRY_S)

    async def propose_change(self, change: model.Change) -> model.Verdict:
        """Proposes a change to the leader; see `ports.AdminService`."""
        request = model.ProposeChange(change)
        deadline_at_s = trio.current_time() + LEADER_WAIT_S
        while True:
            try:
                return await self._call_leader(request, model.Verdict)
            except (consensus.ConsensusError, ports.PeerError) as error:
                failure = _change_failure(error)
                if (
                    not failure.not_run
                    or trio.current_time() + LEADER_RETRY_S > deadline_at_s
                ):
                    raise failure from error
            await trio.sleep(LEADER_RETRY_S)

    async def _call_leader(
        self, request: model.PeerMessage, reply_type: type[T]
    ) -> T:
        leadership = self.service.replica.leadership()
        if leadership.is_leader:
            reply = await self.service.handle(request)
        elif leadership.leader is None:
            raise consensus.NoQuorumError("no leader is known", appended=False)
        else:
            client = self.service.clients.client(leadership.leader)
            reply = await client.call(request, CALL_TIMEOUT_S)
        if not isinstance(reply, reply_type):
            raise ports.PeerError(
                ports.READ_FAILED,
                f"the leader sent an unexpected {type(reply).__name__}",
            )
        return reply

    async def history(
        self, after: int, limit: int
    ) -> Sequence[ports.AcceptedChange]:
        """Returns accepted changes, newest first.

        Args:
            after: Only changes with a greater revision are returned.
            limit: Greatest number of changes.
        """
        await self._try_confirm()
        newest = reversed(self.service.machine.history)
        matching = (item for item in newest if item.revision > after)
        return [item for item, _ in zip(matching, range(limit), strict=False)]

    async def revision_status(
        self, revision: int | None
    ) -> ports.RevisionStatus:
        """Returns which entries have applied a revision.

        Args:
            revision: Revision; None for the current one.
        """
        confirmed = await self._try_confirm()
        current = self.service.machine.configuration.revision
        target_revision = current if revision is None else revision
        reports = await self._query_all(self._query_contacts)
        contacts = _contacts.newest_contacts(reports)
        accepted_s = self._accepted_at_s(target_revision)
        change_age_s = max(0.0, self.service.unix_time() - accepted_s)
        return ports.RevisionStatus(
            target_revision,
            current,
            confirmed,
            tuple(
                _entry_revision(contact, target_revision, change_age_s)
                for _, contact in sorted(contacts.items())
            ),
        )

    def _accepted_at_s(self, revision: int) -> float:
        times_s = (
            item.accepted_at_s
            for item in self.service.machine.history
            if item.revision == revision
        )
        return next(times_s, self.service.unix_time())

    async def _query_all(
        self, query: Callable[[model.NodeAddress], Awaitable[T | None]]
    ) -> list[T]:
        """Queries all replicas concurrently and returns their answers.

        Replicas for which the query returns None are left out.
        """
        answers: list[T] = []

        async def collect(address: model.NodeAddress) -> None:
            answer = await query(address)
            if answer is not None:
                answers.append(answer)

        async with trio.open_nursery() as nursery:
            for address in self.peers:
                nursery.start_soon(collect, address)
        return answers

    async def _query_contacts(
        self, address: model.NodeAddress
    ) -> tuple[model.EntryContact, ...] | None:
        reply = await self._call(address, model.GetContacts())
        if isinstance(reply, model.ContactsReply):
            return reply.contacts
        return None

    async def _call(
        self, address: model.NodeAddress, request: model.PeerMessage
    ) -> model.PeerMessage | None:
        if address == self.own_address:
            return await self.service.handle(request)
        try:
            return await self.service.clients.client(address).call(
                request, STATUS_TIMEOUT_S
            )
        except ports.PeerError:
            return None

    async def replicas(self) -> Sequence[ports.ReplicaView]:
        """Returns the control replicas, sorted by address."""
        views = await self._query_all(self._query_view)
        return sorted(views, key=lambda view: str(view.address))

    async def _query_view(
        self, address: model.NodeAddress
    ) -> ports.ReplicaView:
        reply = await self._call(address, model.GetStatus())
        if isinstance(reply, model.ReplicaStatus):
            return ports.ReplicaView(address, reply)
        return ports.ReplicaView(address, None)

    async def entries(self) -> Sequence[model.EntryRecord]:
        """Returns the known entries, sorted by name."""
        return await self.directory.entries()

    async def upstreams(self) -> Sequence[model.UpstreamRecord]:
        """Returns the known upstreams, sorted by service and name."""
        return await self.directory.upstreams()

    async def outcome(
        self, service: str, key: str
    ) -> model.StoredOutcome | None:
        """Returns the stored outcome of an idempotency key, or None.

        Raises:
            AdminError: No majority confirmed the read.
        """
        request = model.GetOutcome(f"{service}/{key}")
        try:
            reply = await self._call_leader(request, model.ClaimReply)
        except (consensus.ConsensusError, ports.PeerError) as error:
            raise ports.AdminError(
                ports.READ_FAILED,
                f"no majority answered: {error.message}",
                not_run=True,
            ) from error
        return reply.outcome

    async def explain(self, request_id: str) -> ports.Explanation | None:
        """Returns the explanation of a request, or None if no entry has it."""
        return await self.directory.explain(request_id)


def _change_failure(
    error: consensus.ConsensusError | ports.PeerError,
) -> ports.AdminError:
    """Returns the error to report for a failed change.

    Unless it is certain that the change was not appended to the log, the error
    says that the change may take effect.
    """
    not_leader = error.code == consensus.NOT_LEADER
    appended = str(error.details.get("appended", True)) != "False"
    without_quorum = error.code == consensus.NO_QUORUM and not appended
    if not_leader or without_quorum:
        return ports.AdminError(
            ports.CHANGE_NOT_ACCEPTED, error.message, not_run=True
        )
    return ports.AdminError(ports.CHANGE_UNKNOWN, error.message, not_run=False)


def _entry_revision(
    contact: model.EntryContact, target_revision: int, change_age_s: float
) -> ports.EntryRevision:
    behind_s = None if contact.revision >= target_revision else change_age_s
    partitioned = contact.age_s > MAX_CONTACT_AGE_S
    # The clock of the entry may be slower than that of the replica, so the
    # entry may use its configuration for longer than its lease.
    lease_s = _leases.worst_case_s(_leases.DETACHED_AFTER_S)
    remaining_s = max(0.0, lease_s - contact.age_s)
    return ports.EntryRevision(
        contact.entry,
        contact.revision,
        contact.age_s,
        behind_s,
        remaining_s if partitioned else None,
    )
