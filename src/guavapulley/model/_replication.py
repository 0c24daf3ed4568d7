"""Messages among control replicas, and what the log consists of."""

import enum

import attrs

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
