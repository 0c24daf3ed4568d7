"""Choice of an upstream by distance, warm objects, speed and load."""

from collections.abc import Iterable
from collections.abc import Iterator

import attrs
import trio

from guavapulley import model
from guavapulley.routing import _hashing
from guavapulley.routing import _trackers

# Processing time of a request for a warm object, relative to a cold one.
WARM_FACTOR = 0.3
# The preferred upstream of an object is assumed to be nearly warm for it.
PREFERRED_FACTOR = 0.35
# A full upstream accepts as many requests again for objects that it has warm,
# as their wait is shorter than the processing of a cold object elsewhere.
WARM_OVERCOMMIT = 1.0
# The load of other entries is a decaying estimate. Less than this fraction of a
# request does not occupy a slot.
LOAD_TOLERANCE = 0.5
QUEUE_COST = 0.3
# Objects that an upstream is assumed to keep warm for all entries.
WARM_OBJECTS_PER_UPSTREAM = 30
COLD_FACTOR = 2.0
# Costs of distance, relative to the processing of a cold object. Bytes between
# failure domains and regions are paid for in addition to the delay. Where slots
# are scarce, processing a cold object also costs the requests that wait, so
# that distance weighs less.
OTHER_DOMAIN_COST = 0.6
BUSY_DOMAIN_COST = 0.18
OTHER_REGION_COST = 0.25
FAILURE_COST = 3.0
# Distributes requests among otherwise equal upstreams.
LOAD_COST = 0.1


@attrs.frozen
class Location:
    """Where this entry runs.

    Attributes:
        region: Its region.
        failure_domain: Its failure domain.
    """

    region: str
    failure_domain: str

    def distance_cost(
        self, upstream: model.UpstreamRecord, *, region_wide: bool
    ) -> float:
        """Returns the cost of the distance to an upstream.

        Args:
            upstream: The upstream.
            region_wide: Whether objects have one preferred upstream in the
                region.
        """
        if upstream.failure_domain == self.failure_domain:
            return 0.0
        if upstream.region == self.region:
            return BUSY_DOMAIN_COST if region_wide else OTHER_DOMAIN_COST
        return OTHER_REGION_COST


def find_cheapest(
    trackers: Iterable[_trackers.UpstreamTracker],
    location: Location,
    affinity_key: str | None,
    object_count: int = 0,
    *,
    region_wide: bool = False,
) -> _trackers.UpstreamTracker | None:
    """Returns the upstream with free capacity and the lowest expected cost.

    Rendezvous hashing orders the upstreams for each object, so that all
    entries agree on where the object is warm, and only the objects of an
    upstream that leaves move. The upstreams of the entry's own failure domain
    form a separate order if they can keep all objects warm and objects have a
    preferred upstream in each domain; otherwise the upstreams of the region
    form one order. Upstreams in other regions form a single order, so that an
    object is warm at few of them.

    Args:
        trackers: Upstreams that may receive the request.
        location: Where this entry runs.
        affinity_key: Object that the request concerns, if any.
        object_count: Distinct objects of the service's recent requests.
        region_wide: Whether objects have one preferred upstream in the region.

    Returns:
        The upstream, or None if none has free capacity.
    """
    candidates = list(trackers)
    preferred = _preferred(
        candidates,
        location,
        affinity_key,
        object_count,
        region_wide=region_wide,
    )
    costs = _costs(
        candidates, location, affinity_key, preferred, region_wide=region_wide
    )
    best = min(costs, key=lambda pair: pair[0], default=None)
    return best[1] if best else None


def _costs(
    trackers: list[_trackers.UpstreamTracker],
    location: Location,
    affinity_key: str | None,
    preferred: frozenset[str],
    *,
    region_wide: bool,
) -> Iterator[tuple[float, _trackers.UpstreamTracker]]:
    now_s = trio.current_time()
    for tracker in trackers:
        slots = max(1, tracker.record.slots)
        load = tracker.load(now_s)
        warm = affinity_key is not None and affinity_key in tracker.warm_keys
        is_preferred = tracker.record.upstream in preferred
        overcommit = WARM_OVERCOMMIT if warm or is_preferred else 0.0
        if load + 1 > slots * (1 + overcommit) + LOAD_TOLERANCE:
            continue
        queued_per_slot = max(0.0, load + 1 - slots) / slots
        work = tracker.duration_factor(now_s)
        if warm:
            work *= WARM_FACTOR
        elif is_preferred:
            work *= PREFERRED_FACTOR
        if tracker.is_cold(now_s):
            work *= COLD_FACTOR
        cost = work + LOAD_COST * load / slots + QUEUE_COST * queued_per_slot
        cost += location.distance_cost(tracker.record, region_wide=region_wide)
        cost += FAILURE_COST * tracker.current_failure_fraction(now_s)
        yield cost, tracker


def _preferred(
    trackers: list[_trackers.UpstreamTracker],
    location: Location,
    affinity_key: str | None,
    object_count: int,
    *,
    region_wide: bool,
) -> frozenset[str]:
    """Returns the names of the first upstream of each order."""
    if affinity_key is None:
        return frozenset()
    local_upstreams = sum(
        tracker.record.failure_domain == location.failure_domain
        for tracker in trackers
    )
    by_domain = (
        not region_wide
        and object_count <= local_upstreams * WARM_OBJECTS_PER_UPSTREAM
    )
    groups: dict[str, list[str]] = {}
    for tracker in trackers:
        record = tracker.record
        group = ""
        if record.region == location.region:
            group = record.failure_domain if by_domain else record.region
        groups.setdefault(group, []).append(record.upstream)
    return frozenset(
        min(
            names,
            key=lambda name: _hashing.rendezvous_rank(name, affinity_key),
        )
        for names in groups.values()
    )
