"""Fraction of a region's requests that is served in other regions."""

import trio
import xxhash

from guavapulley.routing import _staffing

# Utilization above which the fraction grows in a region with few slots, where
# requests wait long before all slots are in use. It is higher where
# `safe_utilization` is: objects that move become cold, which costs more slots
# than a large region lacks.
GROW_ABOVE_UTILIZATION = 0.5
# Below the former by this margin the fraction shrinks. It is constant between
# the two, to prevent oscillation.
SHRINK_UTILIZATION_MARGIN = 0.15
# The utilization of other regions must be lower than the own one by this margin
# for the fraction to grow. When all regions are busy, moved requests would only
# displace others.
GROW_MARGIN = 0.2
SHRINK_MARGIN = 0.0
# Length of the window to which the limit on moves applies.
SHIFT_WINDOW_S = 2.0
# Fraction of the limit that one service uses, as the requests of several
# services move at the same time.
SERVICE_FRACTION = 0.75
MAX_FRACTION = 0.6
# Lower bound of the fraction relative to its initial value. Below it, a region
# with few slots for its callers would be full again within seconds.
FLOOR_FRACTION = 0.8
_HASH_RANGE = 1 << 32


def initial_spill_fraction(
    slot_fraction: float, caller_fraction: float
) -> float:
    """Returns the fraction of requests for which the region lacks capacity.

    Serving this fraction elsewhere makes all regions equally busy. It applies
    from the start, because the limit on moves would make it grow too slowly
    later.

    Args:
        slot_fraction: Fraction of the service's slots that are in the region.
        caller_fraction: Fraction of its callers that are in the region.

    >>> initial_spill_fraction(0.25, 0.5)
    0.5
    >>> initial_spill_fraction(0.5, 0.25)
    0.0
    """
    return (
        max(0.0, 1.0 - slot_fraction / caller_fraction)
        if caller_fraction
        else 0.0
    )


class Spillover:
    """Moves requests of overloaded regions to other regions, object by object.

    All requests for an object move together, so that it stays warm at its new
    upstream. The fraction changes at a bounded rate, because a sudden move
    would overload another region or empty the caches of this one.

    Args:
        max_shift: Largest change of the fraction within `SHIFT_WINDOW_S`.
        fraction: Initial fraction.

    Attributes:
        fraction: Fraction of the objects that are served in other regions.
        floor: Lower bound of the fraction.
    """

    def __init__(self, max_shift: float, fraction: float = 0.0) -> None:
        self.rate_per_s = max_shift * SERVICE_FRACTION / SHIFT_WINDOW_S
        self.fraction = min(MAX_FRACTION, fraction)
        self.floor = self.fraction * FLOOR_FRACTION
        self.updated_s = trio.current_time()

    def update(
        self,
        local_utilization: float,
        remote_utilization: float,
        local_slots: int = 0,
    ) -> None:
        """Adapts the fraction to the utilization of the regions.

        Args:
            local_utilization: Requests at the region's upstreams and waiting
                for them, relative to their slots.
            remote_utilization: Requests at the upstreams of other regions,
                relative to their slots.
            local_slots: Slots of the region's upstreams.
        """
        grow_above = max(
            GROW_ABOVE_UTILIZATION, _staffing.safe_utilization(local_slots)
        )
        now_s = trio.current_time()
        step = self.rate_per_s * min(1.0, now_s - self.updated_s)
        self.updated_s = now_s
        if (
            local_utilization > grow_above
            and remote_utilization < local_utilization - GROW_MARGIN
        ):
            self.fraction = min(MAX_FRACTION, self.fraction + step)
        elif (
            local_utilization < grow_above - SHRINK_UTILIZATION_MARGIN
            or remote_utilization > local_utilization - SHRINK_MARGIN
        ):
            self.fraction = max(self.floor, self.fraction - step)

    def is_spilled(self, key: str) -> bool:
        """Returns whether requests with this key are served in other regions.

        Args:
            key: Object of the request, or the ID of a request without one.
        """
        position = xxhash.xxh3_64_intdigest(key.encode()) % _HASH_RANGE
        return position < self.fraction * _HASH_RANGE
