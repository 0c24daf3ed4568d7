"""Proposed commands whose results callers wait for."""

import attrs
import trio

from guavapulley import model
from guavapulley.consensus import _errors


@attrs.define
class Proposal:
    """A command that this replica appended as leader.

    Attributes:
        term: Term of the entry.
        done: Set when the entry was applied or replaced, or when this replica
            cannot learn its outcome any more.
        result: Result of the state machine.
        error: Reason why there is no result.
    """

    term: int
    done: trio.Event = attrs.field(factory=trio.Event)
    result: object = None
    error: _errors.NoQuorumError | None = None


class Proposals:
    """The proposals whose outcome is not known yet.

    Attributes:
        pending: Proposals by log index.
    """

    def __init__(self) -> None:
        self.pending: dict[int, Proposal] = {}

    def add(self, entry: model.LogEntry) -> Proposal:
        """Registers and returns a proposal for an appended entry."""
        proposal = Proposal(entry.term)
        self.pending[entry.index] = proposal
        return proposal

    def discard(self, index: int, proposal: Proposal) -> None:
        """Removes a proposal that no caller waits for any more."""
        if self.pending.get(index) is proposal:
            del self.pending[index]

    def resolve(self, entry: model.LogEntry, result: object) -> None:
        """Completes the proposal at the index of an applied entry.

        If the applied entry is from another term, it has replaced the proposed
        entry, which will never be committed.
        """
        proposal = self.pending.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.result = result
        else:
            proposal.error = _errors.NoQuorumError(
                "the command was replaced by an entry of another leader",
                appended=False,
            )
        proposal.done.set()

    def fail_covered_by_snapshot(self, index: int) -> None:
        """Fails the proposals up to an index that a snapshot covers."""
        for covered_index in [
            pending_index
            for pending_index in self.pending
            if pending_index <= index
        ]:
            proposal = self.pending.pop(covered_index)
            proposal.error = _errors.NoQuorumError(
                "a snapshot replaced the command, whose outcome is unknown",
                appended=True,
            )
            proposal.done.set()

    def fail_all(self, reason: str) -> None:
        """Fails all proposals because the replica stops."""
        for proposal in self.pending.values():
            proposal.error = _errors.NoQuorumError(reason, appended=True)
            proposal.done.set()
        self.pending.clear()
