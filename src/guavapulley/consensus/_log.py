"""The part of the log that is kept in memory."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import itertools

import attrs

from guavapulley import model
from guavapulley import ports


@attrs.define
class Log:
    """Log entries after a base index, with the replica sets among them.

    The current replica set is the last one in the log, even if it is not
    committed (Ongaro, "Consensus: Bridging Theory and Practice", 4.1).

    Attributes:
        codec: Decodes the replica sets in entries.
        snapshot: Last snapshot, if any.
        base_index: Index of the entry before the first one in memory.
        base_term: Term of the entry at `base_index`.
        entries: Entries in memory.
        payload_bytes: Payload bytes of the entries in memory.
        replica_sets: Pairs of log index and replica set, oldest first. The
            first one is the set in effect at `base_index`.
    """

    codec: ports.Codec
    snapshot: model.Snapshot | None = None
    base_index: int = 0
    base_term: int = 0
    entries: list[model.LogEntry] = attrs.field(factory=list)
    payload_bytes: int = 0
    replica_sets: list[tuple[int, model.ReplicaSet]] = attrs.field(
        factory=lambda: [(0, model.ReplicaSet())]
    )

    @property
    def last_index(self) -> int:
        """Index of the last entry, or `base_index` if there are no entries."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the entry at `last_index`."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def replicas(self) -> model.ReplicaSet:
        """Current replica set."""
        return self.replica_sets[-1][1]

    @property
    def replicas_index(self) -> int:
        """Index of the entry that contains the current replica set."""
        return self.replica_sets[-1][0]

    def replicas_at(self, index: int) -> model.ReplicaSet:
        """Returns the replica set in effect at an index.

        Args:
            index: Log index, at least `base_index`.
        """
        candidates = (item for at, item in self.replica_sets if at <= index)
        return list(candidates)[-1]

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> model.LogEntry:
        """Returns an entry, which must be in memory."""
        return self.entries[index - self.base_index - 1]

    def batch(
        self, first: int, max_entries: int, max_bytes: int
    ) -> tuple[model.LogEntry, ...]:
        """Returns entries for one message.

        Args:
            first: Index of the first entry, which must be in memory.
            max_entries: Maximum number of entries.
            max_bytes: Maximum payload bytes; the first entry is returned even
                if it exceeds them.
        """
        start = first - self.base_index - 1
        following = itertools.islice(self.entries, start, start + max_entries)
        return tuple(_limit_payload_bytes(following, max_bytes))

    def append(self, entries: Sequence[model.LogEntry]) -> None:
        """Appends entries, which must follow the last entry of the log."""
        self.entries.extend(entries)
        self.payload_bytes += total_payload_bytes(entries)
        self.replica_sets.extend(self._replica_sets_in(entries))

    def truncate_from(self, index: int) -> None:
        """Removes the entry at an index and all later ones."""
        position = index - self.base_index - 1
        self.payload_bytes -= total_payload_bytes(self.entries[position:])
        del self.entries[position:]
        while self.replica_sets[-1][0] >= index:
            self.replica_sets.pop()

    def compact(
        self,
        snapshot: model.Snapshot,
        trailing_entries: int,
        trailing_bytes: int,
    ) -> None:
        """Adopts a snapshot of applied entries and drops old entries.

        Args:
            snapshot: The snapshot, whose index must be in memory.
            trailing_entries: Maximum number of entries that the snapshot
                covers and that are kept nevertheless.
            trailing_bytes: Maximum payload bytes of these entries.
        """
        self.snapshot = snapshot
        covered = self.entries[: snapshot.index - self.base_index]
        base = snapshot.index - _count_trailing(
            covered, trailing_entries, trailing_bytes
        )
        term = self.term_at(base)
        assert term is not None
        base_replicas = self.replicas_at(base)
        dropped = base - self.base_index
        self.payload_bytes -= total_payload_bytes(self.entries[:dropped])
        del self.entries[:dropped]
        self.base_index, self.base_term = base, term
        later = [item for item in self.replica_sets if item[0] > base]
        self.replica_sets = [(base, base_replicas), *later]

    def reset(self, snapshot: model.Snapshot) -> None:
        """Replaces the log by a snapshot.

        Later entries are kept if the log agrees with the snapshot at its index.
        """
        matches = self.term_at(snapshot.index) == snapshot.term
        retained = (
            self.entries[snapshot.index - self.base_index :] if matches else []
        )
        self.snapshot = snapshot
        self.base_index, self.base_term = snapshot.index, snapshot.term
        self.entries = []
        self.payload_bytes = 0
        self.replica_sets = [(snapshot.index, snapshot.replicas)]
        self.append(retained)

    def _replica_sets_in(
        self, entries: Sequence[model.LogEntry]
    ) -> Iterator[tuple[int, model.ReplicaSet]]:
        for entry in entries:
            if entry.kind is model.EntryKind.REPLICAS:
                replicas = self.codec.decode(entry.payload)
                assert isinstance(replicas, model.ReplicaSet)
                yield entry.index, replicas


def total_payload_bytes(entries: Iterable[model.LogEntry]) -> int:
    """Returns the payload bytes of entries."""
    return sum(len(entry.payload) for entry in entries)


def _count_trailing(
    entries: Sequence[model.LogEntry], max_entries: int, max_bytes: int
) -> int:
    """Returns how many of the last entries are within both limits."""
    newest_first = itertools.islice(reversed(entries), max_entries)
    sizes = itertools.accumulate(len(entry.payload) for entry in newest_first)
    return sum(1 for size in sizes if size <= max_bytes)


def _limit_payload_bytes(
    entries: Iterator[model.LogEntry], max_bytes: int
) -> Iterator[model.LogEntry]:
    size = 0
    for position, entry in enumerate(entries):
        size += len(entry.payload)
        if position and size > max_bytes:
            return
        yield entry
