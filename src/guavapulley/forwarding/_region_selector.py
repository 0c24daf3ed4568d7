"""Choice between the upstreams of the local region and of other regions."""

import collections

import trio

from guavapulley import routing
from guavapulley.forwarding import _registry


class RegionSelector:
    """Keeps requests in their region and objects at few upstreams.

    Args:
        registry: Trackers, wait queues and the fleet state.
        location: Where this entry runs.

    Attributes:
        spillovers: Fraction of the objects served in other regions, by service.
        affinity_scopes: Number of preferred upstreams per object, by service.
        working_sets: Distinct objects of recent requests, by service.
    """

    def __init__(
        self, registry: _registry.UpstreamRegistry, location: routing.Location
    ) -> None:
        self.registry = registry
        self.location = location
        self.spillovers: dict[str, routing.Spillover] = {}
        self.affinity_scopes: dict[str, routing.AffinityScope] = {}
        self.working_sets: dict[str, routing.WorkingSet] = (
            collections.defaultdict(routing.WorkingSet)
        )

    def record_object(self, service: str, key: str | None) -> None:
        """Counts a request for an object.

        Args:
            service: Service of the request.
            key: The object; None if the request has none.
        """
        if key is not None:
            self.working_sets[service].record(key)

    def select(
        self, service: str, key: str, eligible: list[routing.UpstreamTracker]
    ) -> list[routing.UpstreamTracker]:
        """Returns the eligible upstreams in the regions that serve a request.

        Requests stay in the local region, except for the objects that spill
        over and when the region has no eligible upstream.

        Args:
            service: Requested service.
            key: Object of the request, or its ID if it has none.
            eligible: Upstreams that may receive the request.
        """
        region = self.location.region
        local = [
            tracker for tracker in eligible if tracker.record.region == region
        ]
        remote = [
            tracker for tracker in eligible if tracker.record.region != region
        ]
        now_s = trio.current_time()
        waiting = len(self.registry.queue(service).waiters)
        utilization = _utilization(local, now_s, waiting)
        domain_slots = sum(
            tracker.record.slots
            for tracker in local
            if tracker.record.failure_domain == self.location.failure_domain
        )
        scope = self.affinity_scopes.setdefault(
            service, routing.AffinityScope(domain_slots)
        )
        if local:
            scope.update(
                utilization, self._requests_per_object(service), domain_slots
            )
        if not local or not remote:
            return local or remote
        spillover = self._spillover(service)
        sampled = [
            tracker for tracker in remote if tracker.has_recent_sample(now_s)
        ]
        spillover.update(
            utilization,
            _utilization(sampled, now_s),
            sum(tracker.record.slots for tracker in local),
        )
        return remote if spillover.is_spilled(key) else local

    def _spillover(self, service: str) -> routing.Spillover:
        if service not in self.spillovers:
            self.spillovers[service] = routing.Spillover(
                self.registry.settings.max_region_shift,
                self._initial_spill_fraction(service),
            )
        return self.spillovers[service]

    def _initial_spill_fraction(self, service: str) -> float:
        """Returns the initial fraction of objects served in other regions."""
        region = self.location.region
        # Callers are assumed to be distributed evenly among failure domains.
        domains = {
            node.failure_domain: node.region
            for node in self.registry.state.nodes
        }
        local_domains = sum(
            domain_region == region for domain_region in domains.values()
        )
        trackers = self.registry.by_service.get(service, ())
        slots = sum(tracker.record.slots for tracker in trackers)
        local_slots = sum(
            tracker.record.slots
            for tracker in trackers
            if tracker.record.region == region
        )
        return routing.initial_spill_fraction(
            local_slots / max(1, slots), local_domains / max(1, len(domains))
        )

    def _requests_per_object(self, service: str) -> routing.RequestsPerObject:
        """Returns the recent requests per object from the failure domain."""
        entries = self.registry.entries_by_domain[self.location.failure_domain]
        requests_per_object = self.working_sets[service].requests_per_object()
        return requests_per_object.times(max(1, entries))


def _utilization(
    trackers: list[routing.UpstreamTracker], now_s: float, waiting: int = 0
) -> float:
    """Returns the running and waiting requests relative to the slots."""
    slots = sum(tracker.record.slots for tracker in trackers)
    load = (
        sum(
            max(tracker.load(now_s), tracker.mean_load(now_s))
            for tracker in trackers
        )
        + waiting
    )
    return load / slots if slots else 0.0
