"""Policies that choose among the candidate upstreams of a request."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from guavapulley.routing import _placement
from guavapulley.routing import _trackers


@attrs.frozen(eq=False)
class PlacementContext:
    """Input of a placement policy.

    Attributes:
        trackers: Upstreams that may receive the request.
        location: Where this entry runs.
        affinity_key: Object that the request concerns, if any.
        object_count: Distinct objects of the service's recent requests.
        region_wide: Whether each object has one preferred upstream in the
            region instead of one in each failure domain.
    """

    trackers: Sequence[_trackers.UpstreamTracker]
    location: _placement.Location
    affinity_key: str | None
    object_count: int
    region_wide: bool


class PlacementPolicy(Protocol):
    """Chooses the upstream of a request."""

    def choose(
        self, context: PlacementContext
    ) -> _trackers.UpstreamTracker | None:
        """Returns an upstream with a free slot, or None."""


class LeastCostPolicy:
    """Chooses the upstream with the lowest expected cost."""

    def choose(
        self, context: PlacementContext
    ) -> _trackers.UpstreamTracker | None:
        """See `PlacementPolicy`."""
        return _placement.find_cheapest(
            context.trackers,
            context.location,
            context.affinity_key,
            context.object_count,
            region_wide=context.region_wide,
        )
