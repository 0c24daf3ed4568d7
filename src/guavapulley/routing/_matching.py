"""Selection of the route and the service of a request."""

from collections.abc import Iterable

import attrs

from guavapulley import model


class RouteMatcher:
    """Finds the route of a request by host, then by the longest path prefix.

    Args:
        routes: Routes of one routing table.
    """

    def __init__(self, routes: Iterable[model.Route]) -> None:
        self.by_host: dict[str, list[model.Route]] = {}
        for route in routes:
            self.by_host.setdefault(route.host, []).append(route)
        for host_routes in self.by_host.values():
            host_routes.sort(key=lambda route: -len(route.path_prefix))

    def match(self, host: str, path: str) -> model.Route | None:
        """Returns the matching route, or None.

        Args:
            host: Host as sent by the caller, with or without a port.
            path: Path without the query.
        """
        hostname = host.partition(":")[0].lower()
        matches = (
            route
            for route in self.by_host.get(hostname, ())
            if path.startswith(route.path_prefix)
        )
        return next(matches, None)


@attrs.define
class _Rotation:
    """State of the weighted round robin of one route."""

    destinations: tuple[model.Destination, ...]
    credits: list[float]


class TrafficSplitter:
    """Distributes the requests of a route among its destinations by weight.

    Uses smooth weighted round robin: destinations are interleaved evenly, so
    that short sequences of requests already have the configured proportions.
    """

    def __init__(self) -> None:
        self.rotations: dict[str, _Rotation] = {}

    def choose(self, route: model.Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        rotation = self.rotations.get(route.name)
        if rotation is None or rotation.destinations != route.destinations:
            rotation = _Rotation(
                route.destinations, [0.0] * len(route.destinations)
            )
            self.rotations[route.name] = rotation
        total = 0.0
        for position, destination in enumerate(route.destinations):
            rotation.credits[position] += destination.weight
            total += destination.weight
        best = max(
            range(len(rotation.credits)), key=rotation.credits.__getitem__
        )
        rotation.credits[best] -= total
        return route.destinations[best].service
