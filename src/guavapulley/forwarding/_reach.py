"""Which upstreams a request should reach: the own region, or others."""

import collections

from guavapulley import routing
from guavapulley.forwarding import _upstreams


class Reach:
    """Keeps requests in their region and objects at few upstreams.

    Args:
        upstreams: Tracks, lines and the fleet state.
        place: Where this entry runs.

    Attributes:
        spills: Part of the objects that other regions serve, by service.
        home_orders: How many homes objects have, by service.
        objects: Distinct objects of the requests, by service.
    """

    def __init__(
        self, upstreams: _upstreams.Upstreams, place: routing.Location
    ) -> None:
        self.upstreams = upstreams
        self.place = place
        self.spills: dict[str, routing.Spillover] = {}
        self.home_orders: dict[str, routing.AffinityScope] = (
            collections.defaultdict(routing.AffinityScope)
        )
        self.objects: dict[str, routing.WorkingSet] = collections.defaultdict(
            routing.WorkingSet
        )

    def note_object(self, service: str, key: str | None) -> None:
        """Counts the object of a request, if it has one."""
        if key is not None:
            self.objects[service].record(key)

    def within(
        self, service: str, item: str, eligible: list[routing.UpstreamTracker]
    ) -> list[routing.UpstreamTracker]:
        """Returns the upstreams in the region where a request is served.

        Requests stay in the own region except for the objects that spill, and
        when the region has no upstream that could take them.

        Args:
            service: Service asked for.
            item: Object of the request, or another text that spreads it.
            eligible: Upstreams that may get the request.
        """
        region = self.place.region
        own = [track for track in eligible if track.record.region == region]
        abroad = [track for track in eligible if track.record.region != region]
        waiting = len(self.upstreams.line(service).waiters)
        utilization = _utilization(own, waiting)
        if own:
            self.home_orders[service].update(
                utilization, self._requests_for_each(service)
            )
        if not own or not abroad:
            return own or abroad
        spill = self._spill(service)
        sampled = [track for track in abroad if track.has_recent_sample()]
        spill.update(utilization, _utilization(sampled))
        return abroad if spill.is_spilled(item) else own

    def _spill(self, service: str) -> routing.Spillover:
        if service not in self.spills:
            self.spills[service] = routing.Spillover(
                self.upstreams.settings.max_region_shift,
                self._initial_share(service),
            )
        return self.spills[service]

    def _initial_share(self, service: str) -> float:
        """Returns the part of the objects that other regions serve at first."""
        region = self.place.region
        # Callers are taken to be spread evenly over failure domains.
        domains = {
            node.failure_domain: node.region
            for node in self.upstreams.state.nodes
        }
        here = sum(at == region for at in domains.values())
        tracks = self.upstreams.by_service.get(service, ())
        slots = sum(track.record.slots for track in tracks)
        own = sum(
            track.record.slots
            for track in tracks
            if track.record.region == region
        )
        return routing.initial_spill_fraction(
            own / max(1, slots), here / max(1, len(domains))
        )

    def _requests_for_each(self, service: str) -> float:
        """Returns the requests of the own domain for each object, lately."""
        sharing = self.upstreams.entries_in[self.place.failure_domain]
        return self.objects[service].requests_per_object() * max(1, sharing)


def _utilization(
    tracks: list[routing.UpstreamTracker], waiting: int = 0
) -> float:
    """Returns requests at upstreams and waiting for them, by their slots."""
    slots = sum(track.record.slots for track in tracks)
    load = sum(max(t.load(), t.mean_load()) for t in tracks) + waiting
    return load / slots if slots else 0.0
