"""A replicated log by Raft, with snapshots and membership changes."""

from guavapulley.consensus._errors import CLUSTER_EXISTS
from guavapulley.consensus._errors import CLUSTER_UNCERTAIN
from guavapulley.consensus._errors import COMMAND_TOO_LARGE
from guavapulley.consensus._errors import MESSAGE_UNKNOWN
from guavapulley.consensus._errors import NAME_IN_USE
from guavapulley.consensus._errors import NO_QUORUM
from guavapulley.consensus._errors import NOT_LEADER
from guavapulley.consensus._errors import REPLICA_STOPPED
from guavapulley.consensus._errors import SNAPSHOT_INVALID
from guavapulley.consensus._errors import WRONG_CLUSTER
from guavapulley.consensus._errors import WRONG_REPLICA
from guavapulley.consensus._errors import ConsensusError
from guavapulley.consensus._errors import NoQuorumError
from guavapulley.consensus._errors import NotLeaderError
from guavapulley.consensus._reads import await_read_barrier
from guavapulley.consensus._replica import Leadership
from guavapulley.consensus._replica import Replica
from guavapulley.consensus._settings import ConsensusSettings

__all__ = [
    "CLUSTER_EXISTS",
    "CLUSTER_UNCERTAIN",
    "COMMAND_TOO_LARGE",
    "MESSAGE_UNKNOWN",
    "NAME_IN_USE",
    "NOT_LEADER",
    "NO_QUORUM",
    "REPLICA_STOPPED",
    "SNAPSHOT_INVALID",
    "WRONG_CLUSTER",
    "WRONG_REPLICA",
    "ConsensusError",
    "ConsensusSettings",
    "Leadership",
    "NoQuorumError",
    "NotLeaderError",
    "Replica",
    "await_read_barrier",
]
