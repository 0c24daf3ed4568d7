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
    """Content of one record.

    Attributes:
        removed_from: Index from which on earlier entries are removed; 0 if none
            are.
        entries: Entries that are then appended.
    """

    removed_from: int
    entries: tuple[model.LogEntry, ...]


def _encode(batch: _Batch) -> bytes:
    rows = [
        (entry.index, entry.term, str(entry.kind), entry.payload)
        for entry in batch.entries
    ]
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
    """Applies batches in order and returns the entries after an index.

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
    """Append-only files `log-N` with increasing numbers.

    A removal of entries is appended as a record as well, because truncating a
    file inside a synced record could lose the first half of that record in a
    crash.

    Args:
        folder: The data folder.
        sync: Makes the data written to a file descriptor durable.

    Attributes:
        last_index: Index of the last entry, or of the snapshot if no entry
            follows it.
        closed_files: Number and highest index of each file that receives no
            more records, oldest first.
        current_number: Number of the file that receives records, if there is
            one.
        current_max_index: Highest index in that file.
    """

    def __init__(self, folder: pathlib.Path, sync: _records.Sync) -> None:
        self.folder = folder
        self.sync = sync
        self.last_index = 0
        self.closed_files: list[tuple[int, int]] = []
        self.current_number: int | None = None
        self.current_max_index = 0
        self.file: typing.BinaryIO | None = None

    def _path(self, number: int) -> pathlib.Path:
        return self.folder / f"{PREFIX}{number:0{NUMBER_DIGITS}}"

    def load(self, after: int) -> tuple[model.LogEntry, ...]:
        """Returns the entries after an index; truncates a torn last record.

        Raises:
            DiskError: A record other than the last is damaged, or an entry is
                missing.
        """
        numbers = sorted(
            int(path.name.removeprefix(PREFIX))
            for path in self.folder.glob(f"{PREFIX}*")
        )
        if numbers:
            self.current_number = numbers[-1]
        entries = replay(self._read_batches(numbers), after)
        self.last_index = after + len(entries)
        return entries

    def _read_batches(self, numbers: Sequence[int]) -> Iterator[_Batch]:
        for number in numbers:
            max_index = 0
            for batch in self._read_file(number):
                max_index = max(
                    [max_index, *(entry.index for entry in batch.entries)]
                )
                yield batch
            if number == self.current_number:
                self.current_max_index = max_index
            else:
                self.closed_files.append((number, max_index))

    def _read_file(self, number: int) -> Iterator[_Batch]:
        path, is_current = self._path(number), number == self.current_number
        data = path.read_bytes()
        end = 0
        for offset, payload in _records.read_records(
            data, allow_torn_tail=is_current
        ):
            yield _decode(payload)
            end = offset + _records.HEADER_BYTES + len(payload)
        if is_current:
            # The previous process may have ended between a write and its sync.
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
        self.current_max_index = max(self.current_max_index, self.last_index)

    def truncate_from(self, index: int) -> None:
        """Removes the entries from an index on."""
        if index <= self.last_index:
            self._write(_Batch(index, ()))
            self.last_index = index - 1

    def _write(self, batch: _Batch) -> None:
        if self.file is None:
            self.file = self._open_current()
        self.file.write(_records.encode(_encode(batch)))
        self.file.flush()
        self.sync(self.file.fileno())

    def _open_current(self) -> typing.BinaryIO:
        if self.current_number is None:
            return self._create_file(1)
        return self._path(self.current_number).open("ab")

    def _create_file(self, number: int) -> typing.BinaryIO:
        file = self._path(number).open("xb")
        _records.sync_folder(self.folder, self.sync)
        self.current_number, self.current_max_index = number, 0
        return file

    def remove_through(self, index: int) -> None:
        """Removes files whose entries a snapshot covers, oldest first.

        If the current file contains entries, it is closed and a file with the
        next number is created. Thus this snapshot or the next one can remove
        the closed file, and the new file preserves the numbering.
        """
        if self.current_number is not None and self.current_max_index:
            self.close()
            self.closed_files.append(
                (self.current_number, self.current_max_index)
            )
            self.file = self._create_file(self.current_number + 1)
        removed = 0
        while self.closed_files and self.closed_files[0][1] <= index:
            number, _ = self.closed_files.pop(0)
            self._path(number).unlink()
            removed += 1
        if removed:
            _records.sync_folder(self.folder, self.sync)
        self.last_index = max(self.last_index, index)

    def close(self) -> None:
        """Closes the current file."""
        if self.file is not None:
            self.file.close()
            self.file = None
