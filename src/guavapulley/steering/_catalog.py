"""Labels, capacities and intents that a configuration gives to upstreams."""

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
from guavapulley.steering import _allocation

# Bulk work leaves slots free only in regions with more than this many slots for
# each free one; smaller regions have none to spare.
MIN_SLOTS_PER_FREE_SLOT = 4


@attrs.frozen
class LabelledUpstream:
    """An upstream with its effective labels.

    Attributes:
        observation: Record of the upstream and its freshness at this entry.
        labels: Announced and automatic labels, changed by label overrides.
        drain: Name of a drain that covers the upstream, if any.
    """

    observation: ports.UpstreamObservation
    labels: model.Labels
    drain: str | None

    @property
    def name(self) -> str:
        """Name of the upstream."""
        return self.observation.record.upstream

    @property
    def region(self) -> str:
        """Region of the upstream."""
        return self.observation.record.region

    @property
    def is_usable(self) -> bool:
        """Whether the upstream is ready, not drained and not expired."""
        return (
            self.drain is None
            and self.observation.record.state is model.UpstreamState.READY
            and self.observation.freshness is not ports.Freshness.EXPIRED
        )


def label_upstreams(
    upstreams: Sequence[ports.UpstreamObservation],
    configuration: model.Configuration,
) -> Iterator[LabelledUpstream]:
    """Applies the label overrides and drains of a configuration.

    Overrides match the announced and automatic labels; drains match the labels
    after the overrides. An override with an empty value removes the label.

    Args:
        upstreams: Upstreams to label.
        configuration: Configuration with the overrides and drains.

    Yields:
        Each upstream with its effective labels, in the given order.
    """
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
    for observation in upstreams:
        announced = observation.record.all_labels()
        labels = dict(announced)
        for selector, override_labels in overrides:
            if selector.matches(announced):
                labels.update(override_labels)
        labels = {key: value for key, value in labels.items() if value}
        covering_drains = (name for s, name in drains if s.matches(labels))
        yield LabelledUpstream(observation, labels, next(covering_drains, None))


def usable_slots(
    upstreams: Sequence[LabelledUpstream],
    no_ramp_before_s: float,
    slow_start_s: float,
    now_s: float,
) -> list[_allocation.UpstreamSlots]:
    """Returns the slots of the usable upstreams, reduced during slow start.

    Args:
        upstreams: Upstreams of one service.
        no_ramp_before_s: Incarnations first seen up to this time offer all
            their slots at once.
        slow_start_s: Time over which the slots of a new incarnation increase
            to their full number.
        now_s: Current time on trio's clock.
    """
    return [
        _allocation.UpstreamSlots(
            u.name,
            u.region,
            _ramped_slots(u.observation, no_ramp_before_s, slow_start_s, now_s),
        )
        for u in upstreams
        if u.is_usable
    ]


def _ramped_slots(
    observation: ports.UpstreamObservation,
    no_ramp_before_s: float,
    slow_start_s: float,
    now_s: float,
) -> int:
    slots = observation.record.slots
    age_s = now_s - observation.first_seen_s
    if observation.first_seen_s <= no_ramp_before_s or age_s >= slow_start_s:
        return slots
    return max(1, math.ceil(slots * age_s / slow_start_s))


def region_limits(
    configuration: model.Configuration,
) -> dict[str, model.RegionLimit]:
    """Returns the configured limits by region."""
    return {
        o.name: o
        for o in configuration.objects
        if isinstance(o, model.RegionLimit)
    }


def region_capacities(
    upstreams: Sequence[_allocation.UpstreamSlots],
    limits: dict[str, model.RegionLimit],
) -> dict[str, int]:
    """Returns the maximum number of concurrent requests of each region."""
    slots_by_region: dict[str, int] = {}
    for upstream in upstreams:
        slots_by_region[upstream.region] = (
            slots_by_region.get(upstream.region, 0) + upstream.slots
        )
    for region, slots in slots_by_region.items():
        limit = limits.get(region)
        if limit is not None and limit.max_in_flight > 0:
            slots_by_region[region] = min(slots, limit.max_in_flight)
    return slots_by_region


def headroom_percents(
    regions: Iterable[str], limits: Mapping[str, model.RegionLimit]
) -> dict[str, float]:
    """Returns the percentage of slots to keep free in each region."""
    return {
        region: limits.get(region, model.RegionLimit(region)).headroom_percent
        for region in regions
    }


def capacities_to_allocate(
    capacities: Mapping[str, int],
    traffic_class: model.TrafficClass,
    bulk_free_slots: int,
) -> dict[str, int]:
    """Returns the number of slots of each region to allocate to entries.

    Args:
        capacities: Maximum number of concurrent requests of each region.
        traffic_class: Traffic class of the service.
        bulk_free_slots: Slots that bulk work leaves free in a large region.
    """
    if traffic_class is not model.TrafficClass.BULK:
        return dict(capacities)
    threshold = MIN_SLOTS_PER_FREE_SLOT * bulk_free_slots
    return {
        region: slots - bulk_free_slots if slots > threshold else slots
        for region, slots in capacities.items()
    }


def demand_by_region(
    service: model.Service,
    region: str,
    upstreams: Sequence[LabelledUpstream],
    intents: Sequence[model.Intent],
) -> dict[str, float]:
    """Returns the fraction of an entry's requests that goes to each region.

    Only labels that all requests to the service at an entry share are
    considered, so an intent that selects by other labels does not match.

    Args:
        service: Requested service.
        region: Region of the entry.
        upstreams: Upstreams of the service.
        intents: Intents in descending order of priority.
    """
    labels = {
        "service": service.name,
        "class": service.traffic_class.value,
        "region": region,
    }
    remaining_fraction = 1.0
    demand: dict[str, float] = {}
    for intent in intents:
        if not selectors.parse(intent.requests).matches(labels):
            continue
        request_fraction = remaining_fraction * intent.share_percent / 100
        remaining_fraction -= request_fraction
        for target, weight in _target_weights(
            intent, region, upstreams
        ).items():
            demand[target] = demand.get(target, 0.0) + request_fraction * weight
    if remaining_fraction > 0:
        demand[region] = demand.get(region, 0.0) + remaining_fraction
    return demand


def _target_weights(
    intent: model.Intent, region: str, upstreams: Sequence[LabelledUpstream]
) -> dict[str, float]:
    """Returns the target regions of an intent with their traffic weights.

    The weights add up to 1. The local region gets all the traffic if it has a
    matching upstream; otherwise the weights are proportional to the slots.
    """
    selector = selectors.parse(intent.upstreams)
    slots: dict[str, float] = {}
    for upstream in upstreams:
        if upstream.is_usable and selector.matches(upstream.labels):
            target = upstream.region
            slots[target] = (
                slots.get(target, 0) + upstream.observation.record.slots
            )
    if region in slots:
        return {region: 1.0}
    total = sum(slots.values())
    return {target: count / total for target, count in slots.items() if total}


def select_intent(
    request: model.SteeredRequest, intents: Sequence[model.Intent]
) -> model.Intent | None:
    """Returns the intent that applies to a request, or None for the default.

    The hash of the request ID is mapped to a point from 0 to below 1. An intent
    applies to the points below its `share_percent` divided by 100. The
    remaining points are rescaled to the whole range for the next intent. A
    repeated request therefore gets the same intent.

    Args:
        request: Request with all its labels.
        intents: Intents in descending order of priority.
    """
    # A float represents 53 bits exactly; all 64 bits could be rounded up to 1.
    digest = xxhash.xxh64_intdigest(request.request_id.encode())
    point = (digest >> 11) / 2**53
    for intent in intents:
        if not selectors.parse(intent.requests).matches(request.labels):
            continue
        fraction = intent.share_percent / 100
        if point < fraction:
            return intent
        point = (point - fraction) / (1 - fraction)
    return None
