"""Errors of the replicated log."""

from typing import Any

from guavapulley import errors
from guavapulley import model

NOT_LEADER = errors.register_code(
    "NOT_LEADER",
    "The replica is not the leader; retry at the leader in the details.",
)
NO_QUORUM = errors.register_code(
    "NO_QUORUM", "The replica has no contact with a majority of the replicas."
)
CLUSTER_EXISTS = errors.register_code(
    "CLUSTER_EXISTS",
    "This replica or one of its peers already belongs to a cluster.",
)
CLUSTER_UNCERTAIN = errors.register_code(
    "CLUSTER_UNCERTAIN",
    "A configured peer did not answer and may already belong to a cluster.",
)
NAME_IN_USE = errors.register_code(
    "NAME_IN_USE",
    "A running replica already has the name of the joining replica.",
)
WRONG_CLUSTER = errors.register_code(
    "WRONG_CLUSTER", "The message comes from another cluster."
)
WRONG_REPLICA = errors.register_code(
    "WRONG_REPLICA",
    "The message is for a different replica ID than that of this VM.",
)
COMMAND_TOO_LARGE = errors.register_code(
    "COMMAND_TOO_LARGE", "The command exceeds the size limit of the log."
)
REPLICA_STOPPED = errors.register_code(
    "REPLICA_STOPPED", "The control replica is not running."
)
SNAPSHOT_INVALID = errors.register_code(
    "SNAPSHOT_INVALID", "A received snapshot could not be decoded."
)
MESSAGE_UNKNOWN = errors.register_code(
    "MESSAGE_UNKNOWN", "The process does not handle messages of this type."
)


class ConsensusError(errors.GuavapulleyError):
    """The replicated log rejected a request or failed."""


class NotLeaderError(ConsensusError):
    """The replica is not the leader.

    Attributes:
        leader: Peer address of the leader, if known.
    """

    def __init__(self, leader: model.NodeAddress | None) -> None:
        super().__init__(
            NOT_LEADER,
            "this replica is not the leader",
            leader=str(leader) if leader else "",
        )
        self.leader = leader


class NoQuorumError(ConsensusError):
    """No majority of the replicas confirmed the request in time.

    Attributes:
        appended: Whether the command is in the log of this replica and may
            still take effect. If false, it never will.
    """

    def __init__(self, message: str, *, appended: bool, **details: Any) -> None:
        super().__init__(NO_QUORUM, message, appended=appended, **details)
        self.appended = appended
