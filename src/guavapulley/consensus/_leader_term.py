"""State that a leader keeps during its term, for itself and each peer."""

from collections.abc import Iterable
import math

import attrs
import trio

from guavapulley import model
from guavapulley.consensus import _signal


def majority_value(values: Iterable[float]) -> float:
    """Returns the greatest value that a majority of values reaches or exceeds.

    >>> majority_value([5, 9, 7])
    7
    >>> majority_value([5, 9, 7, 0])
    5
    """
    descending = sorted(values, reverse=True)
    return descending[len(descending) // 2]


def voters(replicas: model.ReplicaSet) -> list[model.ReplicaMember]:
    """Returns the members that vote in elections and commits."""
    return [member for member in replicas.members if member.voter]


def is_voter(replicas: model.ReplicaSet, replica_id: str) -> bool:
    """Returns whether a replica is a voting member of a replica set."""
    return any(member.replica_id == replica_id for member in voters(replicas))


@attrs.define
class Progress:
    """Replication progress of one peer.

    Times are in seconds on trio's clock.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Index of the last entry known to be durable at the peer.
        pipelining: Whether entries are sent before earlier ones are answered.
            If false, the leader probes for the last entry in common first.
        in_flight: Number of unanswered calls with entries.
        bytes_in_flight: Payload bytes in these calls.
        probe_requested: Whether a probe shall be sent immediately.
        sent_s: When the last call was sent.
        entries_sent_s: When the last call with entries was sent.
        acked_s: When the most recently sent call with a reply was sent.
        sent_round: Newest confirmation round for which a call was sent.
        acked_round: Newest confirmation round that the peer answered.
        sending_snapshot: Whether a snapshot is being sent.
    """

    next_index: int
    match_index: int = 0
    pipelining: bool = False
    in_flight: int = 0
    bytes_in_flight: int = 0
    probe_requested: bool = True
    sent_s: float = -math.inf
    entries_sent_s: float = -math.inf
    acked_s: float = -math.inf
    sent_round: int = 0
    acked_round: int = 0
    sending_snapshot: bool = False

    def start_probing(self, next_index: int) -> None:
        """Stops pipelining and probes for the last entry in common.

        Args:
            next_index: Index at which to start, unless the logs are known to
                agree beyond it.
        """
        self.pipelining = False
        self.next_index = max(self.match_index + 1, next_index)

    def record_match(self, index: int) -> None:
        """Records that the logs agree up to an index, and starts pipelining."""
        self.match_index = max(self.match_index, index)
        if not self.pipelining:
            self.next_index = self.match_index + 1
        self.pipelining = True
        self.next_index = max(self.next_index, self.match_index + 1)


@attrs.define
class LeaderTerm:
    """State of a leader for one term.

    Attributes:
        term: The term.
        own_id: Replica ID of the leader.
        first_index: Index of the first entry of the term.
        progress: Progress of each peer by replica ID.
        newest_round: Number of the newest confirmation round.
        started_s: When the term started, on trio's clock.
        work_available: Notified when there may be something to send.
        peer_acked: Notified when a peer has answered.
        ended: Set when the leader steps down.
    """

    term: int
    own_id: str
    first_index: int
    progress: dict[str, Progress] = attrs.field(factory=dict)
    newest_round: int = 0
    started_s: float = attrs.field(factory=trio.current_time)
    work_available: _signal.Signal = attrs.field(factory=_signal.Signal)
    peer_acked: _signal.Signal = attrs.field(factory=_signal.Signal)
    ended: trio.Event = attrs.field(factory=trio.Event)

    def start_round(self) -> int:
        """Starts a confirmation round and returns its number.

        Each peer is sent a message; once a majority has answered, the leader
        knows that it still led when the round started.
        """
        self.newest_round += 1
        self.work_available.notify()
        return self.newest_round

    def majority_match_index(
        self, replicas: model.ReplicaSet, synced_index: int
    ) -> int:
        """Returns the last index that is durable at a majority of voters."""
        own_id = self.own_id
        return int(
            majority_value(
                synced_index
                if member.replica_id == own_id
                else progress.match_index
                for member, progress in self._voter_progress(replicas)
            )
        )

    def confirmed_round(self, replicas: model.ReplicaSet) -> float:
        """Returns the newest round that a majority of voters has answered."""
        own_id = self.own_id
        return majority_value(
            math.inf if member.replica_id == own_id else progress.acked_round
            for member, progress in self._voter_progress(replicas)
        )

    def quorum_contact_s(self, replicas: model.ReplicaSet, now: float) -> float:
        """Returns the latest time at which a majority followed the leader.

        It is the latest time such that calls sent then or later have been
        answered by a majority, the leader included.
        """
        own_id = self.own_id
        return majority_value(
            now if member.replica_id == own_id else progress.acked_s
            for member, progress in self._voter_progress(replicas)
        )

    def _voter_progress(
        self, replicas: model.ReplicaSet
    ) -> Iterable[tuple[model.ReplicaMember, Progress]]:
        no_progress = Progress(0)
        return (
            (member, self.progress.get(member.replica_id, no_progress))
            for member in voters(replicas)
        )
