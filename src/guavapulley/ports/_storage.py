"""Durable storage of the replicated log, and the state machine over it."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from guavapulley import model


@attrs.frozen
class StoredLog:
    """What a data folder holds at start."""

    identity: model.ReplicaIdentity | None = None
    term: int = 0
    voted_for: str | None = None
    snapshot: model.Snapshot | None = None
    entries: tuple[model.LogEntry, ...] = ()


class LogStore(Protocol):
    """Durable log of one replica; each call returns after its sync.

    Each method raises `DiskError` when the disk fails; the replica must stop
    then, because the state of the files is unknown.
    """

    async def load(self) -> StoredLog:
        """Reads the data folder and cuts off a torn last record.

        Raises:
            DiskError: A record other than the last fails its checksum.
        """

    async def save_identity(self, identity: model.ReplicaIdentity) -> None:
        """Stores the identity of a new replica."""

    async def save_vote(self, term: int, voted_for: str | None) -> None:
        """Stores term and vote."""

    async def append(self, entries: Sequence[model.LogEntry]) -> None:
        """Appends entries that follow the last one."""

    async def truncate_from(self, index: int) -> None:
        """Removes the entries from an index on."""

    async def save_snapshot(self, snapshot: model.Snapshot) -> None:
        """Stores a snapshot and drops the entries that it covers."""


class StateMachine(Protocol):
    """Deterministic state over the committed log."""

    def apply(self, index: int, payload: bytes) -> object:
        """Applies a committed command and returns its result."""

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, state: bytes) -> None:
        """Replaces the state by a snapshot."""
