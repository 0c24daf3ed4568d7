"""Allocation of the slots of upstreams to entries.

Every entry computes the same allocation from the same records. Each slot
therefore has one owner without any coordination between the entries.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

import attrs
import xxhash


@attrs.frozen
class UpstreamSlots:
    """An upstream and the number of slots that it offers."""

    upstream: str
    region: str
    slots: int


@attrs.frozen
class Participant:
    """An entry that takes part in the allocation.

    Attributes:
        entry: Name of the entry.
        region: Region of the entry.
        demand: Fraction of the entry's requests that goes to each region; None
            means that all of them go to the entry's own region.
    """

    entry: str
    region: str
    demand: Mapping[str, float] | None = None

    def demand_by_region(self) -> Mapping[str, float]:
        """Returns the fraction of requests that goes to each region."""
        return {self.region: 1.0} if self.demand is None else self.demand


@attrs.frozen
class SlotId:
    """One slot of an upstream; slots are numbered from 0."""

    upstream: str
    number: int


def allocate(
    upstreams: Sequence[UpstreamSlots],
    participants: Sequence[Participant],
    capacities: Mapping[str, int],
) -> dict[str, list[SlotId]]:
    """Allocates all slots to the participants.

    Each participant is entitled to an equal share of all slots. It gets slots
    in the regions of its demand as far as they suffice, and otherwise in
    regions with unallocated slots, for example when its own region has failed.

    >>> owned = allocate(
    ...     [UpstreamSlots("a", "pb", 3), UpstreamSlots("b", "za", 3)],
    ...     [Participant("e1", "pb"), Participant("e2", "za")],
    ...     {"pb": 3, "za": 3},
    ... )
    >>> [slot.upstream for slot in owned["e1"]]
    ['a', 'a', 'a']

    Args:
        upstreams: Upstreams of one service.
        participants: Live entries.
        capacities: Maximum number of concurrent requests of each region; slots
            above it have no owner.

    Returns:
        The slots of each participant by the name of the entry.
    """
    order = sorted(participants, key=lambda participant: participant.entry)
    owned: dict[str, list[SlotId]] = {
        participant.entry: [] for participant in order
    }
    quotas = _exact_quotas(order, capacities)
    for region in sorted(capacities):
        in_region = sorted(
            (u for u in upstreams if u.region == region),
            key=lambda u: u.upstream,
        )
        slot_counts = _round_quotas(quotas, region, capacities[region])
        for slot in _interleave_slots(in_region):
            entry = _next_owner(slot, slot_counts, owned)
            if entry is not None:
                slot_counts[entry] -= 1
                owned[entry].append(slot)
    return owned


def _exact_quotas(
    participants: Sequence[Participant], capacities: Mapping[str, int]
) -> dict[tuple[str, str], float]:
    """Returns the unrounded number of slots by entry and region."""
    if not participants:
        return {}
    fair_share = sum(capacities.values()) / len(participants)
    unallocated = {region: float(slots) for region, slots in capacities.items()}
    total_demand: dict[str, float] = {}
    for participant in participants:
        for region, fraction in participant.demand_by_region().items():
            total_demand[region] = total_demand.get(region, 0.0) + fraction
    quotas: dict[tuple[str, str], float] = {}
    shortfalls: dict[str, float] = {}
    for participant in participants:
        shortfalls[participant.entry] = fair_share
        for region, fraction in participant.demand_by_region().items():
            if region not in unallocated or fraction <= 0:
                continue
            slots = capacities[region] * fraction / total_demand[region]
            quota = min(fair_share * fraction, slots)
            quotas[participant.entry, region] = quota
            shortfalls[participant.entry] -= quota
            unallocated[region] -= quota
    total = sum(shortfalls.values())
    if total <= 0:
        return quotas
    for region, slots in unallocated.items():
        for entry, shortfall in shortfalls.items():
            key = (entry, region)
            quotas[key] = quotas.get(key, 0.0) + slots * shortfall / total
    return quotas


def _round_quotas(
    quotas: Mapping[tuple[str, str], float], region: str, capacity: int
) -> dict[str, int]:
    """Rounds the quotas in a region by the largest remainder method."""
    exact_quotas = {
        e: q for (e, r), q in quotas.items() if r == region and q > 0
    }
    slot_counts = {
        entry: int(quota + 1e-9) for entry, quota in exact_quotas.items()
    }
    remainder = capacity - sum(slot_counts.values())
    by_remainder = sorted(
        exact_quotas,
        key=lambda e: (
            slot_counts[e] - exact_quotas[e],
            xxhash.xxh64_intdigest(f"{region}/{e}".encode()),
        ),
    )
    for entry in by_remainder[:remainder]:
        slot_counts[entry] += 1
    return slot_counts


def _next_owner(
    slot: SlotId,
    slot_counts: Mapping[str, int],
    owned: Mapping[str, list[SlotId]],
) -> str | None:
    """Returns the entry that gets a slot, or None if all quotas are used.

    The entry that owns the fewest slots of the upstream gets the slot, so that
    no entry depends on a single upstream.
    """
    entries_with_quota = [
        entry for entry, count in slot_counts.items() if count > 0
    ]
    return min(
        entries_with_quota,
        key=lambda entry: (
            sum(s.upstream == slot.upstream for s in owned[entry]),
            -slot_counts[entry],
            xxhash.xxh64_intdigest(f"{slot.upstream}/{entry}".encode()),
        ),
        default=None,
    )


def _interleave_slots(upstreams: Sequence[UpstreamSlots]) -> Iterator[SlotId]:
    """Yields the slots round-robin over the upstreams."""
    rounds = max((u.slots for u in upstreams), default=0)
    for number in range(rounds):
        for upstream in upstreams:
            if number < upstream.slots:
                yield SlotId(upstream.upstream, number)
