"""Sinks for log lines: a file, and a stream written without blocking."""

import collections
import errno
import os
import pathlib
import threading
from typing import Protocol

# About one minute of lines of a process at its highest request rate.
MAX_QUEUED_LINES = 5_000
MAX_WRITE_BYTES = 65_536
# Fraction of the queue's capacity from which on lines of low priority are
# dropped.
CONGESTED_FRACTION = 0.25


class LineSink(Protocol):
    """Destination of complete lines."""

    def write(self, line: bytes) -> None:
        """Writes or queues a line.

        Raises:
            OSError: The line is lost.
        """

    def is_congested(self) -> bool:
        """Returns whether lines of low priority should be dropped."""

    def flush(self) -> None:
        """Writes buffered lines if the sink has a buffer; eliot calls it."""

    def close(self) -> None:
        """Writes the buffered lines and closes the sink."""


class FileSink:
    """Appends complete lines to a file without buffering.

    A short write, as on a full disk, leaves an incomplete line in the file; the
    next write then starts with a line break, so that only one line is damaged.

    Args:
        path: Path of the file.

    Attributes:
        torn: Whether the last write was short.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("ab", buffering=0)
        self.torn = False

    def write(self, line: bytes) -> None:
        """Writes a line; raises OSError if only a part of it is written."""
        data = b"\n" + line if self.torn else line
        written = self.file.write(data)
        self.torn = written != len(data)
        if self.torn:
            raise OSError(errno.ENOSPC, "short write")

    def is_congested(self) -> bool:
        """Returns False, because a file accepts all lines."""
        return False

    def flush(self) -> None:
        """Does nothing, because nothing is buffered."""

    def close(self) -> None:
        """Closes the file."""
        self.file.close()


class StreamSink:
    """Writes lines to a stream without blocking the caller.

    A separate thread writes to the stream, so that a slow or blocked reader
    delays no request. Lines beyond `max_queued_lines` are lost.

    Args:
        descriptor: File descriptor of the stream.
        max_queued_lines: Maximum number of queued lines.
    """

    def __init__(
        self, descriptor: int, max_queued_lines: int = MAX_QUEUED_LINES
    ) -> None:
        self.descriptor = descriptor
        self.max_queued_lines = max_queued_lines
        self.queue: collections.deque[bytes] = collections.deque()
        self.condition = threading.Condition()
        self.closed = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def write(self, line: bytes) -> None:
        """Queues a line; raises OSError if the queue is full or closed."""
        with self.condition:
            if self.closed or len(self.queue) >= self.max_queued_lines:
                raise OSError(errno.EAGAIN, "the reader of the log is slow")
            self.queue.append(line)
            self.condition.notify()

    def is_congested(self) -> bool:
        """Returns whether the queue is filled to `CONGESTED_FRACTION`."""
        return len(self.queue) >= self.max_queued_lines * CONGESTED_FRACTION

    def flush(self) -> None:
        """Does nothing, because the thread writes queued lines at once."""

    def close(self) -> None:
        """Ends the thread once the queued lines are written."""
        with self.condition:
            self.closed = True
            self.condition.notify()
        # A blocked reader must not prevent the process from ending.
        self.thread.join(timeout=0.2)

    def _run(self) -> None:
        while True:
            with self.condition:
                while not self.queue and not self.closed:
                    self.condition.wait()
                if not self.queue:
                    return
                lines = b"".join(self.queue)
                self.queue.clear()
            self._write(lines)

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            try:
                written = os.write(self.descriptor, view[:MAX_WRITE_BYTES])
            except OSError:
                # The reader is gone, so the error cannot be logged.
                return
            view = view[written:]
