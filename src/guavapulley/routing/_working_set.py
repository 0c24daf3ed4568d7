"""Estimate of the objects that the requests of a service concern."""

import math

import attrs
import trio

from guavapulley.routing import _windows

# Objects without a request for this long need not stay warm.
MAX_AGE_S = 15.0
# Bounds memory use.
MAX_OBJECTS = 5_000
# Minimum interval between two computations of the estimate.
ESTIMATE_INTERVAL_S = 0.5
# Standard deviations between the estimate and its upper bound.
UNCERTAINTY_DEVIATIONS = 2.0
_ESTIMATE_STEPS = 30


@attrs.frozen
class RequestsPerObject:
    """Number of an entry's requests for each object.

    Attributes:
        estimate: The estimate.
        upper_bound: Upper bound; the estimate is uncertain after few requests.
    """

    estimate: float
    upper_bound: float

    def times(self, factor: float) -> "RequestsPerObject":
        """Returns the number of requests of several entries alike."""
        return RequestsPerObject(
            self.estimate * factor, self.upper_bound * factor
        )


class WorkingSet:
    """Tracks the distinct objects of recent requests."""

    def __init__(self) -> None:
        self.last_seen_s: dict[str, float] = {}
        self.requests = _windows.SlidingWindowCounter(MAX_AGE_S)
        self.estimated = RequestsPerObject(0.0, math.inf)
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

    def requests_per_object(self) -> RequestsPerObject:
        """Returns the estimated number of this entry's requests per object.

        The entry sees only some of the objects. If requests pick objects at
        random, the fraction of objects that they miss tells how many objects
        there are.
        """
        now_s = trio.current_time()
        if now_s - self.estimated_s >= ESTIMATE_INTERVAL_S:
            self.estimated_s = now_s
            requests = self.requests.value()
            seen_objects = self.count()
            estimate = _estimate_requests_per_object(requests, seen_objects)
            deviation = _seen_objects_deviation(requests, estimate)
            fewest_objects = seen_objects - UNCERTAINTY_DEVIATIONS * deviation
            upper_bound = (
                _estimate_requests_per_object(requests, fewest_objects)
                if fewest_objects >= 1
                else math.inf
            )
            self.estimated = RequestsPerObject(estimate, upper_bound)
        return self.estimated


def _estimate_requests_per_object(requests: int, seen_objects: float) -> float:
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


def _seen_objects_deviation(requests: int, requests_per_object: float) -> float:
    """Returns the standard deviation of the number of objects seen.

    Args:
        requests: Number of requests.
        requests_per_object: Estimate of the requests per object; 0 if no object
            was requested twice.
    """
    if requests_per_object == 0:
        return 1.0
    mean = requests_per_object
    variance = math.exp(-mean) - (1 + mean) * math.exp(-2 * mean)
    return math.sqrt(requests / mean * max(0.0, variance))
