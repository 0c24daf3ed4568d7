"""State of a service in an entry: upstreams, slots, latencies and queues."""

from collections.abc import Sequence

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.steering import _budgets
from guavapulley.steering import _catalog
from guavapulley.steering import _handover
from guavapulley.steering import _latency
from guavapulley.steering import _settings
from guavapulley.steering import _slots

# Weight of the newest request in the moving average of request durations.
MEAN_DURATION_WEIGHT = 0.05
# Maximum number of requests in flight for each slot of another region.
MAX_REQUESTS_PER_SLOT = 8.0


class RequestQueue:
    """First-in-first-out queue of the requests with the same intent.

    Attributes:
        lock: Lock whose owner is at the head of the queue.
        waiting: Number of requests in the queue.
    """

    def __init__(self) -> None:
        self.lock = trio.StrictFIFOLock()
        self.waiting = 0


class ServiceState:
    """State of one service in one entry.

    Each refresh compares the objects of the view by identity. A drain or an
    override therefore takes effect on the next decision, while an unchanged
    view causes no work.
    """

    def __init__(
        self,
        service: model.Service,
        view: ports.SteeringView,
        entry: str,
        region: str,
        settings: _settings.SteeringSettings,
    ) -> None:
        self.service = service
        self.view = view
        self.settings = settings
        self.region = region
        self.started_s = trio.current_time()
        self.slots = _slots.SlotAccounting(
            service.name, entry, region, settings
        )
        self.latencies: dict[str, _latency.PeerLatencies] = {}
        self.retry_budget = _budgets.Budget(
            settings.retry_percent, settings.budget_burst, settings.budget_burst
        )
        self.hedge_budget = _budgets.Budget(
            settings.hedge_percent, settings.budget_burst, settings.budget_burst
        )
        self.request_queues: dict[str, RequestQueue] = {}
        self.slot_released = trio.Event()
        self.mean_duration_s = 0.0
        self.upstreams: list[_catalog.LabelledUpstream] = []
        self.applied_configuration: model.Configuration | None = None
        self.applied_upstreams: Sequence[ports.UpstreamObservation] = ()
        self.applied_entries: Sequence[model.EntryRecord] = ()
        self.allocation_key: object = None
        self.previous: _handover.PreviousRouting | None = None

    def refresh(self) -> None:
        """Applies changes of the view and updates the claims."""
        now_s = trio.current_time()
        configuration = self.view.configuration()
        upstreams = self.view.upstreams(self.service.name)
        entries = self.view.live_entries()
        upstreams_changed = (
            configuration is not self.applied_configuration
            or not _same_items(upstreams, self.applied_upstreams)
        )
        entries_changed = not _same_items(entries, self.applied_entries)
        if upstreams_changed:
            self._save_previous_routing(configuration, now_s)
            self.applied_configuration = configuration
            self.applied_upstreams = tuple(upstreams)
            self.upstreams = list(
                _catalog.label_upstreams(upstreams, configuration)
            )
            self._remove_absent_upstreams()
        if entries_changed:
            self.applied_entries = tuple(entries)
        if upstreams_changed or entries_changed:
            self._allocate(configuration, now_s)
            self._update_requests_per_slot()
            self.slots.record_other_counts(
                self.upstreams, self.applied_entries, now_s
            )
        waiting = sum(queue.waiting for queue in self.request_queues.values())
        self.slots.update_claims(waiting, self.mean_duration_s, now_s)

    def _save_previous_routing(
        self, configuration: model.Configuration, now_s: float
    ) -> None:
        """Saves the routing that a new configuration replaces."""
        replaced_configuration = self.applied_configuration
        if (
            replaced_configuration is None
            or replaced_configuration is configuration
        ):
            return
        if self.previous_routing(now_s) is not None:
            # After several changes, only the slots before the first one are
            # certain to belong to this entry.
            return
        self.previous = _handover.PreviousRouting(
            replaced_configuration,
            self.upstreams,
            self.slots.owned.copy(),
            {
                region: self.slots.limit(region, now_s)
                for region in self.slots.quotas
            },
            _handover.handover_end_s(
                now_s, self.slots.settle_s(self.mean_duration_s)
            ),
        )

    def previous_routing(
        self, now_s: float
    ) -> _handover.PreviousRouting | None:
        """Returns the previous routing, or None after its end."""
        if self.previous is not None and now_s >= self.previous.ends_at_s:
            self.previous = None
        return self.previous

    def _allocate(
        self, configuration: model.Configuration, now_s: float
    ) -> None:
        limits = _catalog.region_limits(configuration)
        usable_slots = _catalog.usable_slots(
            self.upstreams,
            self.started_s + self.settings.startup_grace_s,
            self.settings.slow_start_s,
            now_s,
        )
        intents = configuration.intents()
        entry_regions = {e.region for e in self.applied_entries} | {self.region}
        demands = {
            entry_region: _catalog.demand_by_region(
                self.service, entry_region, self.upstreams, intents
            )
            for entry_region in entry_regions
        }
        key = (
            usable_slots,
            [(e.name, e.region) for e in self.applied_entries],
            limits,
            self.service.traffic_class,
            demands,
        )
        if key == self.allocation_key:
            return
        self.allocation_key = key
        self.slots.allocate(
            usable_slots,
            self.applied_entries,
            limits,
            self.service.traffic_class,
            self.mean_duration_s,
            now_s,
            demands,
        )

    def _update_requests_per_slot(self) -> None:
        """Updates how many requests occupy a slot of each other region.

        The network delay is the difference of the low latency quantiles, which
        contain hardly any waiting time.
        """
        local_latencies = self.peer_latencies(self.region)
        if (
            local_latencies.low_quantile_s is None
            or local_latencies.median_s is None
        ):
            return
        self.slots.service_time_s = local_latencies.median_s
        for region, remote_latencies in self.latencies.items():
            if (
                region != self.region
                and remote_latencies.low_quantile_s is not None
            ):
                network_delay_s = max(
                    0.0,
                    remote_latencies.low_quantile_s
                    - local_latencies.low_quantile_s,
                )
                self.slots.remote_requests_per_slot[region] = min(
                    MAX_REQUESTS_PER_SLOT,
                    1 + network_delay_s / local_latencies.median_s,
                )

    def _remove_absent_upstreams(self) -> None:
        for region, peers in self.latencies.items():
            peers.retain_only(
                u.name
                for u in self.upstreams
                if u.region == region or self.slots.own_in_flight[u.name]
            )

    def peer_latencies(self, region: str) -> _latency.PeerLatencies:
        """Returns the latencies of the upstreams in a region.

        Upstreams are compared only within a region, because the network delay
        differs between regions.
        """
        if region not in self.latencies:
            self.latencies[region] = _latency.PeerLatencies(self.settings)
        return self.latencies[region]

    def request_queue(self, intent: str) -> RequestQueue:
        """Returns the queue of an intent.

        Args:
            intent: Name of the intent; empty for the default.
        """
        if intent not in self.request_queues:
            self.request_queues[intent] = RequestQueue()
        return self.request_queues[intent]

    def notify_waiters(self) -> None:
        """Notifies the waiting requests that a slot was released."""
        self.slot_released.set()
        self.slot_released = trio.Event()

    def record_duration(self, duration_s: float) -> None:
        """Records the duration of an answered attempt."""
        if self.mean_duration_s == 0.0:
            self.mean_duration_s = duration_s
        self.mean_duration_s += MEAN_DURATION_WEIGHT * (
            duration_s - self.mean_duration_s
        )

    def expected_wait_s(self, queued_ahead: int) -> float:
        """Returns the expected time in seconds until a request can start.

        Args:
            queued_ahead: Number of requests that wait in front of it.
        """
        running = max(1, sum(self.slots.own_in_flight_by_region.values()))
        return (queued_ahead + 1) * self.mean_duration_s / running


def _same_items(first: Sequence[object], second: Sequence[object]) -> bool:
    return len(first) == len(second) and all(
        a is b for a, b in zip(first, second, strict=True)
    )
