"""The ports for storage of the replicated log and its state machine."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from guavapulley import model


@attrs.frozen
class StoredLog:
    """The contents of a data folder at the start of a replica."""

    identity: model.ReplicaIdentity | None = None
    term: int = 0
    voted_for: str | None = None
    snapshot: model.Snapshot | None = None
    entries: tuple[model.LogEntry, ...] = ()


class LogStore(Protocol):
    """The durable log of one replica.

    Each write returns after its data is synced. Each method raises `DiskError`
    when the disk fails; the replica must then stop, because the state of the
    files is unknown.
    """

    async def load(self) -> StoredLog:
        """Reads the data folder and truncates a torn last record.

        Raises:
            DiskError: A record other than the last fails its checksum.
        """

    async def save_identity(self, identity: model.ReplicaIdentity) -> None:
        """Stores the identity of a new replica."""

    async def save_vote(self, term: int, voted_for: str | None) -> None:
        """Stores the current term and the vote in it."""

    async def append(self, entries: Sequence[model.LogEntry]) -> None:
        """Appends entries; the first one must follow the last stored entry."""

    async def truncate_from(self, index: int) -> None:
        """Removes all entries at or after an index."""

    async def save_snapshot(self, snapshot: model.Snapshot) -> None:
        """Stores a snapshot and removes the entries that it covers."""


class StateMachine(Protocol):
    """Deterministic state that results from the committed commands."""

    def apply(self, index: int, payload: bytes) -> object:
        """Applies a committed command and returns its result."""

    def snapshot(self) -> bytes:
        """Returns the complete state in encoded form."""

    def restore(self, state: bytes) -> None:
        """Replaces the state by that of a snapshot."""
