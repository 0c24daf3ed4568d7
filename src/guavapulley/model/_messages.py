"""Messages between entries and control replicas, and among entries."""

import enum

import attrs

from guavapulley.model import _configuration
from guavapulley.model import _fleet
from guavapulley.model import _replication
from guavapulley.model import _requests
from guavapulley.model import _upstreams


@attrs.frozen
class ProposeChange:
    """Proposes a configuration change; answered by a `Verdict`."""

    change: _configuration.Change


@attrs.frozen
class WatchConfiguration:
    """Waits for a newer configuration.

    Attributes:
        entry: Name of the requesting entry.
        after: Revision in force at the entry.
        wait_s: Maximum wait for a newer configuration, in seconds.
        confirm: Whether the answer must be confirmed by a majority read.
    """

    entry: str
    after: int
    wait_s: float
    confirm: bool


@attrs.frozen
class WatchReply:
    """Answer to `WatchConfiguration`.

    Attributes:
        configuration: The newer configuration; None if there is none.
        revision: Newest revision applied by the replica.
        confirmed: Whether the replica had contact with a quorum within the
            last heartbeat intervals.
    """

    configuration: _configuration.Configuration | None
    revision: int
    confirmed: bool


@attrs.frozen
class EntryContact:
    """The last contact of a control replica with an entry.

    Attributes:
        entry: Name of the entry.
        revision: Revision in force at the entry.
        age_s: Seconds since the contact.
    """

    entry: str
    revision: int
    age_s: float


@attrs.frozen
class GetContacts:
    """Requests the contacts of a control replica with entries."""


@attrs.frozen
class ContactsReply:
    """Answer to `GetContacts`."""

    contacts: tuple[EntryContact, ...]


class ClaimStatus(enum.StrEnum):
    """Status of a claim.

    `AGE_INVALID` rejects a key whose creation time is ahead of the time of the
    log.
    """

    GRANTED = "granted"
    EXISTS = "exists"
    KEY_REUSED = "key_reused"
    EXPIRED = "expired"
    AGE_INVALID = "age_invalid"


@attrs.frozen
class ClaimKey:
    """Claims an idempotency key before dispatch.

    Attributes:
        key: Service and idempotency key of the caller.
        body_hash: Hash of method, path and body.
        entry: Name of the claiming entry.
        request_id: ID of the request to dispatch. A resent claim of the same
            request and entry is granted again.
        created_s: Unix time in seconds at which the caller created the key.
    """

    key: str
    body_hash: str
    entry: str
    request_id: str
    created_s: float


@attrs.frozen
class ClaimReply:
    """Answer to `ClaimKey`; `outcome` is the stored outcome, if any."""

    status: ClaimStatus
    outcome: _requests.StoredOutcome | None = None


@attrs.frozen
class RecordOutcome:
    """Records the outcome of a claimed key."""

    key: str
    request_id: str
    kind: _requests.OutcomeKind
    answer: _requests.Answer | None = None


@attrs.frozen
class ReleaseClaim:
    """Releases a claim because the request certainly did not run."""

    key: str
    request_id: str


@attrs.frozen
class RecordReply:
    """Answer to `RecordOutcome` and `ReleaseClaim`."""

    recorded: bool


@attrs.frozen
class GetOutcome:
    """Requests the outcome of a key by a majority read; see `ClaimReply`."""

    key: str


@attrs.frozen
class ShareDemand:
    """Demand of an entry on one direction of a link, in bytes per second."""

    source: str
    target: str
    bytes_per_s: float


@attrs.frozen
class ShareGrant:
    """Granted share of one direction of a link, in bytes per second."""

    source: str
    target: str
    bytes_per_s: float


@attrs.frozen
class LeaseShare:
    """Requests shares of link capacity."""

    entry: str
    demands: tuple[ShareDemand, ...]


@attrs.frozen
class LeaseShareReply:
    """Shares granted for `duration_s` seconds after the request was sent."""

    grants: tuple[ShareGrant, ...]
    duration_s: float


class EntryState(enum.StrEnum):
    """State of an entry in the membership."""

    STARTING = "starting"
    ALIVE = "alive"
    DETACHED = "detached"
    LEAVING = "leaving"


@attrs.frozen
class EntryRecord:
    """The record of an entry that is exchanged by gossip.

    Attributes:
        name: Name of the VM.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        address: HTTP address for callers.
        peer_address: Address for peers.
        incarnation: Start time of the process in ms since the epoch.
        heartbeat: Counter that only the entry itself increments.
        state: State as reported by the entry itself.
        revision: Configuration revision in force at the entry.
        in_flight: Number of requests in flight from the entry by upstream.
        claims: Number of slots claimed by the entry, by `SERVICE/REGION`; see
            steering.
        suspected: Whether the sender of this copy suspects the entry. Only the
            entry itself reacts, by increasing its incarnation.
    """

    name: str
    region: str
    failure_domain: str
    address: _upstreams.NodeAddress
    peer_address: _upstreams.NodeAddress
    incarnation: int
    heartbeat: int
    state: EntryState
    revision: int = 0
    in_flight: dict[str, int] = attrs.field(factory=dict)
    claims: dict[str, int] = attrs.field(factory=dict)
    suspected: bool = False


@attrs.frozen
class Gossip:
    """The push half of a gossip exchange between two entries."""

    sender: str
    entries: tuple[EntryRecord, ...]
    upstreams: tuple[_upstreams.UpstreamRecord, ...]


@attrs.frozen
class GossipReply:
    """The pull half of a gossip exchange between two entries."""

    entries: tuple[EntryRecord, ...]
    upstreams: tuple[_upstreams.UpstreamRecord, ...]


@attrs.frozen
class ErrorReply:
    """Reports an error of the called process by its code."""

    code: str
    message: str
    details: dict[str, str] = attrs.field(factory=dict)


PeerMessage = (
    _replication.RequestVote
    | _replication.RequestVoteReply
    | _replication.AppendEntries
    | _replication.AppendEntriesReply
    | _replication.InstallSnapshot
    | _replication.InstallSnapshotReply
    | _replication.JoinCluster
    | _replication.JoinReply
    | _replication.ReadIndex
    | _replication.ReadIndexReply
    | _replication.GetStatus
    | _replication.ReplicaStatus
    | ProposeChange
    | _configuration.Verdict
    | WatchConfiguration
    | WatchReply
    | GetContacts
    | ContactsReply
    | ClaimKey
    | ClaimReply
    | RecordOutcome
    | ReleaseClaim
    | RecordReply
    | GetOutcome
    | LeaseShare
    | LeaseShareReply
    | Gossip
    | GossipReply
    | _fleet.ProposeCommand
    | _fleet.FleetVerdict
    | _fleet.ReportHeard
    | _fleet.Acknowledged
    | _fleet.WatchFleet
    | _fleet.FleetUpdate
    | ErrorReply
)
