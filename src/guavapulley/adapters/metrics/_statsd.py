"""Metrics sent over UDP in the statsd format."""

import re

import statsd

from guavapulley import model

_INVALID_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")


class StatsdMetrics:
    """Sends counters, gauges and timers as statsd datagrams.

    A datagram that cannot be sent is dropped, so that metrics delay no other
    work.

    Args:
        address: Address of the statsd server.
        node: Name of the VM, part of every metric name.
        role: Role of the process, part of every metric name.
    """

    def __init__(self, address: model.NodeAddress, node: str, role: str):
        node_component = _INVALID_CHARACTERS.sub("_", node)
        self.client = statsd.StatsClient(
            host=address.host,
            port=address.port,
            prefix=f"guavapulley.{role}.{node_component}",
        )

    def increment(self, name: str, count: int = 1, **labels: str) -> None:
        """Increments a counter; the label values become parts of its name."""
        parts = (_INVALID_CHARACTERS.sub("_", text) for text in labels.values())
        self.client.incr(".".join((name, *parts)), count)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self.client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Records a duration in milliseconds."""
        self.client.timing(name, milliseconds)

    def close(self) -> None:
        """Closes the socket."""
        self.client.close()
