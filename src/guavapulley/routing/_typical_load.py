"""Typical load that other entries put on the upstreams of a service."""

import attrs
import trio

from guavapulley.routing import _decay

# Weight of the newest sample. A region has a few upstreams of a service, each
# sampled about once a second.
SAMPLE_WEIGHT = 0.1
# Time without a sample after which the typical load counts half.
HALF_LIFE_S = 10.0


@attrs.define
class TypicalLoad:
    """Moving average of the load by other entries on upstreams of a service.

    It is used for upstreams without a recent sample of their own.

    Attributes:
        requests_per_slot: Requests of other entries per slot, at `updated_s`.
        updated_s: Time of the last update.
    """

    requests_per_slot: float = 0.0
    updated_s: float = 0.0

    def record(self, other_requests: float, slots: int) -> None:
        """Adds a load sample of one upstream.

        Args:
            other_requests: Requests of other entries at the upstream.
            slots: Requests that the upstream runs at a time.
        """
        now_s = trio.current_time()
        previous = self.current(now_s)
        self.updated_s = now_s
        sample = other_requests / max(1, slots)
        self.requests_per_slot = previous + SAMPLE_WEIGHT * (sample - previous)

    def current(self, now_s: float) -> float:
        """Returns the decayed number of requests of other entries per slot."""
        age_s = now_s - self.updated_s
        return _decay.decay(self.requests_per_slot, 0.0, age_s, HALF_LIFE_S)
