"""Estimates the effect of a change on traffic before the change is made.

The estimate is based on the configuration, the announced upstreams and their
load reports. The labels that callers set and the regions of callers are not
known: the requests that the upstreams of a region serve now are assumed to come
from that region.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from guavapulley import model
from guavapulley import selectors
from guavapulley.programs import _traffic_model

# A region is reported if its estimated load exceeds this fraction of its limit.
HIGH_LOAD_FRACTION = 0.8
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1e6
MS_PER_S = 1e3


@attrs.frozen
class IntentMatch:
    """Requests for a service from a region that an intent matches.

    Attributes:
        intent: Name of the intent.
        service: Name of the service.
        region: Region of the callers.
        depends_on: Labels set by callers on which the match depends; empty if
            all requests match.
    """

    intent: str
    service: str
    region: str
    depends_on: tuple[str, ...] = ()


@attrs.frozen
class Move:
    """Requests for a service that a change would move to other regions.

    Attributes:
        service: Name of the service.
        region: Region of the callers.
        before: Estimated fraction (0 to 1) of the requests by target region
            before the change.
        after: Estimated fraction (0 to 1) of the requests by target region
            after the change.
        at_most: Whether the match depends on labels set by callers. The
            fractions then hold if every caller sets matching labels.
    """

    service: str
    region: str
    before: Mapping[str, float]
    after: Mapping[str, float]
    at_most: bool

    def moved_fraction(self) -> float:
        """Returns the fraction of requests whose target region changes."""
        names = self.before.keys() | self.after.keys()
        differences = (
            abs(self.after.get(name, 0.0) - self.before.get(name, 0.0))
            for name in names
        )
        return sum(differences) / 2


@attrs.frozen
class RegionLoad:
    """Estimated load of a region for a service against its limit.

    Attributes:
        service: Name of the service.
        region: Region of the upstreams.
        busy_before: Requests in flight that the upstreams report.
        busy_after: Estimated requests in flight after the change.
        capacity: Maximum number of concurrent requests in the region.
        for_others: Requests of the capacity that may come from other regions.
    """

    service: str
    region: str
    busy_before: float
    busy_after: float
    capacity: int
    for_others: float


@attrs.frozen
class LinkLoad:
    """Estimated load of a link that would carry more requests.

    Attributes:
        link: The two regions of the link.
        mbit_per_s: Cap in each direction in Mbit/s; None without a cap.
        added: Estimated additional requests in flight over the link.
        reached_below_ms: Mean duration of the additional requests below which
            their answers alone reach the cap, in ms; None without a cap.
    """

    link: str
    mbit_per_s: float | None
    added: float
    reached_below_ms: float | None


@attrs.frozen
class Estimate:
    """Estimated effect of a change.

    Attributes:
        upstreams: Names of the upstreams matched by each intent, drain and
            label of the change, by kind and name of the object.
        matches: Requests matched by each intent of the change.
        moves: Requests whose target region changes.
        regions: Regions that would be near or above their limit.
        links: Links that would carry more requests.
        unreported: Number of upstreams without a load report, which count as
            idle.
    """

    upstreams: Mapping[str, tuple[str, ...]]
    matches: tuple[IntentMatch, ...]
    moves: tuple[Move, ...]
    regions: tuple[RegionLoad, ...]
    links: tuple[LinkLoad, ...]
    unreported: int


ServiceRegion = tuple[str, str]
TargetFractions = dict[ServiceRegion, dict[str, float]]


def estimate(
    before: model.Configuration,
    after: model.Configuration,
    changed: Sequence[model.ObjectKey],
    records: Sequence[model.UpstreamRecord],
) -> Estimate:
    """Estimates the effect of a change.

    Args:
        before: Configuration in force.
        after: Configuration after the change.
        changed: Objects that the change puts or deletes.
        records: Announced upstreams with their load reports.
    """
    old, new = (
        _traffic_model.TrafficModel(before, records),
        _traffic_model.TrafficModel(after, records),
    )
    services = sorted({record.service for record in records})
    service_regions = [
        (service, region) for service in services for region in new.regions()
    ]
    moves = tuple(_moves(old, new, service_regions))
    reported_load = _reported_load(records)
    return Estimate(
        upstreams=dict(_matched_upstreams(old, new, changed)),
        matches=tuple(_matches(old, new, changed, service_regions)),
        moves=moves,
        regions=tuple(
            _estimate_region_loads(new, moves, reported_load, service_regions)
        ),
        links=tuple(_estimate_link_loads(new, moves, reported_load)),
        unreported=sum(record.load is None for record in records),
    )


def _reported_load(
    records: Sequence[model.UpstreamRecord],
) -> dict[ServiceRegion, float]:
    """Returns the reported requests in flight by service and region."""
    reported_load: dict[ServiceRegion, float] = {}
    for record in records:
        if record.load is not None:
            service_region = (record.service, record.region)
            reported_load[service_region] = (
                reported_load.get(service_region, 0.0) + record.load.in_flight
            )
    return reported_load


def _changed_objects(
    old: _traffic_model.TrafficModel,
    new: _traffic_model.TrafficModel,
    changed: Sequence[model.ObjectKey],
) -> Iterator[tuple[model.ObjectKey, model.ConfigurationObject]]:
    """Yields the changed objects; deleted ones as before the change."""
    objects = {
        model.object_key(configuration_object): configuration_object
        for traffic in (old, new)
        for configuration_object in traffic.configuration.objects
    }
    return ((key, objects[key]) for key in changed if key in objects)


def _matched_upstreams(
    old: _traffic_model.TrafficModel,
    new: _traffic_model.TrafficModel,
    changed: Sequence[model.ObjectKey],
) -> Iterator[tuple[str, tuple[str, ...]]]:
    for key, configuration_object in _changed_objects(old, new, changed):
        if isinstance(
            configuration_object,
            model.Intent | model.Drain | model.LabelOverride,
        ):
            selector = selectors.parse(configuration_object.upstreams)
            # Overrides match only announced labels; the others match all.
            announced = isinstance(configuration_object, model.LabelOverride)
            yield (
                f"{key.kind} {key.name}",
                tuple(
                    upstream.name
                    for upstream in new.upstreams
                    if selector.matches(
                        upstream.observation.record.all_labels()
                        if announced
                        else upstream.labels
                    )
                ),
            )


def _matches(
    old: _traffic_model.TrafficModel,
    new: _traffic_model.TrafficModel,
    changed: Sequence[model.ObjectKey],
    service_regions: Sequence[ServiceRegion],
) -> Iterator[IntentMatch]:
    for _, configuration_object in _changed_objects(old, new, changed):
        if not isinstance(configuration_object, model.Intent):
            continue
        for service, region in service_regions:
            labels = new.labels(service, region)
            depends_on = _traffic_model.find_undetermined_labels(
                configuration_object.requests, labels
            )
            if depends_on is not None:
                yield IntentMatch(
                    configuration_object.name, service, region, depends_on
                )


def _moves(
    old: _traffic_model.TrafficModel,
    new: _traffic_model.TrafficModel,
    service_regions: Sequence[ServiceRegion],
) -> Iterator[Move]:
    for service, region in service_regions:
        move = Move(
            service,
            region,
            old.target_fractions(service, region),
            new.target_fractions(service, region),
            any(
                _traffic_model.find_undetermined_labels(
                    intent.requests, traffic.labels(service, region)
                )
                for traffic in (old, new)
                for intent in traffic.configuration.intents()
            ),
        )
        if move.moved_fraction() > _traffic_model.MIN_FRACTION:
            yield move


def _estimate_region_loads(
    new: _traffic_model.TrafficModel,
    moves: Sequence[Move],
    reported_load: Mapping[ServiceRegion, float],
    service_regions: Sequence[ServiceRegion],
) -> Iterator[RegionLoad]:
    for service, region in service_regions:
        before = reported_load.get((service, region), 0.0)
        added = sum(
            reported_load.get((service, move.region), 0.0)
            * (move.after.get(region, 0.0) - move.before.get(region, 0.0))
            for move in moves
            if move.service == service
        )
        capacity = new.capacity(service, region)
        headroom = new.region_limit(region).headroom_percent / 100
        is_gaining = added > _traffic_model.MIN_FRACTION
        if is_gaining and before + added > HIGH_LOAD_FRACTION * capacity:
            yield RegionLoad(
                service,
                region,
                before,
                before + added,
                capacity,
                capacity * (1 - headroom),
            )


def _estimate_link_loads(
    new: _traffic_model.TrafficModel,
    moves: Sequence[Move],
    reported_load: Mapping[ServiceRegion, float],
) -> Iterator[LinkLoad]:
    caps = {
        configuration_object.name: configuration_object.mbit_per_s
        for configuration_object in new.configuration.objects
        if isinstance(configuration_object, model.LinkCap)
    }
    added: dict[str, float] = {}
    added_bits: dict[str, float] = {}
    for move in moves:
        service = new.services.get(move.service, _default_service(move.service))
        for target in move.after.keys() | move.before.keys():
            fraction_change = move.after.get(target, 0.0) - move.before.get(
                target, 0.0
            )
            requests = fraction_change * reported_load.get(
                (move.service, move.region), 0.0
            )
            if target != move.region:
                link = " ".join(sorted((target, move.region)))
                answer_bits = service.expected_answer_bytes * BITS_PER_BYTE
                added[link] = added.get(link, 0.0) + requests
                added_bits[link] = (
                    added_bits.get(link, 0.0) + requests * answer_bits
                )
    for link in sorted(
        name
        for name, requests in added.items()
        if requests > _traffic_model.MIN_FRACTION
    ):
        cap = caps.get(link)
        reached_below_ms = None
        if cap is not None:
            reached_below_ms = (
                max(added_bits[link], 0.0) / (cap * BITS_PER_MBIT) * MS_PER_S
            )
        yield LinkLoad(link, cap, added[link], reached_below_ms)


def _default_service(name: str) -> model.Service:
    return model.Service(name, model.TrafficClass.SHORT)
