"""Permits for slots that are in use by requests."""

import collections
from collections.abc import Callable
from typing import Protocol

import attrs


class SlotCounter(Protocol):
    """Counts the requests of this entry that are in flight.

    Attributes:
        own_in_flight: Number of requests in flight by upstream.
    """

    own_in_flight: collections.Counter[str]

    def adjust_in_flight(self, region: str, delta: int) -> None:
        """Changes the number of requests in flight in a region.

        Args:
            region: Region of the upstream.
            delta: 1 at the start of a request, -1 at its end.
        """


@attrs.define
class SlotPermit:
    """A slot in use by a request; a context manager that releases it.

    Attributes:
        counter: Counter of the requests in flight.
        upstream: Name of the upstream of the slot.
        region: Region of the upstream.
        on_release: Called after the slot has been released.
    """

    counter: SlotCounter
    upstream: str
    region: str
    on_release: Callable[[], None] = lambda: None

    def __enter__(self) -> "SlotPermit":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.counter.own_in_flight[self.upstream] -= 1
        self.counter.adjust_in_flight(self.region, -1)
        self.on_release()
