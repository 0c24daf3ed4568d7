"""Validation of routing tables."""

from collections.abc import Iterator

from guavapulley import model

# A target latency this far above the timeout can only be a mistake in the unit.
MAX_TARGET_ABOVE_TIMEOUT_S = 60.0


def validate_table(table: model.RoutingTable) -> str:
    """Returns the first error of a routing table, or an empty string."""
    return next(_table_errors(table), "")


def _table_errors(table: model.RoutingTable) -> Iterator[str]:
    services = set(table.service_names())
    for route in table.routes:
        yield from (
            f"route {route.name}: {error}"
            for error in _route_errors(route, services)
        )


def _route_errors(route: model.Route, services: set[str]) -> Iterator[str]:
    if not route.path_prefix.startswith("/"):
        yield f"path prefix {route.path_prefix!r} does not begin with a slash"
    for destination in route.destinations:
        if destination.service not in services:
            yield f"unknown service {destination.service!r}"
        if destination.weight < 0:
            yield (
                f"weight {destination.weight:g} of {destination.service!r}"
                " is negative"
            )
    if sum(destination.weight for destination in route.destinations) <= 0:
        yield "the sum of the weights is not above 0"
    if route.timeout_s <= 0:
        yield f"timeout {route.timeout_s:g} s is not above 0"
    max_target_s = route.timeout_s + MAX_TARGET_ABOVE_TIMEOUT_S
    if route.target_latency_s is not None and (
        route.target_latency_s >= max_target_s
    ):
        yield (
            f"target latency {route.target_latency_s:g} s is far above the"
            f" timeout of {route.timeout_s:g} s"
        )
