"""Leases of shares of the bandwidth caps of links between regions."""

from collections.abc import Iterable

import attrs
import trio

from guavapulley import model

LEASE_S = 2.0
# Greatest fraction by which a clock runs fast or slow.
MAX_CLOCK_DRIFT = 0.05
LEASE_MARGIN_S = 0.1
# Fraction of each cap that is never leased; entries without a lease use it.
UNLEASED_FRACTION = 0.2
# A demand that was not renewed for longer than this may be dropped.
DEMAND_LIFETIME_S = 3.0
# An entry that cannot confirm its configuration sends nothing across regions
# after this time on its own clock; see `CONFIGURATION_LEASE_S` of serving.
DETACHED_AFTER_S = 10.0
BYTES_PER_MBIT = 125_000

Direction = tuple[str, str]


@attrs.frozen
class _Cap:
    """Cap of one direction of a link.

    Attributes:
        total_bytes_per_s: The whole cap.
        max_entries: Greatest number of entries that use the link.
    """

    total_bytes_per_s: float
    max_entries: int

    def unleased_bytes_per_s(self) -> float:
        """Returns the bandwidth that one entry may use without a lease."""
        return self.total_bytes_per_s * UNLEASED_FRACTION / self.max_entries


@attrs.define
class _LeaseHolder:
    """Demand and leases of one entry for one direction of a link.

    Times are in seconds on trio's clock.

    Attributes:
        demand_bytes_per_s: Last demand.
        demand_time_s: Time of the last demand.
        grants: Bytes per second and end of each lease that may be in use.
    """

    demand_bytes_per_s: float = 0.0
    demand_time_s: float = 0.0
    grants: list[tuple[float, float]] = attrs.field(factory=list)

    def usable_bytes_per_s(self, now_s: float) -> float:
        """Returns the greatest lease that the entry may be using now.

        Expired leases are dropped.
        """
        self.grants = [item for item in self.grants if item[1] > now_s]
        return max((share for share, _ in self.grants), default=0.0)


def max_min_shares(
    demands: dict[str, float], capacity: float
) -> dict[str, float]:
    """Divides a capacity by max-min fairness.

    Args:
        demands: Demand of each name.
        capacity: Capacity, in the unit of the demands.

    Returns:
        The share of each name; no share is above its demand.

    >>> max_min_shares({"a": 10.0, "b": 2.0, "c": 50.0}, 30.0)
    {'b': 2.0, 'a': 10.0, 'c': 18.0}
    """
    shares: dict[str, float] = {}
    remaining = capacity
    ordered = sorted(demands.items(), key=lambda item: item[1])
    for position, (name, demand) in enumerate(ordered):
        shares[name] = min(demand, remaining / (len(ordered) - position))
        remaining -= shares[name]
    return shares


class LinkLeases:
    """Shares of link caps that the leader has leased to entries.

    The state is in memory only: a new leader grants nothing until all leases
    of its predecessors have expired for certain.

    Attributes:
        term: Term of the leader that granted the leases; -1 before the first.
        grant_start_s: Time on trio's clock from which leases are granted.
        holders_by_direction: Lease holders of each direction, by entry name.
        caps: Caps in force.
        replaced_caps: Earlier caps of each direction that entries may still
            use, with the end of their use on trio's clock.
    """

    def __init__(self) -> None:
        self.term = -1
        self.grant_start_s = 0.0
        self.holders_by_direction: dict[Direction, dict[str, _LeaseHolder]] = {}
        self.caps: dict[Direction, _Cap] = {}
        self.replaced_caps: dict[Direction, list[tuple[_Cap, float]]] = {}

    def set_caps(self, links: Iterable[model.LinkCap]) -> None:
        """Sets the caps in force; called at every replica on each change.

        Entries that have not received the change use the unleased fraction of
        the replaced caps until they are detached. Any replica may become the
        leader, so all of them keep the replaced caps.
        """
        previous_caps, self.caps = self.caps, _caps_by_direction(links)
        end_s = trio.current_time() + worst_case_s(DETACHED_AFTER_S)
        for direction, cap in previous_caps.items():
            if self.caps.get(direction) != cap:
                self.replaced_caps.setdefault(direction, []).append(
                    (cap, end_s)
                )

    def _leasable_bytes_per_s(self, direction: Direction) -> float:
        """Returns the cap less the bandwidth that needs no lease.

        The entries may use the unleased fraction of the current cap or of
        replaced ones.
        """
        now_s = trio.current_time()
        replaced = [
            item
            for item in self.replaced_caps.get(direction, ())
            if item[1] > now_s
        ]
        self.replaced_caps[direction] = replaced
        current = self.caps[direction]
        usable_caps = [current, *(cap for cap, _ in replaced)]
        unleased_bytes_per_s = max(
            cap.unleased_bytes_per_s() for cap in usable_caps
        )
        entries = max(cap.max_entries for cap in usable_caps)
        return max(
            0.0, current.total_bytes_per_s - unleased_bytes_per_s * entries
        )

    def lease(
        self,
        request: model.LeaseShare,
        term: int,
    ) -> model.LeaseShareReply:
        """Grants max-min fair shares.

        Args:
            request: Demands of one entry. An earlier lease of the entry counts
                until it expires.
            term: Term of this leader.

        Returns:
            The shares; none while leases of earlier leaders may be in use.
        """
        now_s = trio.current_time()
        if term != self.term:
            self.term, self.holders_by_direction = term, {}
            self.grant_start_s = now_s + _max_lease_s()
        if now_s < self.grant_start_s:
            return model.LeaseShareReply((), 0.0)
        grants = (
            self._grant(
                request.entry,
                demand,
                self._leasable_bytes_per_s((demand.source, demand.target)),
            )
            for demand in request.demands
            if (demand.source, demand.target) in self.caps
        )
        return model.LeaseShareReply(tuple(grants), LEASE_S)

    def _grant(
        self, entry: str, demand: model.ShareDemand, leasable_bytes_per_s: float
    ) -> model.ShareGrant:
        now_s = trio.current_time()
        holders = self.holders_by_direction.setdefault(
            (demand.source, demand.target), {}
        )
        own_holder = holders.setdefault(entry, _LeaseHolder())
        own_holder.demand_bytes_per_s, own_holder.demand_time_s = (
            max(0.0, demand.bytes_per_s),
            now_s,
        )
        for name, holder in list(holders.items()):
            demand_age_s = now_s - holder.demand_time_s
            if (
                demand_age_s > DEMAND_LIFETIME_S
                and not holder.usable_bytes_per_s(now_s)
            ):
                del holders[name]
        demands = {
            name: holder.demand_bytes_per_s for name, holder in holders.items()
        }
        fair_share = max_min_shares(demands, leasable_bytes_per_s)[entry]
        others_bytes_per_s = sum(
            holder.usable_bytes_per_s(now_s)
            for name, holder in holders.items()
            if name != entry
        )
        share = max(
            0.0, min(fair_share, leasable_bytes_per_s - others_bytes_per_s)
        )
        own_holder.grants.append((share, now_s + _max_lease_s()))
        return model.ShareGrant(demand.source, demand.target, share)

    def usable_bytes_per_s(self, direction: Direction) -> float:
        """Returns the total of the leases that may be in use in a direction."""
        now_s = trio.current_time()
        holders = self.holders_by_direction.get(direction, {}).values()
        return sum(holder.usable_bytes_per_s(now_s) for holder in holders)


def worst_case_s(duration_s: float) -> float:
    """Returns the longest time a duration on another clock takes on this one.

    The worst case is a slow clock there and a fast one here. `LEASE_MARGIN_S`
    is added.

    >>> round(worst_case_s(2.0), 2)
    2.31
    """
    slow_rate, fast_rate = 1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT
    return duration_s * fast_rate / slow_rate + LEASE_MARGIN_S


def _max_lease_s() -> float:
    """Returns the time in seconds for which the leader counts a lease."""
    return worst_case_s(LEASE_S)


def _caps_by_direction(links: Iterable[model.LinkCap]) -> dict[Direction, _Cap]:
    caps: dict[Direction, _Cap] = {}
    for link in links:
        first, second = link.regions()
        cap = _Cap(link.mbit_per_s * BYTES_PER_MBIT, link.max_entries)
        caps[first, second] = caps[second, first] = cap
    return caps
