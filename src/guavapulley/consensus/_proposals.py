"""Commands whose callers wait for a result."""

import attrs
import trio

from guavapulley import model
from guavapulley.consensus import _errors


@attrs.define
class Proposal:
    """A command in the log of this replica.

    Attributes:
        term: Term of its entry.
        done: Set when the fate of the entry is known, or can't become known
            on this replica.
        result: Result of the state machine.
        error: Why there is no result.
    """

    term: int
    done: trio.Event = attrs.field(factory=trio.Event)
    result: object = None
    error: _errors.NoQuorumError | None = None


class Proposals:
    """Open proposals by log index."""

    def __init__(self) -> None:
        self.open: dict[int, Proposal] = {}

    def add(self, entry: model.LogEntry) -> Proposal:
        """Returns a proposal for an entry just appended."""
        proposal = Proposal(entry.term)
        self.open[entry.index] = proposal
        return proposal

    def discard(self, index: int, proposal: Proposal) -> None:
        """Forgets a proposal that nobody waits for any more."""
        if self.open.get(index) is proposal:
            del self.open[index]

    def applied(self, entry: model.LogEntry, result: object) -> None:
        """Answers the proposal at the index of an applied entry.

        An entry of another term at the index is committed, so the proposed
        one never will be.
        """
        proposal = self.open.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.result = result
        else:
            proposal.error = _errors.NoQuorumError(
                "another leader's entry took the place of the command",
                appended=False,
            )
        proposal.done.set()

    def skipped(self, index: int) -> None:
        """Answers the proposals up to an index that a snapshot covers."""
        for known in [at for at in self.open if at <= index]:
            proposal = self.open.pop(known)
            proposal.error = _errors.NoQuorumError(
                "a snapshot hides whether the command took effect",
                appended=True,
            )
            proposal.done.set()

    def failed(self, reason: str) -> None:
        """Answers all proposals because the replica stops."""
        for proposal in self.open.values():
            proposal.error = _errors.NoQuorumError(reason, appended=True)
            proposal.done.set()
        self.open.clear()
