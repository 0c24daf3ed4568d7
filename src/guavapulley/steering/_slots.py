"""Accounting of the slots of one service in one entry."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import enum

import trio

from guavapulley import model
from guavapulley.steering import _allocation
from guavapulley.steering import _catalog
from guavapulley.steering import _lending
from guavapulley.steering import _other_requests
from guavapulley.steering import _permit
from guavapulley.steering import _settings
from guavapulley.steering import _windows

BURST_MEAN_WINDOW_S = 1.0


class SlotUse(enum.StrEnum):
    """Kind of slot that a request uses at an upstream.

    `OWNED` is a slot that belongs to this entry. `SHARED` is a slot of another
    entry, used while this entry uses fewer slots of the region than it owns
    there, now or on average over a second, so that the region is not
    overloaded. `BORROWED` is a slot beyond those that this entry owns in the
    region.
    """

    OWNED = "owned"
    SHARED = "shared"
    BORROWED = "borrowed"


class SlotAccounting:
    """Counts the slots in use and decides which ones an entry may use.

    An entry may use the slots that the allocation gives to it and those that
    other entries lend to it.

    Attributes:
        own_in_flight: Requests of this entry by upstream.
        own_in_flight_by_region: Requests of this entry by region.
        other_requests: Requests of other entries.
        owned: Number of slots that this entry owns by upstream.
        quotas: Windows of the negative number of slots that this entry owns,
            by region.
        remote_requests_per_slot: Requests in flight for each slot of another
            region.
        mean_in_flight: Mean requests of this entry by region.
        next_start_s: Earliest paced start of the next request by region.
        service_time_s: Median latency in the local region.
        slots: Number of slots by upstream.
        region_capacities: Maximum number of concurrent requests by region.
        headroom: Percentage of slots to keep free by region.
        lending: Claims on the slots by region.
    """

    def __init__(
        self,
        service: str,
        entry: str,
        region: str,
        settings: _settings.SteeringSettings,
    ) -> None:
        self.service = service
        self.entry = entry
        self.region = region
        self.settings = settings
        self.own_in_flight: collections.Counter[str] = collections.Counter()
        self.own_in_flight_by_region: collections.Counter[str] = (
            collections.Counter()
        )
        self.other_requests = _other_requests.OtherRequests(
            settings.gossip_window_s
        )
        self.owned: collections.Counter[str] = collections.Counter()
        self.quotas: dict[str, _windows.PeakWindow] = {}
        self.remote_requests_per_slot: collections.defaultdict[str, float] = (
            collections.defaultdict(lambda: 1.0)
        )
        self.mean_in_flight: collections.defaultdict[
            str, _windows.DecayingMean
        ] = collections.defaultdict(
            lambda: _windows.DecayingMean(BURST_MEAN_WINDOW_S)
        )
        self.next_start_s: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )
        self.service_time_s = 0.0
        self.slots: dict[str, int] = {}
        self.region_capacities: dict[str, int] = {}
        self.headroom: dict[str, float] = {}
        self.lending: dict[str, _lending.Lending] = {}

    def allocate(
        self,
        usable_slots: Sequence[_allocation.UpstreamSlots],
        entries: Sequence[model.EntryRecord],
        limits: dict[str, model.RegionLimit],
        traffic_class: model.TrafficClass,
        mean_duration_s: float,
        now_s: float,
        demands: Mapping[str, Mapping[str, float]] | None = None,
    ) -> None:
        """Allocates the slots again after a change of upstreams or entries.

        Args:
            usable_slots: Upstreams and the slots that they offer now.
            entries: Live entries.
            limits: Configured limits by region.
            traffic_class: Traffic class of the service.
            mean_duration_s: Mean duration of a request. A slot that changes
                owners is used only after its last request has ended.
            now_s: Current time on trio's clock.
            demands: Fraction of requests that goes to each region, by the
                region of the entry; by default all stay in that region.
        """
        settle_s = self.settle_s(mean_duration_s)
        self.slots = {u.upstream: u.slots for u in usable_slots}
        self.region_capacities = _catalog.region_capacities(
            usable_slots, limits
        )
        self.headroom = _catalog.headroom_percents(
            self.region_capacities, limits
        )
        participants = {e.name: e.region for e in entries}
        participants[self.entry] = self.region
        allocation = _allocation.allocate(
            usable_slots,
            [
                _allocation.Participant(e, r, (demands or {}).get(r))
                for e, r in participants.items()
            ],
            _catalog.capacities_to_allocate(
                self.region_capacities,
                traffic_class,
                self.settings.bulk_free_slots,
            ),
        )
        regions = {u.upstream: u.region for u in usable_slots}
        self.owned = collections.Counter(
            slot.upstream for slot in allocation[self.entry]
        )
        for region in {*self.region_capacities, *self.lending}:
            self._allocate_region(
                region, allocation, participants, regions, now_s
            )
            self.quotas[region].span_s = settle_s

    def settle_s(self, mean_duration_s: float) -> float:
        """Returns the time after a change until new slots may be used.

        Args:
            mean_duration_s: Mean duration of a request.

        Returns:
            The time in seconds.
        """
        drain_s = _lending.DRAIN_FACTOR * mean_duration_s
        return self.settings.ownership_delay_s + drain_s

    def _allocate_region(
        self,
        region: str,
        allocation: Mapping[str, Sequence[_allocation.SlotId]],
        participants: Mapping[str, str],
        regions: Mapping[str, str],
        now_s: float,
    ) -> None:
        if region not in self.lending:
            self.lending[region] = _lending.Lending(self.entry, self.settings)
            # The window holds negative quotas, so that its peak is the lowest
            # quota. The initial quota is 0.
            self.quotas[region] = _windows.PeakWindow(
                self.settings.ownership_delay_s
            )
            self.quotas[region].add(now_s, 0)
        quotas = {
            entry: sum(regions[s.upstream] == region for s in slots)
            for entry, slots in allocation.items()
        }
        self.quotas[region].add(now_s, -quotas[self.entry])
        self.lending[region].apply_allocation(
            quotas,
            {
                entry
                for entry, entry_region in participants.items()
                if entry_region == region
            },
            now_s,
        )

    def update_claims(
        self, waiting: int, mean_duration_s: float, now_s: float
    ) -> None:
        """Adapts the claims of this entry to its need.

        Args:
            waiting: Number of requests that wait in the entry.
            mean_duration_s: Mean duration of a request.
            now_s: Current time on trio's clock.
        """
        for region, lending in self.lending.items():
            need = self.own_slots_in_use(region)
            if region == self.region:
                need += waiting
            lending.update(need, mean_duration_s, now_s)

    def claims(self, now_s: float) -> dict[str, int]:
        """Returns the number of claimed slots by region, for gossip."""
        claims = {
            r: lending.published_claim(now_s)
            for r, lending in self.lending.items()
        }
        return {r: slots for r, slots in claims.items() if slots is not None}

    def record_other_counts(
        self,
        upstreams: Sequence[_catalog.LabelledUpstream],
        entries: Sequence[model.EntryRecord],
        now_s: float,
    ) -> None:
        """Records the counts and claims that other entries have published.

        Args:
            upstreams: Upstreams of the service.
            entries: Records of the live entries.
            now_s: Current time on trio's clock.
        """
        for region, lending in self.lending.items():
            lending.record_claims(entries, f"{self.service}/{region}", now_s)
        others = [e for e in entries if e.name != self.entry]
        counts = (
            (upstream, self._count_requests(upstream, others))
            for upstream in upstreams
        )
        self.other_requests.record(counts, now_s)

    def _count_requests(
        self,
        upstream: _catalog.LabelledUpstream,
        others: Sequence[model.EntryRecord],
    ) -> float:
        """Returns the number of requests of other entries at an upstream.

        Those of entries in other regions count by the slots that they occupy.
        """
        per_slot = self.remote_requests_per_slot[upstream.region]
        return sum(
            entry.in_flight.get(upstream.name, 0)
            / (1.0 if entry.region == upstream.region else per_slot)
            for entry in others
        )

    def limit(self, region: str, now_s: float) -> int:
        """Returns the number of own slots of a region that may be used now.

        The lowest quota in the window counts, because the previous owner of a
        slot may not have received the new allocation yet.
        """
        lowest = -self.quotas[region].value(now_s)
        return int(min(lowest, self.lending[region].claim.limit))

    def requests_per_slot(self, region: str) -> float:
        """Returns how many requests may be in flight for each slot.

        A request to another region spends much of its time on the network and
        occupies its slot only for the rest.
        """
        return (
            1.0
            if region == self.region
            else self.remote_requests_per_slot[region]
        )

    def _is_paced(self, region: str, now_s: float) -> bool:
        """Returns whether pacing delays a request to another region.

        Without pacing, all requests that may be in flight could start at once
        and would arrive together. The pacing follows the generic cell rate
        algorithm.
        """
        return self.next_start_s[region] - now_s > self.service_time_s

    def _schedule_next_start(self, region: str) -> None:
        now_s = trio.current_time()
        spacing_s = self.service_time_s / max(1, self.limit(region, now_s))
        start_s = max(self.next_start_s[region], now_s)
        self.next_start_s[region] = start_s + spacing_s

    def own_slots_in_use(self, region: str) -> float:
        """Returns the number of slots that this entry uses in a region."""
        return self.own_in_flight_by_region[region] / self.requests_per_slot(
            region
        )

    def classify_use(
        self,
        upstream: _catalog.LabelledUpstream,
        traffic_class: model.TrafficClass,
        now_s: float,
        *,
        has_intent: bool = False,
    ) -> SlotUse | None:
        """Returns which kind of slot a request may use at an upstream.

        Args:
            upstream: Upstream to check.
            traffic_class: Traffic class of the request.
            now_s: Current time on trio's clock.
            has_intent: Whether an intent restricts the request to some
                upstreams.

        Returns:
            The kind of slot, or None if the request may use none now.
        """
        name, region = upstream.name, upstream.region
        is_bulk = traffic_class is model.TrafficClass.BULK
        if is_bulk and not self._has_free_slot(region, now_s):
            return None
        per_slot = self.requests_per_slot(region)
        if per_slot > 1 and self._is_paced(region, now_s):
            return None
        own_slots_here = self.own_in_flight[name] / per_slot
        own_slots = self.own_slots_in_use(region)
        within_limit = own_slots + 1 / per_slot <= self.limit(region, now_s)
        if within_limit and own_slots_here < self.owned[name]:
            return SlotUse.OWNED
        reserved = 1 if is_bulk else 0
        slots = self.slots.get(name, 0) - reserved
        if own_slots_here + self.other_requests.latest_at(name) >= slots:
            return None
        is_short = traffic_class is model.TrafficClass.SHORT
        if within_limit or (is_short and self._may_burst(region, now_s)):
            return SlotUse.SHARED
        is_full = (
            own_slots_here + self.other_requests.peak_at(name, now_s) >= slots
        )
        if is_full or not self._may_borrow(
            region, now_s, has_intent=has_intent
        ):
            return None
        return SlotUse.BORROWED

    def has_free_previous_slot(
        self,
        upstream: _catalog.LabelledUpstream,
        owned: Mapping[str, int],
        limits: Mapping[str, int],
    ) -> bool:
        """Returns whether an own slot of an earlier allocation is free.

        Args:
            upstream: Upstream to check.
            owned: Number of own slots in that allocation by upstream.
            limits: Number of own slots that could be used by region.
        """
        own_slots_here = self.own_in_flight[
            upstream.name
        ] / self.requests_per_slot(upstream.region)
        own_slots = self.own_slots_in_use(upstream.region)
        return own_slots_here < owned.get(
            upstream.name, 0
        ) and own_slots < limits.get(upstream.region, 0)

    def load(self, region: str, now_s: float) -> float:
        """Returns the fraction of slots of a region known to be in use."""
        slots = self.region_capacities.get(region, 0)
        used_slots = self.other_requests.peak_in_region(
            region, now_s
        ) + self.own_slots_in_use(region)
        return used_slots / slots if slots else 1.0

    def has_headroom(self, region: str, now_s: float) -> bool:
        """Returns whether one more request leaves the headroom free."""
        slots = self.region_capacities.get(region, 0)
        used_slots = self.other_requests.peak_in_region(
            region, now_s
        ) + self.own_slots_in_use(region)
        return used_slots + 1 <= slots * (
            1 - self.headroom.get(region, 0.0) / 100
        )

    def _may_burst(self, region: str, now_s: float) -> bool:
        """Returns whether short work may briefly exceed the own slots.

        A burst at one entry uses slots that the others leave free. The mean
        over the last second stays below the own slots, so that a region does
        not exceed its capacity on average over any second.
        """
        limit = self.limit(region, now_s)
        own_slots = self.own_slots_in_use(region)
        mean = self.mean_in_flight[region].value(
            now_s
        ) / self.requests_per_slot(region)
        other_requests = self.other_requests.latest_in_region(region)
        burst_capacity = (
            self.settings.burst_region_fraction * self.region_capacities[region]
        )
        return (
            own_slots < self.settings.burst_factor * limit
            and mean < self.settings.burst_mean_fraction * limit
            and other_requests + own_slots + 1 <= burst_capacity
        )

    def _has_free_slot(self, region: str, now_s: float) -> bool:
        """Returns whether the known counts leave a free slot in a region.

        Long requests can outlast the time after which slots change owners.
        """
        used_slots = self.other_requests.peak_in_region(
            region, now_s
        ) + self.own_slots_in_use(region)
        return used_slots + 1 <= self.region_capacities[region]

    def _may_borrow(
        self, region: str, now_s: float, *, has_intent: bool
    ) -> bool:
        """Returns whether this entry may use more slots than it owns."""
        own_slots = self.own_slots_in_use(region)
        if not self._has_free_slot(region, now_s):
            return False
        if own_slots == 0 and (
            region == self.region or has_intent or not self.owned
        ):
            # An entry that has just started, or that owns no slots in the
            # region required by an intent, may run one request at a time.
            # Otherwise a change of routing would refuse requests until slots
            # have changed owners.
            return True
        limit = self.limit(region, now_s) + self.lending[
            region
        ].borrowable_slots(now_s)
        return own_slots < limit

    def acquire(self, upstream: str, region: str) -> _permit.SlotPermit:
        """Counts a request at an upstream until the permit is released."""
        self.own_in_flight[upstream] += 1
        self.adjust_in_flight(region, 1)
        if self.requests_per_slot(region) > 1:
            self._schedule_next_start(region)
        return _permit.SlotPermit(self, upstream, region)

    def adjust_in_flight(self, region: str, delta: int) -> None:
        """Changes the number of requests in flight in a region.

        Args:
            region: Region of the upstream.
            delta: 1 at the start of a request, -1 at its end.
        """
        self.own_in_flight_by_region[region] += delta
        self.mean_in_flight[region].set(
            trio.current_time(), self.own_in_flight_by_region[region]
        )

    def in_flight(self) -> Mapping[str, int]:
        """Returns the number of requests in flight by upstream."""
        return {
            name: count
            for name, count in self.own_in_flight.items()
            if count > 0
        }
