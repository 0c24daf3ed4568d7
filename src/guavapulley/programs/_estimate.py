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
from guavapulley import selectors
from guavapulley.programs import _world

# A region is reported when its estimated load passes this part of its limit.
PRESSING_PART = 0.8
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
    old, new = _world.World(before, records), _world.World(after, records)
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
    old: _world.World, new: _world.World, changed: Sequence[model.ObjectKey]
) -> Iterator[tuple[model.ObjectKey, model.ConfigurationObject]]:
    """Yields the changed objects; deleted ones as they were."""
    table = {
        model.object_key(item): item
        for world in (old, new)
        for item in world.configuration.objects
    }
    return ((key, table[key]) for key in changed if key in table)


def _matched_upstreams(
    old: _world.World, new: _world.World, changed: Sequence[model.ObjectKey]
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
                        upstream.observation.record.all_labels()
                        if announced
                        else upstream.labels
                    )
                ),
            )


def _matches(
    old: _world.World,
    new: _world.World,
    changed: Sequence[model.ObjectKey],
    cells: Sequence[Cell],
) -> Iterator[Match]:
    for _, item in _objects(old, new, changed):
        if not isinstance(item, model.Intent):
            continue
        for service, region in cells:
            labels = new.labels(service, region)
            depends_on = _world.matches_known(item.requests, labels)
            if depends_on is not None:
                yield Match(item.name, service, region, depends_on)


def _moves(
    old: _world.World, new: _world.World, cells: Sequence[Cell]
) -> Iterator[Move]:
    for service, region in cells:
        move = Move(
            service,
            region,
            old.shares(service, region),
            new.shares(service, region),
            any(
                _world.matches_known(
                    intent.requests, world.labels(service, region)
                )
                for world in (old, new)
                for intent in world.configuration.intents()
            ),
        )
        if move.moved() > _world.LEAST_SHARE:
            yield move


def _region_pressure(
    new: _world.World,
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
        gains = added > _world.LEAST_SHARE
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
    new: _world.World, moves: Sequence[Move], busy: Mapping[Cell, float]
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
    for link in sorted(
        name for name, n in added.items() if n > _world.LEAST_SHARE
    ):
        cap = caps.get(link)
        reached = None
        if cap is not None:
            reached = max(bits[link], 0.0) / (cap * BITS_PER_MBIT) * MS_PER_S
        yield LinkPressure(link, cap, added[link], reached)


def _unknown(name: str) -> model.Service:
    return model.Service(name, model.TrafficClass.SHORT)
