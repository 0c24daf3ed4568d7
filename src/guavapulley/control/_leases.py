"""Leases of shares of link caps."""

from collections.abc import Iterable

import attrs
import trio

from guavapulley import model

LEASE_S = 2.0
# The rate of a clock may differ from the true one by this part, either way.
MAX_CLOCK_DRIFT = 0.05
LEASE_MARGIN_S = 0.1
# Part of each cap that is never leased; entries without a lease use it.
UNLEASED_PART = 0.2
# A demand that is not renewed for this long no longer counts.
DEMAND_LIFETIME_S = 3.0
# An entry that has not heard of a change sends nothing across regions after
# this time by its own clock; see `CONFIGURATION_LEASE_S` of serving.
DETACHED_AFTER_S = 10.0
BYTES_PER_MBIT = 125_000

Way = tuple[str, str]


@attrs.frozen
class _Cap:
    """Cap of one way of a link, in bytes per second."""

    whole: float
    max_entries: int

    def floor(self) -> float:
        """Returns what one entry may use without a lease."""
        return self.whole * UNLEASED_PART / self.max_entries


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
        self.caps: dict[Way, _Cap] = {}
        self.older_caps: dict[Way, list[tuple[_Cap, float]]] = {}

    def note_caps(self, links: Iterable[model.LinkCap]) -> None:
        """Takes the caps in force; called at each replica on each change.

        Entries that have not heard of the change use the unleased part of the
        replaced caps until they are detached, so a new leader must know them.
        """
        replaced, self.caps = self.caps, _caps_by_way(links)
        until_s = trio.current_time() + longest_s(DETACHED_AFTER_S)
        for way, cap in replaced.items():
            if self.caps.get(way) != cap:
                self.older_caps.setdefault(way, []).append((cap, until_s))

    def _leasable(self, way: Way) -> float:
        """Returns the cap less all that entries may use without a lease."""
        now_s = trio.current_time()
        older = [
            item for item in self.older_caps.get(way, ()) if item[1] > now_s
        ]
        self.older_caps[way] = older
        current = self.caps[way]
        possible = [current, *(cap for cap, _ in older)]
        floor = max(cap.floor() for cap in possible)
        entries = max(cap.max_entries for cap in possible)
        return max(0.0, current.whole - floor * entries)

    def lease(
        self,
        request: model.LeaseShare,
        term: int,
    ) -> model.LeaseShareReply:
        """Grants shares by demand.

        Args:
            request: Demands of one entry; an earlier lease of the entry stays
                counted until it expires.
            term: Term of this leader.
        """
        now_s = trio.current_time()
        if term != self.term:
            self.term, self.ways = term, {}
            self.grants_from_s = now_s + _held_s()
        if now_s < self.grants_from_s:
            return model.LeaseShareReply((), 0.0)
        grants = (
            self._grant(
                request.entry,
                demand,
                self._leasable((demand.source, demand.target)),
            )
            for demand in request.demands
            if (demand.source, demand.target) in self.caps
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


def longest_s(duration_s: float) -> float:
    """Returns the time until a duration has passed on every other clock.

    The worst case is a slow clock there and a fast one here.

    >>> round(longest_s(2.0), 2)
    2.31
    """
    slow, fast = 1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT
    return duration_s * fast / slow + LEASE_MARGIN_S


def _held_s() -> float:
    """Returns how long the leader counts a lease after its request."""
    return longest_s(LEASE_S)


def _caps_by_way(links: Iterable[model.LinkCap]) -> dict[Way, _Cap]:
    caps: dict[Way, _Cap] = {}
    for link in links:
        first, second = link.regions()
        cap = _Cap(link.mbit_per_s * BYTES_PER_MBIT, link.max_entries)
        caps[first, second] = caps[second, first] = cap
    return caps
