"""Placements that experiments compare."""

from collections.abc import Mapping
import itertools
import random

import attrs

from guavapulley import routing


def _with_room(
    choice: routing.PlacementContext,
) -> list[routing.UpstreamTracker]:
    """Returns the upstreams with a slot that is not known to be taken."""
    return [t for t in choice.trackers if t.load() + 1 <= t.record.slots]


class LeastInFlight:
    """The upstream with the fewest requests of this entry."""

    def choose(
        self, choice: routing.PlacementContext
    ) -> routing.UpstreamTracker | None:
        """See `routing.Chooser`."""
        return min(
            _with_room(choice),
            key=lambda track: (track.in_flight, random.random()),
            default=None,
        )


class RoundRobin:
    """One upstream after the other."""

    def __init__(self) -> None:
        self.turns = itertools.count()

    def choose(
        self, choice: routing.PlacementContext
    ) -> routing.UpstreamTracker | None:
        """See `routing.Chooser`."""
        found = _with_room(choice)
        return found[next(self.turns) % len(found)] if found else None


class FixedHomes:
    """Expected cost with as many homes for an object as stated.

    Args:
        one_home: Whether objects have one home in a region at any load.
    """

    def __init__(self, *, one_home: bool) -> None:
        self.one_home = one_home
        self.cost = routing.LeastCostPolicy()

    def choose(
        self, choice: routing.PlacementContext
    ) -> routing.UpstreamTracker | None:
        """See `routing.Chooser`."""
        return self.cost.choose(attrs.evolve(choice, region_wide=self.one_home))


POLICIES: Mapping[str, routing.PlacementPolicy] = {
    "cost": routing.LeastCostPolicy(),
    "domain-homes": FixedHomes(one_home=False),
    "region-homes": FixedHomes(one_home=True),
    "least-in-flight": LeastInFlight(),
    "round-robin": RoundRobin(),
}
