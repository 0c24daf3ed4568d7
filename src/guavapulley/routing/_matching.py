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
class _RoundRobin:
    """State of the weighted round robin of one route."""

    destinations: tuple[model.Destination, ...]
    credits: list[float]


class TrafficSplitter:
    """Distributes the requests of a route among its destinations by weight.

    Uses smooth weighted round robin: destinations are interleaved evenly, so
    that short sequences of requests already have the configured proportions.
    """

    def __init__(self) -> None:
        self.round_robins: dict[str, _RoundRobin] = {}

    def choose(self, route: model.Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        round_robin = self.round_robins.get(route.name)
        if (
            round_robin is None
            or round_robin.destinations != route.destinations
        ):
            round_robin = _RoundRobin(
                route.destinations, [0.0] * len(route.destinations)
            )
            self.round_robins[route.name] = round_robin
        total = 0.0
        for position, destination in enumerate(route.destinations):
            round_robin.credits[position] += destination.weight
            total += destination.weight
        best = max(
            range(len(round_robin.credits)), key=round_robin.credits.__getitem__
        )
        round_robin.credits[best] -= total
        return route.destinations[best].service
