"""Trackers of all upstreams, kept consistent with the fleet state."""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
import math

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley import routing
from guavapulley.forwarding import _settings

# Assumed before the first exchange with a service.
DEFAULT_DURATION_S = 0.5
# Bounds the memory used for removed upstreams.
MAX_REMOVED = 1_000


class UpstreamRegistry:
    """Trackers by upstream, and wait queues and retry budgets by service.

    Args:
        settings: Limits that all entries enforce together.
        entry: Name of this entry.
        events: Log of changes to trackers.

    Attributes:
        state: The current fleet state.
        entries: Names of all entries.
        entries_by_domain: Number of entries by failure domain.
        trackers: Trackers by the name of the upstream.
        by_service: Trackers by service.
        removed: Trackers of upstreams that left the fleet state, oldest first.
        typical_loads: Typical load by service and region.
        queues: Wait queues by service.
        retry_budgets: Retry budgets by service.
        durations: Typical durations of exchanges, by service.
    """

    def __init__(
        self,
        settings: _settings.ForwardingSettings,
        entry: str,
        events: ports.EventLog,
    ) -> None:
        self.settings = settings
        self.entry = entry
        self.events = events
        self.state = model.FleetState()
        self.entries: tuple[str, ...] = ()
        self.entries_by_domain: collections.Counter[str] = collections.Counter()
        self.trackers: dict[str, routing.UpstreamTracker] = {}
        self.by_service: dict[str, list[routing.UpstreamTracker]] = {}
        self.removed: dict[str, routing.UpstreamTracker] = {}
        self.typical_loads: dict[tuple[str, str], routing.TypicalLoad] = {}
        self.queues: dict[str, routing.WaitQueue] = {}
        self.retry_budgets: dict[str, routing.RetryBudget] = {}
        self.durations: dict[str, routing.TypicalDurations] = {}

    def apply_state(self, state: model.FleetState) -> None:
        """Applies a new fleet state."""
        restored_domains = set(self.state.evacuated) - set(state.evacuated)
        if state.nodes is not self.state.nodes:
            self.entries = tuple(node.name for node in state.nodes)
            self.entries_by_domain = collections.Counter(
                node.failure_domain for node in state.nodes
            )
        policies_changed = (
            state.routing.services is not self.state.routing.services
        )
        self.state = state
        policies = {service.name: service for service in state.routing.services}
        listed = {record.upstream for record in state.upstreams}
        names_by_address: dict[model.NodeAddress, str] = {}
        for name in [name for name in self.trackers if name not in listed]:
            tracker = self.trackers.pop(name)
            record = tracker.record
            names_by_address[record.address] = name
            self.removed[name] = tracker
            self.events.write(
                "upstream:forgotten", upstream=name, service=record.service
            )
        while len(self.removed) > MAX_REMOVED:
            del self.removed[next(iter(self.removed))]
        for record in state.upstreams:
            known = self.trackers.get(record.upstream)
            if known and known.record is record and not policies_changed:
                continue
            self._apply_record(
                record, policies.get(record.service), names_by_address
            )
        for tracker in self.trackers.values():
            if tracker.record.failure_domain in restored_domains:
                self._assume_cold(tracker, policies.get(tracker.record.service))
        self.by_service = {}
        for tracker in self.trackers.values():
            self.by_service.setdefault(tracker.record.service, []).append(
                tracker
            )
        for queue in self.queues.values():
            queue.dispatch()

    def _apply_record(
        self,
        record: model.UpstreamRecord,
        policy: model.ServicePolicy | None,
        names_by_address: Mapping[model.NodeAddress, str],
    ) -> None:
        known = self.trackers.get(record.upstream) or self._restore(record)
        tracker = known
        if (
            tracker is None
            or tracker.record.incarnation != record.incarnation
            or tracker.record.address != record.address
        ):
            load_key = (record.service, record.region)
            tracker = routing.UpstreamTracker(
                record,
                typical_load=self.typical_loads.setdefault(
                    load_key, routing.TypicalLoad()
                ),
            )
            if known and known.record.incarnation == record.incarnation:
                tracker.leaving = known.leaving
                tracker.refused_until_s = known.refused_until_s
            self.trackers[record.upstream] = tracker
            self.events.write(
                "upstream:learned",
                upstream=record.upstream,
                incarnation=record.incarnation,
                service=record.service,
                address=str(record.address),
                address_before=names_by_address.get(record.address),
                state=record.state.value,
                cold_s=record.cold_s,
            )
            changed = True
        else:
            changed = tracker.record != record
            tracker.record = record
            if changed:
                self.events.write(
                    "upstream:changed",
                    upstream=record.upstream,
                    state=record.state.value,
                    cold_s=record.cold_s,
                )
        if changed:
            # Other changes of the record must not shorten an assumed cold
            # period.
            until_s = trio.current_time() + record.cold_s
            tracker.cold_until_s = max(tracker.cold_until_s, until_s)
        if tracker.cold_budget is None and policy is not None:
            rate = routing.max_cold_rate_per_s(
                policy, self.settings.cold_factor, self.settings.cold_slack
            )
            if rate is not None:
                tracker.cold_budget = routing.ColdBudget(record.upstream, rate)

    def _restore(
        self, record: model.UpstreamRecord
    ) -> routing.UpstreamTracker | None:
        """Restores the tracker of an upstream that had left the fleet state.

        Its requests in flight and the requests sent while it was cold still
        count.

        Returns:
            The tracker, or None if there is none for this incarnation.
        """
        tracker = self.removed.pop(record.upstream, None)
        if tracker is None or tracker.record.incarnation != record.incarnation:
            return None
        self.trackers[record.upstream] = tracker
        return tracker

    def _assume_cold(
        self,
        tracker: routing.UpstreamTracker,
        policy: model.ServicePolicy | None,
    ) -> None:
        """Marks an upstream as cold after an evacuation.

        It may have become cold while its domain was evacuated.
        """
        if policy is not None:
            until_s = trio.current_time() + policy.cold_start_s
            tracker.cold_until_s = max(tracker.cold_until_s, until_s)

    def report_avoidance(self, tracker: routing.UpstreamTracker) -> None:
        """Logs when an upstream starts or stops being avoided."""
        now_s = trio.current_time()
        reason = tracker.reason_to_avoid(now_s)
        if reason == tracker.avoidance_reason:
            return
        tracker.avoidance_reason = reason
        fields = {
            "upstream": tracker.record.upstream,
            "failures": round(tracker.current_failure_fraction(now_s), 2),
            "speed": round(tracker.duration_factor(now_s), 2),
        }
        if reason is None:
            self.events.write("upstream:trusted", **fields)
        else:
            self.events.write("upstream:avoided", reason=reason, **fields)

    def gauges(self) -> dict[str, float]:
        """Returns the current values of the gauges, by service."""
        gauges: dict[str, float] = {}
        for service, trackers in self.by_service.items():
            gauges[f"upstream_slots.{service}"] = sum(
                tracker.record.slots for tracker in trackers
            )
            gauges[f"upstream_requests.{service}"] = sum(
                tracker.in_flight for tracker in trackers
            )
            gauges[f"requests_waiting.{service}"] = len(
                self.queue(service).waiters
            )
            gauges[f"repeats_left.{service}"] = self.retry_budget(
                service
            ).remaining(len(self.entries))
            gauges[f"cold_requests_per_second.{service}"] = sum(
                tracker.cold_budget.sent.value()
                for tracker in trackers
                if tracker.cold_budget
            )
        return gauges

    def queue(self, service: str) -> routing.WaitQueue:
        """Returns the wait queue of a service."""
        return self.queues.setdefault(service, routing.WaitQueue())

    def retry_budget(self, service: str) -> routing.RetryBudget:
        """Returns the retry budget of a service."""
        if service not in self.retry_budgets:
            self.retry_budgets[service] = routing.RetryBudget(
                self.settings.retry_ratio,
                self.settings.retry_slack,
                self.settings.retry_window_s,
            )
        return self.retry_budgets[service]

    def eligible(
        self, service: str, regions: tuple[str, ...], tried: set[str]
    ) -> Iterator[routing.UpstreamTracker]:
        """Yields the upstreams that may receive a request now.

        Args:
            service: Requested service.
            regions: Allowed regions; empty for all.
            tried: Upstreams that have failed the request.
        """
        now_s = trio.current_time()
        return (
            tracker
            for tracker in self.by_service.get(service, ())
            if self._exclusion_reason(tracker, regions, tried, now_s) is None
        )

    def exclusions(
        self,
        service: str,
        regions: tuple[str, ...],
        tried: set[str],
        candidates: list[routing.UpstreamTracker],
    ) -> dict[str, int]:
        """Returns the number of excluded upstreams by reason, for the log.

        Args:
            service: Requested service.
            regions: Allowed regions; empty for all.
            tried: Upstreams that have failed the request.
            candidates: Candidate upstreams, none of which had capacity.
        """
        now_s = trio.current_time()
        reasons = (
            self._exclusion_reason(tracker, regions, tried, now_s)
            or ("full" if tracker in candidates else "other region")
            for tracker in self.by_service.get(service, ())
        )
        return dict(collections.Counter(reasons))

    def _exclusion_reason(
        self,
        tracker: routing.UpstreamTracker,
        regions: tuple[str, ...],
        tried: set[str],
        now_s: float,
    ) -> str | None:
        """Returns why an upstream may not receive a request, or None."""
        record = tracker.record
        if record.upstream in tried:
            return "tried"
        unavailable = tracker.unavailable_reason(now_s)
        if unavailable is not None:
            return unavailable
        forbidden = self._forbidden_reason(record, regions)
        if forbidden is not None:
            return forbidden
        return None if self._allows_cold_request(tracker, now_s) else "cold"

    def _forbidden_reason(
        self, record: model.UpstreamRecord, regions: tuple[str, ...]
    ) -> str | None:
        """Returns why operators forbid an upstream, or None if they do not."""
        if record.failure_domain in self.state.evacuated:
            return "evacuated"
        if regions and record.region not in regions:
            return "region"
        return None

    def is_available(self, tracker: routing.UpstreamTracker) -> bool:
        """Returns whether a request that was placed at it may still be sent."""
        record = tracker.record
        return (
            self.trackers.get(record.upstream) is tracker
            and tracker.unavailable_reason(trio.current_time()) is None
            and record.failure_domain not in self.state.evacuated
        )

    def refusal_s(
        self, service: str, regions: tuple[str, ...], tried: set[str]
    ) -> float | None:
        """Returns the seconds until the first refusing upstream returns.

        Args:
            service: Requested service.
            regions: Allowed regions; empty for all.
            tried: Upstreams that have failed the request.

        Returns:
            The time, or None if no upstream refuses requests or another one may
            receive the request.
        """
        now_s = trio.current_time()
        soonest_s = math.inf
        for tracker in self.by_service.get(service, ()):
            reason = self._exclusion_reason(tracker, regions, tried, now_s)
            if reason is None or reason == "cold":
                return None
            if (
                tracker.unavailable_reason(now_s) == routing.REFUSING
                and self._forbidden_reason(tracker.record, regions) is None
            ):
                soonest_s = min(soonest_s, tracker.refused_until_s)
        return soonest_s - now_s if math.isfinite(soonest_s) else None

    def _allows_cold_request(
        self, tracker: routing.UpstreamTracker, now_s: float
    ) -> bool:
        if tracker.cold_budget is None or not tracker.is_cold(now_s):
            return True
        return tracker.cold_budget.can_send(self.entry, self.entries)

    def expected_wait_s(self, service: str, priority: int) -> float:
        """Returns the expected wait of a new request in seconds.

        Args:
            service: Requested service.
            priority: Priority of the request.
        """
        running = sum(
            tracker.in_flight for tracker in self.by_service.get(service, ())
        )
        return self.queue(service).expected_wait_s(
            priority, running, self.typical_duration_s(service)
        )

    def typical_duration_s(self, service: str) -> float:
        """Returns the typical duration of an exchange in seconds."""
        duration_s = self.typical_durations(service).overall_s
        return DEFAULT_DURATION_S if duration_s is None else duration_s

    def typical_durations(self, service: str) -> routing.TypicalDurations:
        """Returns the typical durations of a service's exchanges."""
        return self.durations.setdefault(service, routing.TypicalDurations())
