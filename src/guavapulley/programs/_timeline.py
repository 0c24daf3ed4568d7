"""Merges the logs of all processes in causal order."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import datetime
import fnmatch
import heapq
import json
import pathlib
from typing import Any

import attrs

from guavapulley import errors

LOG_UNREADABLE = errors.register_code(
    "LOG_UNREADABLE", "A log file given to the timeline could not be read."
)

# Fields of every log line; the others are shown with their names.
_COMMON_FIELDS = frozenset(
    {
        "action_status",
        "action_type",
        "clock",
        "message_type",
        "node",
        "role",
        "sequence",
        "task_level",
        "task_uuid",
        "timestamp",
    }
)


class TimelineError(errors.GuavapulleyError):
    """A log file cannot be read."""


@attrs.frozen
class Event:
    """One line of a log.

    Attributes:
        order: Lamport clock, increased where needed so that it never decreases
            within a log.
        clock: Lamport clock as logged.
        process: Node and role, joined by a slash.
        sequence: Sequence number of the event in its process.
        name: Name of the event.
        timestamp: Wall-clock time in Unix seconds; clocks may disagree.
        fields: Other fields.
    """

    order: int
    clock: int
    process: str
    sequence: int
    name: str
    timestamp: float
    fields: Mapping[str, Any]

    def time(self) -> str:
        """Returns the wall-clock time in UTC with milliseconds."""
        try:
            moment = datetime.datetime.fromtimestamp(
                self.timestamp, datetime.UTC
            )
        except (OverflowError, ValueError, OSError):
            return "?"
        return f"{moment:%Y-%m-%d %H:%M:%S}.{moment.microsecond // 1000:03d}"

    def details(self) -> Iterator[tuple[str, str]]:
        """Yields the other fields as text without control characters."""
        for name in sorted(self.fields):
            value = self.fields[name]
            if isinstance(value, str) and _needs_no_quotes(value):
                yield name, value
            else:
                yield name, json.dumps(value, sort_keys=True)


def _needs_no_quotes(text: str) -> bool:
    return (
        bool(text)
        and text.isascii()
        and text.isprintable()
        and (" " not in text and '"' not in text)
    )


@attrs.frozen
class EventFilter:
    """Criteria that shown events meet; an empty one accepts all events.

    Attributes:
        request: Value of the field `request_id`.
        revision: Value of the field `revision`.
        upstream: Value of the field `upstream`.
        entry: Value of the field `entry`, or name of the entry that wrote the
            event.
        event: Pattern over event names, such as `request:*`.
    """

    request: str = ""
    revision: str = ""
    upstream: str = ""
    entry: str = ""
    event: str = ""

    def accepts(self, event: Event) -> bool:
        """Returns whether an event meets all criteria."""
        expected = {
            "request_id": self.request,
            "revision": self.revision,
            "upstream": self.upstream,
        }
        return (
            all(
                str(event.fields.get(name)) == value
                for name, value in expected.items()
                if value
            )
            and (
                not self.entry
                or str(event.fields.get("entry")) == self.entry
                or event.process == f"{self.entry}/entry"
            )
            and (not self.event or fnmatch.fnmatchcase(event.name, self.event))
        )


class LogReader:
    """Reads the events of one log file in the order of its lines.

    Attributes:
        path: Path of the file.
        skipped_lines: Number of lines that are not events, such as incomplete
            ones.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.skipped_lines = 0

    def events(self) -> Iterator[Event]:
        """Yields the events.

        Raises:
            TimelineError: The file cannot be read.
        """
        order = 0
        for line in self._lines():
            event = _parse(line, order)
            if event is None:
                self.skipped_lines += 1
            else:
                order = event.order
                yield event

    def _lines(self) -> Iterator[bytes]:
        try:
            with self.path.open("rb") as file:
                yield from (line for line in file if line.strip())
        except OSError as error:
            raise TimelineError(
                LOG_UNREADABLE, f"{self.path}: {error.strerror}"
            ) from error


def _parse(line: bytes, min_order: int) -> Event | None:
    """Returns the event of a line; None for other lines.

    Log collectors may put a time and a name before the event.
    """
    try:
        record = json.loads(line[max(0, line.find(b"{")) :])
        clock = int(record["clock"])
        name = record.get("message_type") or record["action_type"]
        return Event(
            max(clock, min_order),
            clock,
            f"{record['node']}/{record['role']}",
            int(record["sequence"]),
            str(name),
            float(record.get("timestamp", 0.0)),
            {key: record[key] for key in record if key not in _COMMON_FIELDS},
        )
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError):
        return None


def merge(
    readers: Iterable[LogReader], event_filter: EventFilter | None = None
) -> Iterator[Event]:
    """Yields the events of all logs in causal order.

    An event that caused another has the smaller Lamport clock (Lamport, 1978),
    so sorting by it puts causes first; node and sequence break ties. The events
    of one log keep their order.

    Args:
        readers: Readers of the log files.
        event_filter: Criteria of the events to yield; None yields all.

    Raises:
        TimelineError: A file cannot be read.
    """
    used_filter = event_filter or EventFilter()
    merged = heapq.merge(
        *(reader.events() for reader in readers),
        key=lambda event: (event.order, event.process),
    )
    return (event for event in merged if used_filter.accepts(event))


def remove_fields(event: Event, *names: str) -> Event:
    """Returns an event without some of its other fields."""
    remaining = {
        key: event.fields[key] for key in event.fields if key not in names
    }
    return attrs.evolve(event, fields=remaining)


def skipped_line_warnings(readers: Iterable[LogReader]) -> Iterator[str]:
    """Yields a warning for each file of which lines were skipped."""
    for reader in readers:
        if reader.skipped_lines:
            yield (
                f"{reader.path}: {reader.skipped_lines} lines skipped,"
                " because they are not events"
            )


def text_lines(events: Iterable[Event]) -> Iterator[str]:
    """Yields one line of text for each event."""
    for event in events:
        fields = " ".join(f"{name}={value}" for name, value in event.details())
        name = event.name if _needs_no_quotes(event.name) else ascii(event.name)
        process = event.process
        if not _needs_no_quotes(process):
            process = ascii(process)
        yield (
            f"{event.clock:>8}  {event.time()}  {process:<16}"
            f"  {name:<28}  {fields}"
        ).rstrip()
