"""Event log that writes JSON lines with eliot."""

from collections.abc import Iterable
from collections.abc import Mapping
import json
import math
import os
import pathlib
import re
import threading
from typing import Any

import eliot

from guavapulley import errors
from guavapulley import ports
from guavapulley.adapters import clock as clocks
from guavapulley.adapters.logs import _sink

LOG_UNWRITABLE = errors.register_code(
    "LOG_UNWRITABLE", "The log file of a process could not be opened."
)
REDACTED = "[redacted]"
MAX_TEXT_CHARS = 4_096
MAX_DEPTH = 4
# Large enough for several lines of the greatest length.
TAIL_BYTES = 262_144
_SECRET_FIELD = re.compile(
    r"token|secret|password|authorization|cookie|cluster_key", re.IGNORECASE
)
# Fields that eliot or this log sets; an event's field of the same name gets a
# trailing underscore.
_RESERVED = frozenset(
    {
        "action_status",
        "action_type",
        "clock",
        "message_type",
        "node",
        "role",
        "self",
        "sequence",
        "task_level",
        "task_uuid",
        "timestamp",
    }
)


class LogError(errors.GuavapulleyError):
    """The log file cannot be opened."""


class _SinkLogger:
    """eliot logger that writes to one sink instead of global destinations.

    Lines that cannot be written are counted; the next line that is written
    has the count in its field `lines_lost_before`.

    Attributes:
        lost_lines: Lines lost since the last written one.
    """

    def __init__(self, sink: _sink.LineSink) -> None:
        self.destination = eliot.FileDestination(file=sink)
        self.lost_lines = 0

    def write(self, message: dict[str, Any], serializer: object = None) -> None:
        """Writes a message; eliot calls this method."""
        if self.lost_lines:
            message["lines_lost_before"] = self.lost_lines
        try:
            self.destination(message)
            self.lost_lines = 0
        except (OSError, ValueError):  # disk full, or file closed
            self.lost_lines += 1


def _read_last_clock(path: pathlib.Path) -> int:
    """Returns the counter in the last complete line of a file, or 0."""
    if not path.exists():
        return 0
    with path.open("rb") as file:
        file.seek(0, os.SEEK_END)
        file.seek(max(0, file.tell() - TAIL_BYTES))
        lines = file.read().splitlines()
    for line in reversed(lines):
        try:
            clock = json.loads(line)["clock"]
        except (ValueError, KeyError, TypeError):
            continue
        if isinstance(clock, int):
            return clock
    return 0


def _open_sink(
    path: pathlib.Path, clock: clocks.LamportClock
) -> _sink.LineSink:
    """Opens a log file and advances the clock to its last counter.

    Raises:
        LogError: The file cannot be opened.
    """
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        clock.observe(_read_last_clock(path))
        return _sink.FileSink(path)
    except OSError as error:
        raise LogError(
            LOG_UNWRITABLE, f"{path} cannot be opened: {error.strerror}"
        ) from error


class EliotEventLog:
    """Appends events to a log file or stream; each is one line of JSON.

    Every line has `node`, `role`, `clock` (Lamport counter) and `sequence`
    (number of the event in its process). The counter continues from the last
    line in the file, so that the events of a restarted process stay in order.
    A line that cannot be written, for example on a full disk, is counted and
    raises no error.

    Args:
        target: Path of the log file, whose missing parent folders are
            created, or a sink for the lines.
        node: Name of the VM.
        role: Role of the process.
        clock: Lamport clock of the process.
        secrets: Texts that are replaced by `REDACTED` in all values.

    Raises:
        LogError: The file cannot be opened.
    """

    def __init__(
        self,
        target: pathlib.Path | _sink.LineSink,
        node: str,
        role: str,
        clock: clocks.LamportClock,
        secrets: Iterable[str] = (),
    ) -> None:
        self.common_fields = {"node": node, "role": role}
        self.clock = clock
        self.secrets = tuple(text for text in secrets if text)
        self.sequence = 0
        self.lock = threading.Lock()
        self.sink = (
            _open_sink(target, clock)
            if isinstance(target, pathlib.Path)
            else target
        )
        self.logger = _SinkLogger(self.sink)
        self.task = eliot.start_task(
            self.logger, "process:run", **self._add_common_fields({})
        )

    def write(self, event: str, **fields: object) -> None:
        """Writes an event.

        Args:
            event: Name of the event.
            **fields: JSON-compatible values; others are converted to text.
                The value of a field whose name indicates a secret is replaced
                by `REDACTED`.
        """
        # Worker threads of the HTTP server also write events.
        with self.lock:
            if (
                event == ports.REQUEST_ANSWERED_EVENT
                and self.sink.is_congested()
            ):
                self.logger.lost_lines += 1
                return
            self.task.log(event, **self._add_common_fields(fields))

    def close(self) -> None:
        """Closes the log file or sink."""
        self.sink.close()

    def _add_common_fields(
        self, fields: Mapping[str, object]
    ) -> dict[str, Any]:
        self.sequence += 1
        unreserved = {
            f"{name}_" if name in _RESERVED else name: value
            for name, value in fields.items()
        }
        return {
            **self._sanitize_mapping(unreserved, 0),
            **self.common_fields,
            "clock": self.clock.tick(),
            "sequence": self.sequence,
        }

    def _sanitize_mapping(
        self, fields: Mapping[Any, object], depth: int
    ) -> dict[str, Any]:
        return {
            str(name): REDACTED
            if _SECRET_FIELD.search(str(name))
            else self._sanitize(value, depth)
            for name, value in fields.items()
        }

    def _sanitize(self, value: object, depth: int) -> Any:
        """Returns a JSON-compatible copy of a value, without secrets."""
        if value is None or isinstance(value, bool):
            return value
        if isinstance(value, int) and abs(value) < 2**63:
            return int(value)
        if isinstance(value, float) and math.isfinite(value):
            return float(value)
        if depth < MAX_DEPTH and isinstance(value, Mapping):
            return self._sanitize_mapping(value, depth + 1)
        if depth < MAX_DEPTH and isinstance(value, list | tuple | set):
            return [self._sanitize(item, depth + 1) for item in value]
        text = str(value).encode("utf-8", "replace").decode()
        for secret in self.secrets:
            text = text.replace(secret, REDACTED)
        return text[:MAX_TEXT_CHARS]
