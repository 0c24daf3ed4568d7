"""Queue of requests that wait at this entry for capacity at an upstream."""

from collections.abc import Callable
from collections.abc import Iterator

import attrs
import trio

from guavapulley.routing import _trackers


@attrs.define(eq=False)
class Waiter:
    """A waiting request.

    Attributes:
        priority: Priority; 0 is the most urgent.
        arrived_s: Time at which the request arrived, on trio's clock.
        choose: Returns an upstream with free capacity, or None.
        is_futile: Returns whether no upstream will accept the request in time.
        decided: Set once `tracker` holds a reserved upstream, or once the wait
            is futile.
        tracker: Upstream that was reserved for the request, if any.
    """

    priority: int
    arrived_s: float
    choose: Callable[[], _trackers.UpstreamTracker | None]
    is_futile: Callable[[], bool] = lambda: False
    decided: trio.Event = attrs.field(factory=trio.Event)
    tracker: _trackers.UpstreamTracker | None = None


class WaitQueue:
    """Waiting requests of one service, by priority and then by arrival.

    Attributes:
        waiters: Waiting requests in order.
    """

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []

    def enqueue(self, waiter: Waiter) -> None:
        """Adds a request."""
        self.waiters.append(waiter)
        self.waiters.sort(
            key=lambda queued: (queued.priority, queued.arrived_s)
        )

    def discard(self, waiter: Waiter) -> None:
        """Removes a request, if it is queued."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def expected_wait_s(
        self, priority: int, running: int, typical_duration_s: float
    ) -> float:
        """Returns the expected wait of a new request in seconds.

        By Little's law the running requests complete at a rate of their number
        divided by their typical duration.

        Args:
            priority: Priority of the request.
            running: Requests of this entry that the service is running.
            typical_duration_s: Their typical duration in seconds.
        """
        ahead = sum(waiter.priority <= priority for waiter in self.waiters)
        return (ahead + 1) * typical_duration_s / max(1, running)

    def dispatch(self) -> None:
        """Assigns available upstreams to waiting requests, in order."""
        for waiter in list(self._reserve()):
            self._decide(waiter)

    def dismiss_futile(self) -> None:
        """Ends the waits of requests that no upstream will accept in time."""
        for waiter in [w for w in self.waiters if w.is_futile()]:
            self._decide(waiter)

    def _decide(self, waiter: Waiter) -> None:
        self.discard(waiter)
        waiter.decided.set()

    def _reserve(self) -> Iterator[Waiter]:
        """Yields the requests for which an upstream could be reserved."""
        for waiter in self.waiters:
            waiter.tracker = waiter.choose()
            if waiter.tracker is not None:
                waiter.tracker.in_flight += 1
                yield waiter
