"""Slots of the upstreams of one service, as one entry may use them."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import math

import attrs

from guavapulley import model
from guavapulley.steering import _catalog
from guavapulley.steering import _division
from guavapulley.steering import _settings
from guavapulley.steering import _windows

# Regions with fewer slots have none to spare for other work.
SLOTS_PER_FREE_SLOT = 4


class Use(enum.StrEnum):
    """How a request uses an upstream.

    `OWNED` uses a slot that belongs to this entry. `SHARED` uses a slot of
    another entry while the entry has fewer requests in the region than it owns
    slots there, such as when its own ones are in probation; the region cannot
    be overrun by it. `BORROWED` goes beyond the own part of the region.
    """

    OWNED = "owned"
    SHARED = "shared"
    BORROWED = "borrowed"


class SlotBook:
    """Who uses which slots of a service.

    An entry may always use the slots that it owns by the division. It borrows
    others only where the counts of all entries leave room for every entry of
    the region to borrow at the same time, because counts arrive late.
    """

    def __init__(
        self,
        entry: str,
        region: str,
        settings: _settings.SteeringSettings,
        started_s: float,
    ) -> None:
        self.entry = entry
        self.region = region
        self.settings = settings
        self.started_s = started_s
        self.own: collections.Counter[str] = collections.Counter()
        self.own_by_region: collections.Counter[str] = collections.Counter()
        self.others: dict[str, _windows.PeakWindow] = {}
        self.others_by_region: dict[str, _windows.PeakWindow] = {}
        self.owned: dict[str, list[_division.SlotId]] = {}
        self.owned_by_region: dict[str, list[_division.SlotId]] = {}
        self.owned_since: dict[_division.SlotId, float] = {}
        self.capacities: dict[str, int] = {}
        self.headroom: dict[str, float] = {}
        self.residents = 1
        self.alone = True

    def divide(
        self,
        upstreams: Sequence[_catalog.Labelled],
        entries: Sequence[model.EntryRecord],
        limits: dict[str, model.RegionLimit],
        traffic_class: model.TrafficClass,
        now_s: float,
    ) -> None:
        """Divides the slots anew after a change of upstreams or entries."""
        divisible = _catalog.divisible(upstreams)
        self.capacities = _catalog.capacities(divisible, limits)
        self.headroom = {
            region: (
                limits[region].headroom_percent
                if region in limits
                else _catalog.DEFAULT_HEADROOM_PERCENT
            )
            for region in self.capacities
        }
        shared = dict(self.capacities)
        if traffic_class is model.TrafficClass.BULK:
            for region, slots in shared.items():
                if slots > SLOTS_PER_FREE_SLOT * self.settings.bulk_free_slots:
                    shared[region] = slots - self.settings.bulk_free_slots
        claimants = {e.name: e.region for e in entries}
        claimants[self.entry] = self.region
        self.alone = len(claimants) == 1
        self.residents = sum(r == self.region for r in claimants.values())
        mine = _division.divide(
            divisible,
            [_division.Claimant(e, r) for e, r in claimants.items()],
            shared,
        )[self.entry]
        self.owned_since = {
            slot: self.owned_since.get(slot, now_s) for slot in mine
        }
        regions = {u.name: u.region for u in upstreams}
        self.owned = {}
        self.owned_by_region = {}
        for slot in mine:
            self.owned.setdefault(slot.upstream, []).append(slot)
            region = regions[slot.upstream]
            self.owned_by_region.setdefault(region, []).append(slot)

    def count_others(
        self,
        upstreams: Sequence[_catalog.Labelled],
        entries: Sequence[model.EntryRecord],
        now_s: float,
    ) -> None:
        """Takes over the counts that other entries gossip."""
        others = [e.in_flight for e in entries if e.name != self.entry]
        sums: collections.Counter[str] = collections.Counter()
        for upstream in upstreams:
            name = upstream.name
            count = sum(counts.get(name, 0) for counts in others)
            sums[upstream.region] += count
            self._window(self.others, name).add(now_s, count)
        for region, count in sums.items():
            self._window(self.others_by_region, region).add(now_s, count)

    def _window(
        self, table: dict[str, _windows.PeakWindow], key: str
    ) -> _windows.PeakWindow:
        if key not in table:
            table[key] = _windows.PeakWindow(self.settings.hold_s)
        return table[key]

    def others_at(self, upstream: str, now_s: float) -> int:
        """Returns the requests of other entries at an upstream."""
        window = self.others.get(upstream)
        return window.value(now_s) if window else 0

    def others_latest(self, upstream: str) -> int:
        """Returns the newest count of other entries at an upstream."""
        window = self.others.get(upstream)
        return window.samples[-1][1] if window else 0

    def others_in(self, region: str, now_s: float) -> int:
        """Returns the requests of other entries in a region."""
        window = self.others_by_region.get(region)
        return window.value(now_s) if window else 0

    def started_slots(self, upstream: _catalog.Labelled, now_s: float) -> int:
        """Returns how many slots slow start allows all entries together."""
        known = upstream.known
        slots = known.record.slots
        age = now_s - known.first_seen_s
        new = known.first_seen_s > self.started_s + self.settings.settling_s
        if not new or age >= self.settings.slow_start_s:
            return slots
        return max(1, math.ceil(slots * age / self.settings.slow_start_s))

    def owned_at(self, upstream: _catalog.Labelled, now_s: float) -> int:
        """Returns the owned slots of an upstream that can be used."""
        started = self.started_slots(upstream, now_s)
        settled = self._settled_before(now_s)
        return sum(
            slot.number < started and self.owned_since[slot] <= settled
            for slot in self.owned.get(upstream.name, ())
        )

    def quota(self, region: str, now_s: float) -> int:
        """Returns the owned slots of a region that can be used."""
        settled = self._settled_before(now_s)
        return sum(
            self.owned_since[slot] <= settled
            for slot in self.owned_by_region.get(region, ())
        )

    def _settled_before(self, now_s: float) -> float:
        # Without other entries there is no previous owner.
        return now_s - (0 if self.alone else self.settings.ownership_delay_s)

    def use_of(
        self,
        upstream: _catalog.Labelled,
        traffic_class: model.TrafficClass,
        now_s: float,
    ) -> Use | None:
        """Returns how a request may use an upstream, or None for not now."""
        name, region = upstream.name, upstream.region
        within = self.own_by_region[region] < self.quota(region, now_s)
        if within and self.own[name] < self.owned_at(upstream, now_s):
            return Use.OWNED
        spared = 1 if traffic_class is model.TrafficClass.BULK else 0
        started = self.started_slots(upstream, now_s) - spared
        if self.own[name] + self.others_latest(name) >= started:
            return None
        if within:
            return Use.SHARED
        full = self.own[name] + self.others_at(name, now_s) >= started
        if full or not self._may_borrow(region, now_s):
            return None
        return Use.BORROWED

    def load(self, region: str, now_s: float) -> float:
        """Returns the part of the slots of a region known to be in use."""
        slots = self.capacities.get(region, 0)
        used = self.others_in(region, now_s) + self.own_by_region[region]
        return used / slots if slots else 1.0

    def has_headroom(self, region: str, now_s: float) -> bool:
        """Returns whether a request from outside may enter a region."""
        slots = self.capacities.get(region, 0)
        used = self.others_in(region, now_s) + self.own_by_region[region]
        return used + 1 <= slots * (1 - self.headroom.get(region, 0.0) / 100)

    def _may_borrow(self, region: str, now_s: float) -> bool:
        """Returns whether a region has room beyond the own quota."""
        used = self.others_in(region, now_s) + self.own_by_region[region]
        room = self.capacities[region] * self.settings.borrow_ceiling - used
        borrowed = self.own_by_region[region] - self.quota(region, now_s)
        if not self.owned_since and borrowed == 0:
            # An entry without any slot must be able to serve.
            return room >= 1
        borrowers = max(1, self.residents)
        return room >= (borrowed + 1) * borrowers - borrowed

    def take(self, upstream: str, region: str) -> "Hold":
        """Counts a request at an upstream until the hold is released."""
        self.own[upstream] += 1
        self.own_by_region[region] += 1
        return Hold(self, upstream, region)

    def in_flight(self) -> Mapping[str, int]:
        """Returns the own requests by upstream."""
        return {name: count for name, count in self.own.items() if count > 0}


@attrs.define
class Hold:
    """A slot in use by a request; a context manager that gives it back.

    Attributes:
        book: Book that counts it.
        upstream: Upstream of the slot.
        region: Region of the upstream.
        on_release: Called after the slot was given back.
    """

    book: SlotBook
    upstream: str
    region: str
    on_release: Callable[[], None] = lambda: None

    def __enter__(self) -> "Hold":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.book.own[self.upstream] -= 1
        self.book.own_by_region[self.region] -= 1
        self.on_release()
