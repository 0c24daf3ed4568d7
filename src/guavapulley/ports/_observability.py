"""The ports for event logs and metrics."""

from typing import Protocol

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
