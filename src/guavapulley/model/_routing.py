"""Routes from hosts and path prefixes to services, and their changes."""

from collections.abc import Iterator
import enum

import attrs


class Repeatability(enum.StrEnum):
    """Whether a request may be sent to an upstream more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@attrs.frozen
class Destination:
    """A service that receives a fraction of the requests of a route.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other destinations of the route.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """The rules for requests with a given host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name from the request, in lower case, without the port.
        path_prefix: Prefix of the path, which begins and ends with a slash. The
            longest matching prefix wins.
        repeatability: Whether a request may be sent to a second upstream after
            the first one may have run it.
        timeout_s: Maximum time for which a caller waits, in seconds.
        target_latency_s: Target for the latency of answers, in seconds; an
            answer is worth less after it. None means the timeout.
        priority: Priority of the requests; 0 is the most urgent.
        destinations: Services and their weights.
        max_attempts: Maximum number of upstreams to which a request is sent.
        affinity: Whether requests with the same affinity key benefit from
            being sent to the same upstream.
        regions: Regions in which requests may be served; empty for all.
        source: The object as written by the operator, returned by reads.
    """

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    timeout_s: float
    target_latency_s: float | None
    priority: int
    destinations: tuple[Destination, ...]
    max_attempts: int = 1
    affinity: bool = False
    regions: tuple[str, ...] = ()
    source: str = ""


@attrs.frozen
class ServicePolicy:
    """Limits on the load that upstreams of a service tolerate.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Maximum number of connections that an upstream accepts
            from all callers together.
        cold_start_s: Time for which an upstream is cold after its start, in
            seconds.
        cold_rate_per_s: Maximum rate that a cold upstream tolerates, in
            requests per second; None for no limit.
        source: The object as written by the operator, returned by reads.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_rate_per_s: float | None = None
    source: str = ""


@attrs.frozen
class CallerLimits:
    """Limits on the sizes and durations of requests from callers.

    Attributes:
        max_header_bytes: Maximum size of a request head in bytes.
        max_body_bytes: Maximum size of a request body in bytes.
        header_timeout_s: Timeout for receiving a request head, in seconds.
        idle_timeout_s: Time after which an idle connection is closed, in
            seconds.
        source: The object as written by the operator, returned by reads.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0
    source: str = ""


@attrs.frozen
class RoutingTable:
    """The routes, services and limits of one version.

    Attributes:
        version: Version number chosen by the operator; 0 before the first
            table.
        routes: Routes in the order given by the operator.
        services: Services in the order given by the operator.
        limits: Limits on callers.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[ServicePolicy, ...] = ()
    limits: CallerLimits = CallerLimits()

    def service_names(self) -> Iterator[str]:
        """Yields the names of the services."""
        return (service.name for service in self.services)


@attrs.frozen
class RoutingChange:
    """A change to the routing table requested by an operator.

    Attributes:
        version: Version of the table after the change.
        base_version: Version on which the change is based.
        replace: Whether the change replaces the complete table.
        routes: Routes to add or replace.
        services: Services to add or replace.
        limits: New limits; None leaves them unchanged.
        removed_routes: Names of routes to remove.
        removed_services: Names of services to remove.
        content_hash: Hash of the change; a resend has the same one.
    """

    version: int
    base_version: int
    replace: bool
    routes: tuple[Route, ...] = ()
    services: tuple[ServicePolicy, ...] = ()
    limits: CallerLimits | None = None
    removed_routes: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = ()
    content_hash: str = ""


def apply_routing_change(
    table: RoutingTable, change: RoutingChange
) -> RoutingTable:
    """Returns a routing table with a change applied."""
    if change.replace:
        return RoutingTable(
            change.version,
            change.routes,
            change.services,
            change.limits or CallerLimits(),
        )
    routes = {item.name: item for item in table.routes}
    routes.update({item.name: item for item in change.routes})
    services = {item.name: item for item in table.services}
    services.update({item.name: item for item in change.services})
    return RoutingTable(
        change.version,
        tuple(
            r for r in routes.values() if r.name not in change.removed_routes
        ),
        tuple(
            s
            for s in services.values()
            if s.name not in change.removed_services
        ),
        change.limits or table.limits,
    )
