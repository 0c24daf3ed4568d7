"""The log as a sequence of append-only files."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import pathlib
import typing

import attrs
import msgpack

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.disk import _records

PREFIX = "log-"
NUMBER_DIGITS = 12


@attrs.frozen
class _Batch:
    """What one record holds.

    Attributes:
        removed_from: Entries from this index on are void; 0 if none are.
        entries: Entries that follow.
    """

    removed_from: int
    entries: tuple[model.LogEntry, ...]


def _encode(batch: _Batch) -> bytes:
    rows = [(e.index, e.term, str(e.kind), e.payload) for e in batch.entries]
    return typing.cast(bytes, msgpack.packb((batch.removed_from, rows)))


def _decode(payload: bytes) -> _Batch:
    removed_from, rows = msgpack.unpackb(payload)
    return _Batch(
        removed_from,
        tuple(
            model.LogEntry(index, term, model.EntryKind(kind), data)
            for index, term, kind, data in rows
        ),
    )


def replay(batches: Iterable[_Batch], after: int) -> tuple[model.LogEntry, ...]:
    """Returns the entries behind an index that the batches amount to.

    Raises:
        DiskError: An entry is missing.
    """
    entries: list[model.LogEntry] = []
    for batch in batches:
        if batch.removed_from:
            del entries[max(0, batch.removed_from - after - 1) :]
        for entry in batch.entries:
            if entry.index <= after:
                continue
            if entry.index != after + len(entries) + 1:
                raise ports.DiskError(
                    ports.LOG_CORRUPT,
                    f"entry {entry.index} does not follow"
                    f" {after + len(entries)}",
                )
            entries.append(entry)
    return tuple(entries)


class Segments:
    """Append-only files `log-N` with rising numbers.

    A removal of entries is a record as well, because cutting a synced record
    in two could lose its first half in a crash.

    Args:
        folder: The data folder.
        sync: Makes a file descriptor durable.

    Attributes:
        last_index: Last entry, or the snapshot's when there is none behind it.
        closed: Numbers of the files that take no more records, each with the
            greatest index in it.
        current: Number of the file that takes records, if there is one.
        current_max: Greatest index in that file.
    """

    def __init__(self, folder: pathlib.Path, sync: _records.Sync) -> None:
        self.folder = folder
        self.sync = sync
        self.last_index = 0
        self.closed: list[tuple[int, int]] = []
        self.current: int | None = None
        self.current_max = 0
        self.file: typing.BinaryIO | None = None

    def _path(self, number: int) -> pathlib.Path:
        return self.folder / f"{PREFIX}{number:0{NUMBER_DIGITS}}"

    def load(self, after: int) -> tuple[model.LogEntry, ...]:
        """Returns the entries behind an index, cutting off a torn record.

        Raises:
            DiskError: A record other than the last is damaged.
        """
        numbers = sorted(
            int(path.name.removeprefix(PREFIX))
            for path in self.folder.glob(f"{PREFIX}*")
        )
        if numbers:
            self.current = numbers[-1]
        entries = replay(self._read(numbers), after)
        self.last_index = after + len(entries)
        return entries

    def _read(self, numbers: Sequence[int]) -> Iterator[_Batch]:
        for number in numbers:
            greatest = 0
            for batch in self._read_file(number):
                greatest = max([greatest, *(e.index for e in batch.entries)])
                yield batch
            if number == self.current:
                self.current_max = greatest
            else:
                self.closed.append((number, greatest))

    def _read_file(self, number: int) -> Iterator[_Batch]:
        path, last = self._path(number), number == self.current
        data = path.read_bytes()
        end = 0
        for offset, payload in _records.read_all(data, torn_tail=last):
            yield _decode(payload)
            end = offset + _records.HEADER_BYTES + len(payload)
        if last:
            # The last process may have ended between a write and its sync.
            with path.open("r+b") as file:
                file.truncate(end)
                self.sync(file.fileno())

    def append(self, entries: Sequence[model.LogEntry]) -> None:
        """Appends entries as one record."""
        if not entries:
            return
        if entries[0].index != self.last_index + 1:
            raise ValueError(
                f"entry {entries[0].index} does not follow {self.last_index}"
            )
        self._write(_Batch(0, tuple(entries)))
        self.last_index = entries[-1].index
        self.current_max = max(self.current_max, self.last_index)

    def truncate_from(self, index: int) -> None:
        """Removes the entries from an index on."""
        if index <= self.last_index:
            self._write(_Batch(index, ()))
            self.last_index = index - 1

    def _write(self, batch: _Batch) -> None:
        if self.file is None:
            self.file = self._open()
        self.file.write(_records.encode(_encode(batch)))
        self.file.flush()
        self.sync(self.file.fileno())

    def _open(self) -> typing.BinaryIO:
        if self.current is None:
            return self._create(1)
        return self._path(self.current).open("ab")

    def _create(self, number: int) -> typing.BinaryIO:
        file = self._path(number).open("xb")
        _records.sync_folder(self.folder, self.sync)
        self.current, self.current_max = number, 0
        return file

    def drop_through(self, index: int) -> None:
        """Removes files whose entries a snapshot covers, oldest first.

        The present file takes no more records if it holds entries, so that it
        can be removed by this snapshot or the next one. Its successor keeps
        the counter.
        """
        if self.current is not None and self.current_max:
            self.close()
            self.closed.append((self.current, self.current_max))
            self.file = self._create(self.current + 1)
        removed = 0
        while self.closed and self.closed[0][1] <= index:
            number, _ = self.closed.pop(0)
            self._path(number).unlink()
            removed += 1
        if removed:
            _records.sync_folder(self.folder, self.sync)
        self.last_index = max(self.last_index, index)

    def close(self) -> None:
        """Closes the present file."""
        if self.file is not None:
            self.file.close()
            self.file = None
