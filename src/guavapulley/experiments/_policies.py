"""Placement policies that experiments compare."""

from collections.abc import Mapping
import itertools
import random

import attrs
import trio

from guavapulley import routing


def _available_upstreams(
    context: routing.PlacementContext,
) -> list[routing.UpstreamTracker]:
    """Returns the upstreams whose estimated load leaves a slot free."""
    now_s = trio.current_time()
    return [
        tracker
        for tracker in context.trackers
        if tracker.load(now_s) + 1 <= tracker.record.slots
    ]


class LeastInFlight:
    """Chooses the upstream with the fewest requests in flight of this entry."""

    def choose(
        self, context: routing.PlacementContext
    ) -> routing.UpstreamTracker | None:
        """See `routing.PlacementPolicy`."""
        return min(
            _available_upstreams(context),
            key=lambda tracker: (tracker.in_flight, random.random()),
            default=None,
        )


class RoundRobin:
    """Chooses the available upstreams in turn."""

    def __init__(self) -> None:
        self.counter = itertools.count()

    def choose(
        self, context: routing.PlacementContext
    ) -> routing.UpstreamTracker | None:
        """See `routing.PlacementPolicy`."""
        available = _available_upstreams(context)
        return (
            available[next(self.counter) % len(available)]
            if available
            else None
        )


class FixedAffinityScope:
    """Chooses by expected cost with a fixed scope of object affinity.

    Args:
        region_wide: Whether each object has one preferred upstream per region
            at any load, instead of one per failure domain.
    """

    def __init__(self, *, region_wide: bool) -> None:
        self.region_wide = region_wide
        self.cost = routing.LeastCostPolicy()

    def choose(
        self, context: routing.PlacementContext
    ) -> routing.UpstreamTracker | None:
        """See `routing.PlacementPolicy`."""
        return self.cost.choose(
            attrs.evolve(context, region_wide=self.region_wide)
        )


POLICIES: Mapping[str, routing.PlacementPolicy] = {
    "cost": routing.LeastCostPolicy(),
    "domain-homes": FixedAffinityScope(region_wide=False),
    "region-homes": FixedAffinityScope(region_wide=True),
    "least-in-flight": LeastInFlight(),
    "round-robin": RoundRobin(),
}
