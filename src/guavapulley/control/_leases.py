"""Leases of shares of link caps."""

from collections.abc import Iterable

import attrs
import trio

from guavapulley import model

LEASE_S = 2.0
# Clocks of two VMs may differ in rate by this part.
MAX_CLOCK_DRIFT = 0.05
LEASE_MARGIN_S = 0.1
# Part of each cap that is never leased; entries without a lease use it.
UNLEASED_PART = 0.2
# A demand that is not renewed for this long no longer counts.
DEMAND_LIFETIME_S = 3.0
BYTES_PER_MBIT = 125_000

Way = tuple[str, str]


@attrs.define
class _Holder:
    """One entry on one way of a link.

    Attributes:
        demand: Bytes per second that it asked for last.
        asked_at_s: When it asked.
        grants: Bytes per second and end of each lease that may be in use.
    """

    demand: float = 0.0
    asked_at_s: float = 0.0
    grants: list[tuple[float, float]] = attrs.field(factory=list)

    def usable(self, now_s: float) -> float:
        """Returns the most that the entry may use now, in bytes per second."""
        self.grants = [item for item in self.grants if item[1] > now_s]
        return max((share for share, _ in self.grants), default=0.0)


def max_min_shares(
    demands: dict[str, float], capacity: float
) -> dict[str, float]:
    """Divides a capacity by max-min fairness.

    >>> max_min_shares({"a": 10.0, "b": 2.0, "c": 50.0}, 30.0)
    {'b': 2.0, 'a': 10.0, 'c': 18.0}
    """
    shares: dict[str, float] = {}
    left = capacity
    ordered = sorted(demands.items(), key=lambda item: item[1])
    for position, (name, demand) in enumerate(ordered):
        shares[name] = min(demand, left / (len(ordered) - position))
        left -= shares[name]
    return shares


class LinkLeases:
    """Shares of link caps that the leader has leased.

    The state is in memory only: a new leader grants nothing until every lease
    of its predecessors has certainly expired.
    """

    def __init__(self) -> None:
        self.term = -1
        self.grants_from_s = 0.0
        self.ways: dict[Way, dict[str, _Holder]] = {}

    def lease(
        self,
        request: model.LeaseShare,
        links: Iterable[model.LinkCap],
        term: int,
    ) -> model.LeaseShareReply:
        """Grants shares by demand.

        Args:
            request: Demands of one entry; an earlier lease of the entry stays
                counted until it expires.
            links: Caps in force.
            term: Term of this leader.
        """
        now_s = trio.current_time()
        if term != self.term:
            self.term, self.ways = term, {}
            self.grants_from_s = now_s + _held_s()
        if now_s < self.grants_from_s:
            return model.LeaseShareReply((), 0.0)
        caps = _caps_by_way(links)
        grants = (
            self._grant(
                request.entry, demand, caps[demand.source, demand.target]
            )
            for demand in request.demands
            if (demand.source, demand.target) in caps
        )
        return model.LeaseShareReply(tuple(grants), LEASE_S)

    def _grant(
        self, entry: str, demand: model.ShareDemand, leasable: float
    ) -> model.ShareGrant:
        now_s = trio.current_time()
        holders = self.ways.setdefault((demand.source, demand.target), {})
        own = holders.setdefault(entry, _Holder())
        own.demand, own.asked_at_s = max(0.0, demand.bytes_per_s), now_s
        for name, holder in list(holders.items()):
            silent_s = now_s - holder.asked_at_s
            if silent_s > DEMAND_LIFETIME_S and not holder.usable(now_s):
                del holders[name]
        demands = {name: holder.demand for name, holder in holders.items()}
        fair = max_min_shares(demands, leasable)[entry]
        others = sum(
            holder.usable(now_s)
            for name, holder in holders.items()
            if name != entry
        )
        share = max(0.0, min(fair, leasable - others))
        own.grants.append((share, now_s + _held_s()))
        return model.ShareGrant(demand.source, demand.target, share)

    def usable(self, way: Way) -> float:
        """Returns what all entries together may use, in bytes per second."""
        now_s = trio.current_time()
        holders = self.ways.get(way, {}).values()
        return sum(holder.usable(now_s) for holder in holders)


def _held_s() -> float:
    """Returns how long the leader counts a lease after its request."""
    return LEASE_S * (1 + MAX_CLOCK_DRIFT) + LEASE_MARGIN_S


def _caps_by_way(links: Iterable[model.LinkCap]) -> dict[Way, float]:
    caps: dict[Way, float] = {}
    for link in links:
        first, second = link.regions()
        leasable = link.mbit_per_s * BYTES_PER_MBIT * (1 - UNLEASED_PART)
        caps[first, second] = caps[second, first] = leasable
    return caps
