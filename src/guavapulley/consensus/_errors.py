"""Errors of the replicated log."""

from typing import Any

from guavapulley import errors
from guavapulley import model

NOT_LEADER = errors.register_code(
    "NOT_LEADER", "The replica is not the leader; ask the one that it names."
)
NO_QUORUM = errors.register_code(
    "NO_QUORUM", "The replica knows of no majority of the replicas."
)
CLUSTER_EXISTS = errors.register_code(
    "CLUSTER_EXISTS", "This replica or one of its peers is in a cluster."
)
CLUSTER_UNCERTAIN = errors.register_code(
    "CLUSTER_UNCERTAIN",
    "A configured peer did not answer, so that it may be in a cluster.",
)
NAME_IN_USE = errors.register_code(
    "NAME_IN_USE", "A running replica has the name of the joining one."
)
WRONG_CLUSTER = errors.register_code(
    "WRONG_CLUSTER", "A message is from another cluster."
)
WRONG_REPLICA = errors.register_code(
    "WRONG_REPLICA", "A message is for another identity of this VM."
)
COMMAND_TOO_LARGE = errors.register_code(
    "COMMAND_TOO_LARGE", "A command is larger than the log takes."
)
REPLICA_STOPPED = errors.register_code(
    "REPLICA_STOPPED", "The control replica does not run."
)
SNAPSHOT_INVALID = errors.register_code(
    "SNAPSHOT_INVALID", "A received snapshot could not be decoded."
)
MESSAGE_UNKNOWN = errors.register_code(
    "MESSAGE_UNKNOWN", "A process does not handle this message."
)


class ConsensusError(errors.GuavapulleyError):
    """The replicated log refuses or fails."""


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
    """No majority confirmed in time.

    Attributes:
        appended: Whether the command is in the log of this replica and may
            still take effect. Otherwise it never will.
    """

    def __init__(self, message: str, *, appended: bool, **details: Any) -> None:
        super().__init__(NO_QUORUM, message, appended=appended, **details)
        self.appended = appended
