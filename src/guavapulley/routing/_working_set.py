"""Estimate of the objects that the requests of a service concern."""

import math

import trio

from guavapulley.routing import _windows

# Objects without a request for this long need not stay warm.
MAX_AGE_S = 15.0
# Bounds memory use.
MAX_OBJECTS = 5_000
# Minimum interval between two computations of the estimate.
ESTIMATE_INTERVAL_S = 0.5
_ESTIMATE_STEPS = 30


class WorkingSet:
    """Tracks the distinct objects of recent requests."""

    def __init__(self) -> None:
        self.last_seen_s: dict[str, float] = {}
        self.requests = _windows.SlidingWindowCounter(MAX_AGE_S)
        self.estimate = 0.0
        self.estimated_s = -math.inf

    def record(self, key: str) -> None:
        """Counts a request for an object."""
        now_s = trio.current_time()
        self.last_seen_s.pop(key, None)
        self.last_seen_s[key] = now_s
        self.requests.add()
        oldest = next(iter(self.last_seen_s))
        while (
            self.last_seen_s[oldest] < now_s - MAX_AGE_S
            or len(self.last_seen_s) > MAX_OBJECTS
        ):
            del self.last_seen_s[oldest]
            oldest = next(iter(self.last_seen_s))

    def count(self) -> int:
        """Returns the number of distinct objects seen recently."""
        return len(self.last_seen_s)

    def requests_per_object(self) -> float:
        """Returns the estimated number of this entry's requests per object.

        The entry sees only some of the objects. If requests pick objects at
        random, the fraction of objects that they miss tells how many objects
        there are.
        """
        now_s = trio.current_time()
        if now_s - self.estimated_s >= ESTIMATE_INTERVAL_S:
            self.estimated_s = now_s
            self.estimate = _estimate_requests_per_object(
                self.requests.value(), self.count()
            )
        return self.estimate


def _estimate_requests_per_object(requests: int, seen_objects: int) -> float:
    """Estimates the requests per object from the number of objects seen.

    With a mean of m requests per object, a fraction of 1 - exp(-m) of the
    objects is seen, so that each object seen has m / (1 - exp(-m)) requests.
    The equation is solved for m by bisection.

    >>> round(_estimate_requests_per_object(200, 100), 2)
    1.59
    >>> _estimate_requests_per_object(10, 10)
    0.0
    """
    if seen_objects == 0 or requests <= seen_objects:
        return 0.0
    low, high = 0.0, requests / seen_objects
    for _ in range(_ESTIMATE_STEPS):
        middle = (low + high) / 2
        if middle / -math.expm1(-middle) < requests / seen_objects:
            low = middle
        else:
            high = middle
    return (low + high) / 2
