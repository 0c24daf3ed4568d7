"""The ports for event logs and metrics."""

import math
from typing import Protocol

import trio

# Event of a successful idempotent request. An overloaded log drops these events
# first.
REQUEST_ANSWERED_EVENT = "request:answered"


class EventLog(Protocol):
    """Writes structured events of the process."""

    def write(self, event: str, **fields: object) -> None:
        """Writes an event.

        Args:
            event: Stable name of the event, such as `replica:leader_elected`.
            **fields: JSON-compatible values; IDs are always named
                `request_id`, `revision`, `upstream` and `entry`.
        """


class Metrics(Protocol):
    """Records counters, gauges and timers."""

    def increment(self, name: str, count: int = 1, **labels: str) -> None:
        """Increments a counter.

        Args:
            name: Name of the counter.
            count: Amount to add.
            **labels: Label values that are counted separately. A counter has
                the same label names in every call.
        """

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge to a value."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Records a duration in milliseconds."""


class EventLimiter:
    """Limits how often an event that others can cause at will is written.

    Args:
        events: Log that receives the events.
        interval_s: Shortest time between two events of a name, in seconds.
    """

    def __init__(self, events: EventLog, interval_s: float) -> None:
        self.events = events
        self.interval_s = interval_s
        self.written_s: dict[str, float] = {}
        self.omitted: dict[str, int] = {}

    def write(self, event: str, **fields: object) -> None:
        """Writes an event, or counts it for the next one of its name.

        The field `omitted` has the number of events since the last one.
        """
        now_s = trio.current_time()
        if now_s < self.written_s.get(event, -math.inf) + self.interval_s:
            self.omitted[event] = self.omitted.get(event, 0) + 1
            return
        self.written_s[event] = now_s
        self.events.write(event, omitted=self.omitted.pop(event, 0), **fields)


class NullEventLog:
    """Discards events."""

    def write(self, event: str, **fields: object) -> None:
        """Discards the event."""


class NullMetrics:
    """Discards metrics."""

    def increment(self, name: str, count: int = 1, **labels: str) -> None:
        """Discards the count."""

    def gauge(self, name: str, value: float) -> None:
        """Discards the value."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Discards the duration."""
