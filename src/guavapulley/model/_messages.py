"""Messages between the processes of the system."""

import enum

import attrs

from guavapulley.model import _configuration
from guavapulley.model import _requests
from guavapulley.model import _upstreams


class EntryKind(enum.StrEnum):
    """What a log entry carries."""

    COMMAND = "command"
    REPLICAS = "replicas"
    NOOP = "noop"


@attrs.frozen
class LogEntry:
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


@attrs.frozen
class ReplicaIdentity:
    """Who a control replica is, for as long as its disk lasts.

    Attributes:
        cluster_id: Drawn when the cluster was created.
        replica_id: Drawn when the data folder was created.
        name: Name of the VM in the settings.
    """

    cluster_id: str
    replica_id: str
    name: str


@attrs.frozen
class ReplicaMember:
    """A control replica in the replica set.

    Attributes:
        replica_id: Random ID of the data folder.
        name: Name of the VM.
        address: Peer address.
        voter: Whether it counts; learners only receive the log.
    """

    replica_id: str
    name: str
    address: _upstreams.NodeAddress
    voter: bool


@attrs.frozen
class ReplicaSet:
    """The replicas of the cluster."""

    members: tuple[ReplicaMember, ...] = ()


@attrs.frozen
class Snapshot:
    """State of the log up to an index."""

    index: int
    term: int
    replicas: ReplicaSet
    state: bytes


@attrs.frozen
class RequestVote:
    """Asks for a vote; `pre_vote` only asks whether it would be given.

    Attributes:
        target: Replica ID that is asked. A VM that lost its disk listens on the
            address of its old identity and must not answer for it.
    """

    cluster_id: str
    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool
    target: str = ""


@attrs.frozen
class RequestVoteReply:
    """Answer to `RequestVote`."""

    term: int
    granted: bool


@attrs.frozen
class AppendEntries:
    """Replicates entries; without entries it is the heartbeat.

    Attributes:
        target: Replica ID that is addressed; see `RequestVote`.
        quorum_age_s: Seconds since the leader knew of a quorum.
    """

    cluster_id: str
    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    target: str = ""
    quorum_age_s: float = 0.0


@attrs.frozen
class AppendEntriesReply:
    """Answer to `AppendEntries`.

    Attributes:
        term: Term of the follower.
        success: Whether the entries are synced.
        match_index: Last index known to agree with the leader.
        hint_index: Where the leader should try next after a mismatch.
    """

    term: int
    success: bool
    match_index: int
    hint_index: int = 0


@attrs.frozen
class InstallSnapshot:
    """Sends a snapshot in chunks.

    Attributes:
        offset: Position of this chunk in the encoded snapshot.
        total: Bytes of the encoded snapshot.
        target: Replica ID that is addressed; see `RequestVote`.
    """

    cluster_id: str
    term: int
    leader: str
    index: int
    snapshot_term: int
    offset: int
    total: int
    data: bytes
    target: str = ""


@attrs.frozen
class InstallSnapshotReply:
    """Answer to `InstallSnapshot`; `received` is the next wanted offset."""

    term: int
    received: int


@attrs.frozen
class JoinCluster:
    """A replica without log asks to become a learner, then a voter."""

    replica_id: str
    name: str
    address: _upstreams.NodeAddress


@attrs.frozen
class JoinReply:
    """Answer to `JoinCluster`.

    Attributes:
        cluster_id: Cluster joined; empty when the replica has none.
        accepted: Whether the leader has begun to replicate to the replica.
        leader: Address of the leader, if known.
    """

    cluster_id: str
    accepted: bool
    leader: _upstreams.NodeAddress | None = None


@attrs.frozen
class ReadIndex:
    """Asks for a revision confirmed by a majority."""


@attrs.frozen
class ReadIndexReply:
    """Log index confirmed by a majority at the time of the call."""

    index: int


@attrs.frozen
class GetStatus:
    """Asks a control replica for its status."""


@attrs.frozen
class ReplicaStatus:
    """Status of a control replica.

    Attributes:
        identity: Its identity, if it has one.
        role: `leader`, `follower`, `candidate` or `learner`.
        quorum_age_s: Seconds since it knew of a quorum; stale when large.
    """

    identity: ReplicaIdentity | None
    role: str
    term: int
    leader: _upstreams.NodeAddress | None
    last_index: int
    commit_index: int
    applied_index: int
    revision: int
    quorum_age_s: float
    replicas: ReplicaSet


@attrs.frozen
class ProposeChange:
    """Asks for a configuration change; answered by a `Verdict`."""

    change: _configuration.Change


@attrs.frozen
class WatchConfiguration:
    """Waits for a newer configuration.

    Attributes:
        entry: Who asks.
        after: Revision in force at the entry.
        wait_s: Longest wait when there is none.
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
        configuration: The newer configuration, or None.
        revision: Newest revision applied by the replica.
        confirmed: Whether a quorum was known within the last heartbeats.
    """

    configuration: _configuration.Configuration | None
    revision: int
    confirmed: bool


@attrs.frozen
class EntryContact:
    """What a control replica last heard of an entry.

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
    """Asks a control replica which entries watch it."""


@attrs.frozen
class ContactsReply:
    """Answer to `GetContacts`."""

    contacts: tuple[EntryContact, ...]


class ClaimStatus(enum.StrEnum):
    """Verdict on a claim.

    `AGE_INVALID` refuses a key that is created in the future of the log.
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
        key: Service and key of the caller.
        body_hash: Hash of method, path and body.
        entry: Who claims.
        request_id: Request on whose behalf; a resent claim of the same
            request and entry is granted again.
        created_s: Unix time at which the caller created the key.
    """

    key: str
    body_hash: str
    entry: str
    request_id: str
    created_s: float


@attrs.frozen
class ClaimReply:
    """Answer to `ClaimKey`; `outcome` is the stored one when it exists."""

    status: ClaimStatus
    outcome: _requests.StoredOutcome | None = None


@attrs.frozen
class RecordOutcome:
    """Records what became of a claimed key."""

    key: str
    request_id: str
    kind: _requests.OutcomeKind
    answer: _requests.Answer | None = None


@attrs.frozen
class ReleaseClaim:
    """Gives a claim back because the request certainly did not run."""

    key: str
    request_id: str


@attrs.frozen
class RecordReply:
    """Answer to `RecordOutcome` and `ReleaseClaim`."""

    recorded: bool


@attrs.frozen
class GetOutcome:
    """Asks for the outcome of a key by a majority read; see `ClaimReply`."""

    key: str


@attrs.frozen
class ShareDemand:
    """Demand of an entry on one way of a link, in bytes per second."""

    source: str
    target: str
    bytes_per_s: float


@attrs.frozen
class ShareGrant:
    """Share of one way of a link, in bytes per second."""

    source: str
    target: str
    bytes_per_s: float


@attrs.frozen
class LeaseShare:
    """Asks for shares of links."""

    entry: str
    demands: tuple[ShareDemand, ...]


@attrs.frozen
class LeaseShareReply:
    """Shares granted for `duration_s` from the sending of the request."""

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
    """An entry, as entries gossip it.

    Attributes:
        name: Name of the VM.
        region: Its region.
        failure_domain: Its failure domain.
        address: HTTP address for callers.
        peer_address: Peer address.
        incarnation: Start of the process in ms since the epoch.
        heartbeat: Counter raised by the entry itself.
        state: What it says of itself.
        revision: Configuration revision in force.
        in_flight: Its requests in flight by upstream.
        claims: Slots that it claims, by `SERVICE/REGION`; see steering.
        suspected: Whether the sender of this copy suspects the entry; only
            the entry itself acts on it, by raising its incarnation.
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
    """Push half of an exchange between two entries."""

    sender: str
    entries: tuple[EntryRecord, ...]
    upstreams: tuple[_upstreams.UpstreamRecord, ...]


@attrs.frozen
class GossipReply:
    """Pull half of an exchange between two entries."""

    entries: tuple[EntryRecord, ...]
    upstreams: tuple[_upstreams.UpstreamRecord, ...]


@attrs.frozen
class ErrorReply:
    """An error of the called process, with its code."""

    code: str
    message: str
    details: dict[str, str] = attrs.field(factory=dict)


PeerMessage = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | JoinCluster
    | JoinReply
    | ReadIndex
    | ReadIndexReply
    | GetStatus
    | ReplicaStatus
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
    | ErrorReply
)
