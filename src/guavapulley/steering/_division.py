"""Division of the slots of upstreams among entries.

Every entry computes the same division from the same records, so that all
entries together use each slot once without asking each other.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

import attrs
import xxhash


@attrs.frozen
class Divisible:
    """An upstream whose slots are divided."""

    upstream: str
    region: str
    slots: int


@attrs.frozen
class Claimant:
    """An entry that gets slots.

    Attributes:
        entry: Its name.
        region: Its region.
        demand: Part of its requests that goes to each region; None means that
            all of them go to its own region.
    """

    entry: str
    region: str
    demand: Mapping[str, float] | None = None

    def demands(self) -> Mapping[str, float]:
        """Returns the part of its requests that goes to each region."""
        return {self.region: 1.0} if self.demand is None else self.demand


@attrs.frozen
class SlotId:
    """One slot of an upstream; slots are numbered from 0."""

    upstream: str
    number: int


def divide(
    upstreams: Sequence[Divisible],
    claimants: Sequence[Claimant],
    capacities: Mapping[str, int],
) -> dict[str, list[SlotId]]:
    """Divides all slots among the claimants.

    Each claimant is entitled to an equal part of all slots. It gets it from
    the regions of its demand as far as they have enough, and the rest from
    regions that have slots left over, such as when its own region has failed.

    >>> owned = divide(
    ...     [Divisible("a", "pb", 3), Divisible("b", "za", 3)],
    ...     [Claimant("e1", "pb"), Claimant("e2", "za")],
    ...     {"pb": 3, "za": 3},
    ... )
    >>> [slot.upstream for slot in owned["e1"]]
    ['a', 'a', 'a']

    Args:
        upstreams: Upstreams of one service.
        claimants: Live entries.
        capacities: Requests that each region may run at a time; slots over it
            belong to nobody.

    Returns:
        The slots of each claimant by its name.
    """
    order = sorted(claimants, key=lambda c: c.entry)
    owned: dict[str, list[SlotId]] = {c.entry: [] for c in order}
    quotas = _quotas(order, capacities)
    for region in sorted(capacities):
        inside = sorted(
            (u for u in upstreams if u.region == region),
            key=lambda u: u.upstream,
        )
        places = _rounded(quotas, region, capacities[region])
        for slot in _slots(inside):
            entry = _next_owner(slot, places, owned)
            if entry is not None:
                places[entry] -= 1
                owned[entry].append(slot)
    return owned


def _quotas(
    claimants: Sequence[Claimant], capacities: Mapping[str, int]
) -> dict[tuple[str, str], float]:
    """Returns the part of each claimant in each region."""
    if not claimants:
        return {}
    fair = sum(capacities.values()) / len(claimants)
    left = {region: float(slots) for region, slots in capacities.items()}
    wanted: dict[str, float] = {}
    for claimant in claimants:
        for region, part in claimant.demands().items():
            wanted[region] = wanted.get(region, 0.0) + part
    quotas: dict[tuple[str, str], float] = {}
    lacking: dict[str, float] = {}
    for claimant in claimants:
        lacking[claimant.entry] = fair
        for region, part in claimant.demands().items():
            if region not in left or part <= 0:
                continue
            slots = capacities[region] * part / wanted[region]
            quota = min(fair * part, slots)
            quotas[claimant.entry, region] = quota
            lacking[claimant.entry] -= quota
            left[region] -= quota
    total = sum(lacking.values())
    if total <= 0:
        return quotas
    for region, slots in left.items():
        for entry, lack in lacking.items():
            key = (entry, region)
            quotas[key] = quotas.get(key, 0.0) + slots * lack / total
    return quotas


def _rounded(
    quotas: Mapping[tuple[str, str], float], region: str, capacity: int
) -> dict[str, int]:
    """Rounds the parts in a region by the largest remainders."""
    parts = {e: q for (e, r), q in quotas.items() if r == region and q > 0}
    places = {entry: int(part + 1e-9) for entry, part in parts.items()}
    spare = capacity - sum(places.values())
    by_remainder = sorted(
        parts,
        key=lambda e: (
            places[e] - parts[e],
            xxhash.xxh64_intdigest(f"{region}/{e}".encode()),
        ),
    )
    for entry in by_remainder[:spare]:
        places[entry] += 1
    return places


def _next_owner(
    slot: SlotId,
    places: Mapping[str, int],
    owned: Mapping[str, list[SlotId]],
) -> str | None:
    """Returns the entry that gets a slot.

    The entry with the fewest slots of the upstream comes first, so that no
    entry depends on one upstream alone.
    """
    open_entries = [entry for entry, count in places.items() if count > 0]
    return min(
        open_entries,
        key=lambda entry: (
            sum(s.upstream == slot.upstream for s in owned[entry]),
            -places[entry],
            xxhash.xxh64_intdigest(f"{slot.upstream}/{entry}".encode()),
        ),
        default=None,
    )


def _slots(upstreams: Sequence[Divisible]) -> Iterator[SlotId]:
    """Yields the slots in rounds, one of each upstream in a round."""
    rounds = max((u.slots for u in upstreams), default=0)
    for number in range(rounds):
        for upstream in upstreams:
            if number < upstream.slots:
                yield SlotId(upstream.upstream, number)
