"""The log in memory, from the last snapshot on."""

from collections.abc import Iterator
from collections.abc import Sequence
import itertools

import attrs

from guavapulley import model
from guavapulley import ports


@attrs.define
class Log:
    """Entries behind a base, with the replica sets that they contain.

    The replica set in force is the last one in the log, committed or not
    (Ongaro, "Consensus: Bridging Theory and Practice", 4.1).

    Attributes:
        codec: Decodes the replica sets of entries.
        snapshot: Last snapshot, if any.
        base_index: Index of the entry before the first one held.
        base_term: Term of that entry.
        entries: Entries held.
        replica_sets: Replica sets with their indexes, oldest first.
    """

    codec: ports.Codec
    snapshot: model.Snapshot | None = None
    base_index: int = 0
    base_term: int = 0
    entries: list[model.LogEntry] = attrs.field(factory=list)
    replica_sets: list[tuple[int, model.ReplicaSet]] = attrs.field(
        factory=lambda: [(0, model.ReplicaSet())]
    )

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def replicas(self) -> model.ReplicaSet:
        """Replica set in force."""
        return self.replica_sets[-1][1]

    @property
    def replicas_index(self) -> int:
        """Index of the entry with the replica set in force."""
        return self.replica_sets[-1][0]

    def replicas_at(self, index: int) -> model.ReplicaSet:
        """Returns the replica set in force at an index not before the base."""
        found = (item for at, item in self.replica_sets if at <= index)
        return list(found)[-1]

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None when it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> model.LogEntry:
        """Returns an entry that is held."""
        return self.entries[index - self.base_index - 1]

    def batch(
        self, first: int, max_entries: int, max_bytes: int
    ) -> tuple[model.LogEntry, ...]:
        """Returns entries for one message.

        Args:
            first: Index of the first entry, which must be held.
            max_entries: Most entries.
            max_bytes: Most payload bytes, unless the first entry has more.
        """
        start = first - self.base_index - 1
        held = itertools.islice(self.entries, start, start + max_entries)
        return tuple(_within(held, max_bytes))

    def append(self, entries: Sequence[model.LogEntry]) -> None:
        """Appends entries that follow the last one."""
        self.entries.extend(entries)
        self.replica_sets.extend(self._replica_sets_in(entries))

    def truncate_from(self, index: int) -> None:
        """Removes the entries from an index on."""
        del self.entries[index - self.base_index - 1 :]
        while self.replica_sets[-1][0] >= index:
            self.replica_sets.pop()

    def compact(self, snapshot: model.Snapshot, keep: int) -> None:
        """Takes a snapshot of applied entries and drops old entries.

        Args:
            snapshot: The snapshot; its index is held.
            keep: Entries to keep before the index of the snapshot.
        """
        self.snapshot = snapshot
        base = max(self.base_index, snapshot.index - keep)
        term = self.term_at(base)
        assert term is not None
        kept = self.replicas_at(base)
        del self.entries[: base - self.base_index]
        self.base_index, self.base_term = base, term
        later = [item for item in self.replica_sets if item[0] > base]
        self.replica_sets = [(base, kept), *later]

    def reset(self, snapshot: model.Snapshot) -> None:
        """Replaces the log by a snapshot, keeping entries that follow it."""
        matches = self.term_at(snapshot.index) == snapshot.term
        tail = (
            self.entries[snapshot.index - self.base_index :] if matches else []
        )
        self.snapshot = snapshot
        self.base_index, self.base_term = snapshot.index, snapshot.term
        self.entries = []
        self.replica_sets = [(snapshot.index, snapshot.replicas)]
        self.append(tail)

    def _replica_sets_in(
        self, entries: Sequence[model.LogEntry]
    ) -> Iterator[tuple[int, model.ReplicaSet]]:
        for entry in entries:
            if entry.kind is model.EntryKind.REPLICAS:
                replicas = self.codec.decode(entry.payload)
                assert isinstance(replicas, model.ReplicaSet)
                yield entry.index, replicas


def _within(
    entries: Iterator[model.LogEntry], max_bytes: int
) -> Iterator[model.LogEntry]:
    size = 0
    for position, entry in enumerate(entries):
        size += len(entry.payload)
        if position and size > max_bytes:
            return
        yield entry
