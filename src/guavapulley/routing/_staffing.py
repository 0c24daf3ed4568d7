"""Utilization that a pool of slots can bear before requests queue."""

import math

# Slots held in reserve, as a multiple of the square root of all slots, which is
# the standard deviation of the number of running requests. Arrivals at an entry
# come in bursts, so more than one deviation is needed.
RESERVE_FACTOR = 2.5


def safe_utilization(slots: int) -> float:
    """Returns the utilization up to which requests rarely queue.

    By the square-root staffing rule (Halfin and Whitt, 1981) a large pool of
    slots needs a smaller fraction of them in reserve.

    >>> safe_utilization(25)
    0.5
    >>> safe_utilization(625)
    0.9

    Args:
        slots: Number of requests that the pool serves at a time.
    """
    return max(0.0, 1.0 - RESERVE_FACTOR / math.sqrt(max(1, slots)))
