"""Times at which a quorum confirmed the state of a replica."""

import collections
import math

import attrs

# Contacts kept of a replica that does not catch up; the newest one is replaced
# beyond that.
MAX_PENDING = 64


@attrs.frozen
class _Confirmation:
    """The commit index of the cluster at a time.

    Attributes:
        commit_index: Index of the last committed entry.
        time_s: The time, on trio's clock.
    """

    commit_index: int
    time_s: float


class Confirmations:
    """Contacts with a quorum, each with the commit index known from it.

    A contact says nothing about the state of a replica that has not applied
    all entries committed at that time, because it lacks them, replays its log
    or waits for its disk.

    Attributes:
        applied_s: Latest time at which the applied state was up to date, on
            trio's clock.
        pending: Contacts whose entries were not applied when they were last
            checked, oldest first.
    """

    def __init__(self) -> None:
        self.applied_s = -math.inf
        self.pending: collections.deque[_Confirmation] = collections.deque()

    def record(
        self, commit_index: int, time_s: float, applied_index: int
    ) -> None:
        """Records that a commit index was the newest one at a time.

        Args:
            commit_index: Index of the last committed entry.
            time_s: The time in seconds on trio's clock.
            applied_index: Index of the last applied entry.
        """
        self.newest_s(applied_index)
        newest = self.pending[-1] if self.pending else None
        newest_index = newest.commit_index if newest else applied_index
        if commit_index < newest_index:
            return  # It is late, or from a leader that does not know them all.
        if newest is not None and commit_index == newest.commit_index:
            time_s = max(time_s, self.pending.pop().time_s)
        if len(self.pending) == MAX_PENDING:
            self.pending.pop()
        self.pending.append(_Confirmation(commit_index, time_s))

    def newest_s(self, applied_index: int) -> float:
        """Returns the latest time at which the applied state was up to date.

        Args:
            applied_index: Index of the last applied entry.
        """
        while self.pending and self.pending[0].commit_index <= applied_index:
            confirmation = self.pending.popleft()
            self.applied_s = max(self.applied_s, confirmation.time_s)
        return self.applied_s
