"""Upstreams of a service under the configuration in force."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import math

import attrs
import xxhash

from guavapulley import model
from guavapulley import ports
from guavapulley import selectors
from guavapulley.steering import _division

# Regions with fewer slots have none to spare for other work.
SLOTS_PER_FREE_SLOT = 4


@attrs.frozen
class Labelled:
    """An upstream with its effective labels.

    Attributes:
        known: What the entry knows of it.
        labels: Announced, automatic and operators' labels.
        drain: Name of a drain that covers it, if any.
    """

    known: ports.KnownUpstream
    labels: model.Labels
    drain: str | None

    @property
    def name(self) -> str:
        """Name of the upstream."""
        return self.known.record.upstream

    @property
    def region(self) -> str:
        """Region of the upstream."""
        return self.known.record.region

    @property
    def usable(self) -> bool:
        """Whether it may receive new work at all."""
        return (
            self.drain is None
            and self.known.record.state is model.UpstreamState.READY
            and self.known.freshness is not ports.Freshness.EXPIRED
        )


def labelled(
    upstreams: Sequence[ports.KnownUpstream],
    configuration: model.Configuration,
) -> Iterator[Labelled]:
    """Yields the upstreams with the labels that operators set."""
    overrides = [
        (selectors.parse(o.upstreams), o.labels)
        for o in configuration.objects
        if isinstance(o, model.LabelOverride)
    ]
    drains = [
        (selectors.parse(o.upstreams), o.name)
        for o in configuration.objects
        if isinstance(o, model.Drain)
    ]
    for known in upstreams:
        announced = known.record.all_labels()
        labels = dict(announced)
        for selector, changed in overrides:
            if selector.matches(announced):
                labels.update(changed)
        labels = {key: value for key, value in labels.items() if value}
        covering = (name for s, name in drains if s.matches(labels))
        yield Labelled(known, labels, next(covering, None))


def divisible(
    upstreams: Sequence[Labelled],
    old_since_s: float,
    slow_start_s: float,
    now_s: float,
) -> list[_division.Divisible]:
    """Returns the upstreams whose slots are divided among entries.

    Args:
        upstreams: Upstreams of one service.
        old_since_s: Incarnations first seen before this time are not new.
        slow_start_s: Time over which a new incarnation gets all its slots.
        now_s: Now.
    """
    return [
        _division.Divisible(
            u.name,
            u.region,
            _started_slots(u.known, old_since_s, slow_start_s, now_s),
        )
        for u in upstreams
        if u.usable
    ]


def _started_slots(
    known: ports.KnownUpstream,
    old_since_s: float,
    slow_start_s: float,
    now_s: float,
) -> int:
    slots = known.record.slots
    age = now_s - known.first_seen_s
    if known.first_seen_s <= old_since_s or age >= slow_start_s:
        return slots
    return max(1, math.ceil(slots * age / slow_start_s))


def region_limits(
    configuration: model.Configuration,
) -> dict[str, model.RegionLimit]:
    """Returns the limits of regions by name."""
    return {
        o.name: o
        for o in configuration.objects
        if isinstance(o, model.RegionLimit)
    }


def capacities(
    upstreams: Sequence[_division.Divisible],
    limits: dict[str, model.RegionLimit],
) -> dict[str, int]:
    """Returns how many requests each region may run at a time."""
    found: dict[str, int] = {}
    for upstream in upstreams:
        found[upstream.region] = found.get(upstream.region, 0) + upstream.slots
    for region, slots in found.items():
        limit = limits.get(region)
        if limit is not None and limit.max_in_flight > 0:
            found[region] = min(slots, limit.max_in_flight)
    return found


def headroom_percents(
    regions: Iterable[str], limits: Mapping[str, model.RegionLimit]
) -> dict[str, float]:
    """Returns the part of the slots of each region to leave free."""
    return {
        region: limits.get(region, model.RegionLimit(region)).headroom_percent
        for region in regions
    }


def divided_slots(
    capacities: Mapping[str, int],
    traffic_class: model.TrafficClass,
    bulk_free_slots: int,
) -> dict[str, int]:
    """Returns the slots of each region that are divided among entries.

    Args:
        capacities: Requests that each region may run at a time.
        traffic_class: Class of the service.
        bulk_free_slots: Slots that bulk work leaves free in a large region.
    """
    if traffic_class is not model.TrafficClass.BULK:
        return dict(capacities)
    least = SLOTS_PER_FREE_SLOT * bulk_free_slots
    return {
        region: slots - bulk_free_slots if slots > least else slots
        for region, slots in capacities.items()
    }


def demand_by_region(
    service: model.Service,
    region: str,
    upstreams: Sequence[Labelled],
    intents: Sequence[model.Intent],
) -> dict[str, float]:
    """Returns which part of the requests of an entry goes to each region.

    Only the labels that all requests of a service at an entry have are known
    here, so an intent that asks for others counts as not matching.

    Args:
        service: The service.
        region: Region of the entry.
        upstreams: Upstreams of the service.
        intents: Intents from the highest priority down.
    """
    labels = {
        "service": service.name,
        "class": service.traffic_class.value,
        "region": region,
    }
    rest = 1.0
    demand: dict[str, float] = {}
    for intent in intents:
        if not selectors.parse(intent.requests).matches(labels):
            continue
        part = rest * intent.share_percent / 100
        rest -= part
        for target, weight in _targets(intent, region, upstreams).items():
            demand[target] = demand.get(target, 0.0) + part * weight
    if rest > 0:
        demand[region] = demand.get(region, 0.0) + rest
    return demand


def _targets(
    intent: model.Intent, region: str, upstreams: Sequence[Labelled]
) -> dict[str, float]:
    """Returns the regions to which an intent sends, with their parts."""
    selector = selectors.parse(intent.upstreams)
    slots: dict[str, float] = {}
    for upstream in upstreams:
        if upstream.usable and selector.matches(upstream.labels):
            target = upstream.region
            slots[target] = slots.get(target, 0) + upstream.known.record.slots
    if region in slots:
        return {region: 1.0}
    total = sum(slots.values())
    return {target: count / total for target, count in slots.items() if total}


def chosen_intent(
    request: model.SteeredRequest, intents: Sequence[model.Intent]
) -> model.Intent | None:
    """Returns the intent that takes a request, or None for the default.

    The hash of the request ID is a point between 0 and 1. An intent takes the
    points below its share; the other points are stretched to the whole range
    for the next intent. A repeated request therefore gets the same intent.

    Args:
        request: The request with all its labels.
        intents: Intents from the highest priority down.
    """
    # 53 bits are exact in a float; all 64 could be rounded up to 1.
    digest = xxhash.xxh64_intdigest(request.request_id.encode())
    point = (digest >> 11) / 2**53
    for intent in intents:
        if not selectors.parse(intent.requests).matches(request.labels):
            continue
        share = intent.share_percent / 100
        if point < share:
            return intent
        point = (point - share) / (1 - share)
    return None
