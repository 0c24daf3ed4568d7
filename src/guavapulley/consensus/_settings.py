"""Settings of the replicated log."""

import attrs

KIB = 1024
MIB = 1024 * KIB


@attrs.frozen
class ConsensusSettings:
    """Timeouts, intervals and limits of the replicated log.

    The defaults suit one-way network delays of up to about 100 ms. A failed
    leader is replaced within the sum of `election_timeout_max_s`, one
    heartbeat interval, two round trips and a sync, plus one retry if two
    candidates split the votes. The sum is below the target of 5 s.

    Attributes:
        heartbeat_interval_s: Maximum interval between messages to a peer. It
            is also the delay after which followers learn of a commit.
        election_timeout_min_s: Time without quorum after which a leader steps
            down. Until then, a follower grants no vote to another candidate.
        election_timeout_max_s: A follower without contact to a leader
            campaigns after a random time between minimum and maximum.
        first_election_min_s: Minimum of the random time after which a replica
            campaigns that has had no contact with a leader and has not voted
            since its start. It may be shorter than the election timeout: a
            working leader is not deposed, because replicas in contact with it
            reject the pre-vote.
        first_election_max_s: Maximum of that random time.
        election_retry_min_s: Minimum pause after a failed campaign.
        election_retry_max_s: Maximum pause after a failed campaign.
        vote_timeout_s: Timeout of a vote request.
        call_timeout_s: Timeout of other calls to a peer.
        snapshot_timeout_s: Timeout of a call with a snapshot chunk. The peer
            answers the last chunk only after it has restored and synced the
            snapshot.
        join_interval_s: Pause between attempts to join a cluster.
        join_timeout_s: Timeout for the commit of a new learner.
        reorder_wait_s: Time for which a follower holds back entries that have
            overtaken preceding ones.
        max_batch_entries: Maximum number of entries in a message.
        max_batch_bytes: Maximum payload bytes in a message with more than one
            entry.
        batch_interval_s: Minimum interval between calls with entries to a
            peer. It limits the number of messages, which cost about 0.25 ms of
            CPU time each, and delays a commit by at most its length.
        max_calls_in_flight: Maximum number of unanswered calls with entries to
            a peer. At one call per batch interval it is enough for a whole
            round trip.
        max_bytes_in_flight: Payload bytes in unanswered calls at which no
            further entries are sent to a peer. A message holds at least one
            entry, so that the limit may be exceeded by one batch.
        max_command_bytes: Maximum size of a command.
        max_uncommitted_entries: Number of uncommitted entries at which a
            leader rejects further commands.
        max_log_bytes: Payload bytes in memory at which a leader rejects
            further commands. Only a log that cannot be committed, synced or
            compacted reaches it.
        snapshot_entries: Applied entries after which a snapshot is made.
        snapshot_bytes: Applied payload bytes after which a snapshot is made.
        snapshot_chunk_bytes: Maximum bytes of a snapshot in one message.
        trailing_entries: Maximum number of entries that stay in memory
            although a snapshot covers them, so that a follower that lags
            slightly does not need the snapshot.
        trailing_bytes: Maximum payload bytes of these entries.
        catch_up_entries: Maximum lag of a learner that counts as caught up.
        max_voters: Target number of voters. Further replicas stay learners
            until a voter stops answering. None makes every replica a voter.
        replace_silence_s: Time without an answer after which a learner may
            replace a voter.
        rejoin_silence_s: Time without contact to a leader after which a
            replica requests admission again, because it may have been
            replaced.
    """

    heartbeat_interval_s: float = 0.25
    election_timeout_min_s: float = 1.0
    election_timeout_max_s: float = 2.0
    first_election_min_s: float = 1.0
    first_election_max_s: float = 2.0
    election_retry_min_s: float = 0.1
    election_retry_max_s: float = 0.8
    vote_timeout_s: float = 0.75
    call_timeout_s: float = 1.0
    snapshot_timeout_s: float = 10.0
    join_interval_s: float = 1.0
    join_timeout_s: float = 2.0
    reorder_wait_s: float = 0.05
    max_batch_entries: int = 512
    max_batch_bytes: int = MIB
    batch_interval_s: float = 0.005
    max_calls_in_flight: int = 32
    max_bytes_in_flight: int = 4 * MIB
    max_command_bytes: int = 2 * MIB
    max_uncommitted_entries: int = 4096
    max_log_bytes: int = 48 * MIB
    snapshot_entries: int = 10_000
    snapshot_bytes: int = 16 * MIB
    snapshot_chunk_bytes: int = 512 * KIB
    trailing_entries: int = 500
    trailing_bytes: int = 2 * MIB
    catch_up_entries: int = 16
    max_voters: int | None = None
    replace_silence_s: float = 2.0
    rejoin_silence_s: float = 3.0
