"""The replicated log and the messages among control replicas."""

import enum

import attrs

from guavapulley.model import _upstreams


class EntryKind(enum.StrEnum):
    """Kinds of payload of a log entry."""

    COMMAND = "command"
    REPLICAS = "replicas"
    NOOP = "noop"


@attrs.frozen
class LogEntry:
    """An entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


@attrs.frozen
class ReplicaIdentity:
    """The identity of a control replica; it is lost with the replica's disk.

    Attributes:
        cluster_id: Random ID generated when the cluster was created.
        replica_id: Random ID generated when the data folder was created.
        name: Name of the VM in the settings.
    """

    cluster_id: str
    replica_id: str
    name: str


@attrs.frozen
class ReplicaMember:
    """A member of the replica set.

    Attributes:
        replica_id: Random ID of the data folder.
        name: Name of the VM.
        address: Peer address.
        voter: Whether the replica votes and counts towards a quorum; learners
            only receive the log.
    """

    replica_id: str
    name: str
    address: _upstreams.NodeAddress
    voter: bool


@attrs.frozen
class ReplicaSet:
    """The control replicas of the cluster."""

    members: tuple[ReplicaMember, ...] = ()


@attrs.frozen
class Snapshot:
    """The state that results from the log up to and including an index."""

    index: int
    term: int
    replicas: ReplicaSet
    state: bytes


@attrs.frozen
class RequestVote:
    """Requests a vote; a pre-vote only asks whether it would be granted.

    Attributes:
        target: ID of the replica that is to answer. A VM that lost its disk
            listens on the address of its previous identity and must not answer
            on behalf of it.
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
    """Replicates log entries; without entries it is a heartbeat.

    Attributes:
        target: ID of the replica that is to answer; see `RequestVote`.
        quorum_age_s: Seconds since a quorum last confirmed the applied state of
            the leader.
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
        success: Whether the log of the follower matches and the entries are
            synced.
        match_index: Last index up to which the log is known to match that of
            the leader.
        hint_index: Index at which the leader should retry after a mismatch.
    """

    term: int
    success: bool
    match_index: int
    hint_index: int = 0


@attrs.frozen
class InstallSnapshot:
    """Sends a chunk of a snapshot.

    Attributes:
        offset: Offset of the chunk in the encoded snapshot, in bytes.
        total: Size of the encoded snapshot in bytes.
        target: ID of the replica that is to answer; see `RequestVote`.
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
    """Answer to `InstallSnapshot`; `received` is the next expected offset."""

    term: int
    received: int


@attrs.frozen
class JoinCluster:
    """Asks to admit a replica without a log as a learner, then as a voter."""

    replica_id: str
    name: str
    address: _upstreams.NodeAddress


@attrs.frozen
class JoinReply:
    """Answer to `JoinCluster`.

    Attributes:
        cluster_id: ID of the joined cluster; empty if the called replica has
            none.
        accepted: Whether the leader has started replication to the new
            replica.
        leader: Address of the leader, if known.
    """

    cluster_id: str
    accepted: bool
    leader: _upstreams.NodeAddress | None = None


@attrs.frozen
class ReadIndex:
    """Requests a commit index that is confirmed by a majority."""


@attrs.frozen
class ReadIndexReply:
    """Log index that a majority confirmed during the call."""

    index: int


@attrs.frozen
class GetStatus:
    """Requests the status of a control replica."""


@attrs.frozen
class ReplicaStatus:
    """Status of a control replica.

    Attributes:
        identity: Identity of the replica; None if it has none.
        role: `leader`, `follower`, `candidate` or `learner`.
        quorum_age_s: Seconds since a quorum last confirmed the applied state;
            the status is stale if it is large.
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
