"""Estimates what a change would move, before it is made.

The estimate knows the configuration, the announced upstreams and their load
reports. It does not know the labels that callers set, nor where callers are: it
takes the requests that upstreams of a region serve now as coming from there.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from guavapulley import model
from guavapulley import ports
from guavapulley import selectors
from guavapulley import steering

# Request labels whose values are known without seeing a request.
KNOWN_LABELS = ("service", "class", "region")
# A region is reported when its estimated load passes this part of its limit.
PRESSING_PART = 0.8
# Shares below this are rounding errors.
LEAST_SHARE = 1e-9
DEFAULT_HEADROOM_PERCENT = 10.0
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1e6
MS_PER_S = 1e3


@attrs.frozen
class Match:
    """How an intent applies to the requests of a service from a region.

    Attributes:
        intent: Name of the intent.
        service: Name of the service.
        region: Region of the callers.
        depends_on: Labels of callers on which it depends; empty when all
            requests match.
    """

    intent: str
    service: str
    region: str
    depends_on: tuple[str, ...] = ()


@attrs.frozen
class Move:
    """Requests of a service that would go to other regions than now.

    Attributes:
        service: Name of the service.
        region: Region of the callers.
        before: Estimated share by target region, now.
        after: Estimated share by target region, after the change.
        at_most: Whether it depends on labels of callers, so that these are the
            shares when every caller has them.
    """

    service: str
    region: str
    before: Mapping[str, float]
    after: Mapping[str, float]
    at_most: bool

    def moved(self) -> float:
        """Returns the share of requests that change their region."""
        names = self.before.keys() | self.after.keys()
        changes = (
            abs(self.after.get(name, 0.0) - self.before.get(name, 0.0))
            for name in names
        )
        return sum(changes) / 2


@attrs.frozen
class RegionPressure:
    """Estimated load of a region for a service against its limit.

    Attributes:
        service: Name of the service.
        region: Region of the upstreams.
        busy_before: Requests in flight, as upstreams report them.
        busy_after: Estimated requests in flight after the change.
        capacity: Requests that the region may run at a time.
        for_others: Part of the capacity open to requests of other regions.
    """

    service: str
    region: str
    busy_before: float
    busy_after: float
    capacity: int
    for_others: float


@attrs.frozen
class LinkPressure:
    """Estimated load of a link that would carry more than now.

    Attributes:
        link: Its two regions.
        mbit_per_s: Its cap each way; None when it has none.
        added: Estimated additional requests in flight over the link.
        reached_below_ms: Mean duration of those requests below which their
            answers alone reach the cap; None without cap.
    """

    link: str
    mbit_per_s: float | None
    added: float
    reached_below_ms: float | None


@attrs.frozen
class Estimate:
    """What a change would probably do.

    Attributes:
        upstreams: Upstreams matched by each intent, drain and label of the
            change, by kind and name of the object.
        matches: Requests matched by each intent of the change.
        moves: Requests that change their region.
        regions: Regions that would be pressed.
        links: Links that would carry more.
        unreported: Upstreams without load report, which count as idle.
    """

    upstreams: Mapping[str, tuple[str, ...]]
    matches: tuple[Match, ...]
    moves: tuple[Move, ...]
    regions: tuple[RegionPressure, ...]
    links: tuple[LinkPressure, ...]
    unreported: int


Cell = tuple[str, str]
Shares = dict[Cell, dict[str, float]]


class _World:
    """A configuration with the upstreams under it."""

    def __init__(
        self,
        configuration: model.Configuration,
        records: Sequence[model.UpstreamRecord],
    ) -> None:
        self.configuration = configuration
        known = [ports.KnownUpstream(record, 0.0, 0.0) for record in records]
        self.upstreams = list(steering.labelled(known, configuration))
        self.services = configuration.services()

    def matching(self, service: str, selector: str) -> list[steering.Labelled]:
        """Returns the usable upstreams of a service under a selector."""
        parsed = selectors.parse(selector)
        return [
            upstream
            for upstream in self.upstreams
            if upstream.usable
            and upstream.known.record.service == service
            and parsed.matches(upstream.labels)
        ]

    def regions(self) -> list[str]:
        """Returns the regions that have upstreams."""
        return sorted({upstream.region for upstream in self.upstreams})

    def labels(self, service: str, region: str) -> dict[str, str]:
        """Returns the labels that are known of every such request."""
        found = {"service": service, "region": region}
        if service in self.services:
            found["class"] = self.services[service].traffic_class.value
        return found

    def shares(self, service: str, region: str) -> dict[str, float]:
        """Returns the estimated share of requests by target region."""
        found: dict[str, float] = {}
        left = 1.0
        for intent in self.configuration.intents():
            labels = self.labels(service, region)
            if matches_known(intent.requests, labels) is None:
                continue
            taken = left * intent.share_percent / 100
            left -= taken
            targets = self.matching(service, intent.upstreams)
            _spread(found, taken, region, targets)
        _spread(found, left, region, self.matching(service, ""))
        return found

    def capacity(self, service: str, region: str) -> int:
        """Returns how many requests a region may run at a time."""
        divisible = [
            upstream
            for upstream in self.matching(service, "")
            if upstream.region == region
        ]
        slots = sum(upstream.known.record.slots for upstream in divisible)
        limit = self.limit(region)
        return min(slots, limit.max_in_flight or slots)

    def limit(self, region: str) -> model.RegionLimit:
        """Returns the limit of a region, or the default."""
        found = (
            item
            for item in self.configuration.objects
            if isinstance(item, model.RegionLimit) and item.name == region
        )
        default = model.RegionLimit(
            region, headroom_percent=DEFAULT_HEADROOM_PERCENT
        )
        return next(found, default)


def _spread(
    found: dict[str, float],
    share: float,
    region: str,
    targets: Sequence[steering.Labelled],
) -> None:
    """Adds a share to the nearest region, or by slots to the others."""
    if share <= LEAST_SHARE or not targets:
        return
    near = [target for target in targets if target.region == region]
    slots = sum(target.known.record.slots for target in near or targets)
    for target in near or targets:
        part = share * target.known.record.slots / max(slots, 1)
        found[target.region] = found.get(target.region, 0.0) + part


def matches_known(
    selector: str, labels: Mapping[str, str]
) -> tuple[str, ...] | None:
    """Returns on which unknown labels a match depends; None for no match.

    >>> matches_known("service = a, tier = gold", {"service": "a"})
    ('tier',)

    Args:
        selector: Selector over request labels.
        labels: The labels that are known.
    """
    unknown = []
    for term in selectors.parse(selector).terms:
        key = term.key
        if key in KNOWN_LABELS:
            if not term.matches(labels):
                return None
        else:
            unknown.append(key)
    return tuple(dict.fromkeys(unknown))


def estimate(
    before: model.Configuration,
    after: model.Configuration,
    changed: Sequence[model.ObjectKey],
    records: Sequence[model.UpstreamRecord],
) -> Estimate:
    """Estimates what a change would do.

    Args:
        before: Configuration in force.
        after: Configuration after the change.
        changed: Objects that the change puts or deletes.
        records: Announced upstreams with their load reports.
    """
    old, new = _World(before, records), _World(after, records)
    services = sorted({record.service for record in records})
    cells = [(s, r) for s in services for r in new.regions()]
    moves = tuple(_moves(old, new, cells))
    busy = _busy(records)
    return Estimate(
        upstreams=dict(_matched_upstreams(old, new, changed)),
        matches=tuple(_matches(old, new, changed, cells)),
        moves=moves,
        regions=tuple(_region_pressure(new, moves, busy, cells)),
        links=tuple(_link_pressure(new, moves, busy)),
        unreported=sum(record.load is None for record in records),
    )


def _busy(records: Sequence[model.UpstreamRecord]) -> dict[Cell, float]:
    """Returns the requests in flight that upstreams report."""
    found: dict[Cell, float] = {}
    for record in records:
        if record.load is not None:
            cell = (record.service, record.region)
            found[cell] = found.get(cell, 0.0) + record.load.in_flight
    return found


def _objects(
    old: _World, new: _World, changed: Sequence[model.ObjectKey]
) -> Iterator[tuple[model.ObjectKey, model.ConfigurationObject]]:
    """Yields the changed objects; deleted ones as they were."""
    table = {
        model.object_key(item): item
        for world in (old, new)
        for item in world.configuration.objects
    }
    return ((key, table[key]) for key in changed if key in table)


def _matched_upstreams(
    old: _World, new: _World, changed: Sequence[model.ObjectKey]
) -> Iterator[tuple[str, tuple[str, ...]]]:
    for key, item in _objects(old, new, changed):
        if isinstance(item, model.Intent | model.Drain | model.LabelOverride):
            selector = selectors.parse(item.upstreams)
            # Labels are set by announced labels, the others match all labels.
            announced = isinstance(item, model.LabelOverride)
            yield (
                f"{key.kind} {key.name}",
                tuple(
                    upstream.name
                    for upstream in new.upstreams
                    if selector.matches(
                        upstream.known.record.all_labels()
                        if announced
                        else upstream.labels
                    )
                ),
            )


def _matches(
    old: _World,
    new: _World,
    changed: Sequence[model.ObjectKey],
    cells: Sequence[Cell],
) -> Iterator[Match]:
    for _, item in _objects(old, new, changed):
        if not isinstance(item, model.Intent):
            continue
        for service, region in cells:
            labels = new.labels(service, region)
            depends_on = matches_known(item.requests, labels)
            if depends_on is not None:
                yield Match(item.name, service, region, depends_on)


def _moves(old: _World, new: _World, cells: Sequence[Cell]) -> Iterator[Move]:
    for service, region in cells:
        move = Move(
            service,
            region,
            old.shares(service, region),
            new.shares(service, region),
            any(
                matches_known(intent.requests, world.labels(service, region))
                for world in (old, new)
                for intent in world.configuration.intents()
            ),
        )
        if move.moved() > LEAST_SHARE:
            yield move


def _region_pressure(
    new: _World,
    moves: Sequence[Move],
    busy: Mapping[Cell, float],
    cells: Sequence[Cell],
) -> Iterator[RegionPressure]:
    for service, region in cells:
        before = busy.get((service, region), 0.0)
        added = sum(
            busy.get((service, move.region), 0.0)
            * (move.after.get(region, 0.0) - move.before.get(region, 0.0))
            for move in moves
            if move.service == service
        )
        capacity = new.capacity(service, region)
        headroom = new.limit(region).headroom_percent / 100
        gains = added > LEAST_SHARE
        if gains and before + added > PRESSING_PART * capacity:
            yield RegionPressure(
                service,
                region,
                before,
                before + added,
                capacity,
                capacity * (1 - headroom),
            )


def _link_pressure(
    new: _World, moves: Sequence[Move], busy: Mapping[Cell, float]
) -> Iterator[LinkPressure]:
    caps = {
        item.name: item.mbit_per_s
        for item in new.configuration.objects
        if isinstance(item, model.LinkCap)
    }
    added: dict[str, float] = {}
    bits: dict[str, float] = {}
    for move in moves:
        service = new.services.get(move.service, _unknown(move.service))
        for target in move.after.keys() | move.before.keys():
            change = move.after.get(target, 0.0) - move.before.get(target, 0.0)
            requests = change * busy.get((move.service, move.region), 0.0)
            if target != move.region:
                link = " ".join(sorted((target, move.region)))
                size = service.expected_answer_bytes * BITS_PER_BYTE
                added[link] = added.get(link, 0.0) + requests
                bits[link] = bits.get(link, 0.0) + requests * size
    for link in sorted(name for name, n in added.items() if n > LEAST_SHARE):
        cap = caps.get(link)
        reached = None
        if cap is not None:
            reached = max(bits[link], 0.0) / (cap * BITS_PER_MBIT) * MS_PER_S
        yield LinkPressure(link, cap, added[link], reached)


def _unknown(name: str) -> model.Service:
    return model.Service(name, model.TrafficClass.SHORT)
