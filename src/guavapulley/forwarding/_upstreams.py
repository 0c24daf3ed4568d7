"""Tracks of all upstreams, kept in line with the fleet state."""

import collections
from collections.abc import Iterator
from collections.abc import Mapping

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley import routing
from guavapulley.forwarding import _settings

# Duration that is assumed before the first exchange of a service.
UNKNOWN_USUAL_S = 0.5
# Bounds the memory of forgotten upstreams.
MAX_FORMER = 200


class Upstreams:
    """Tracks by upstream, and lines and budgets by service.

    Args:
        settings: Bounds that all entries keep together.
        entry: Name of this entry.
        events: Receives changes of belief.

    Attributes:
        tracks: Track of each upstream by its name.
        lines: Requests that wait, by service.
        durations: Usual durations of the exchanges, by service.
        entries_in: Number of entries by failure domain.
        former: Tracks of upstreams that were forgotten, oldest first.
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
        self.entries_in: collections.Counter[str] = collections.Counter()
        self.tracks: dict[str, routing.UpstreamTracker] = {}
        self.by_service: dict[str, list[routing.UpstreamTracker]] = {}
        self.former: dict[str, routing.UpstreamTracker] = {}
        self.typical_loads: dict[tuple[str, str], routing.TypicalLoad] = {}
        self.lines: dict[str, routing.WaitQueue] = {}
        self.budgets: dict[str, routing.RetryBudget] = {}
        self.durations: dict[str, routing.TypicalDurations] = {}

    def follow(self, state: model.FleetState) -> None:
        """Takes a new fleet state."""
        ended = set(self.state.evacuated) - set(state.evacuated)
        self.state = state
        self.entries = tuple(node.name for node in state.nodes)
        self.entries_in = collections.Counter(
            node.failure_domain for node in state.nodes
        )
        policies = {item.name: item for item in state.routing.services}
        known = {record.upstream for record in state.upstreams}
        former: dict[model.NodeAddress, str] = {}
        for name in [name for name in self.tracks if name not in known]:
            track = self.tracks.pop(name)
            record = track.record
            former[record.address] = name
            self.former[name] = track
            self.events.write(
                "upstream:forgotten", upstream=name, service=record.service
            )
        while len(self.former) > MAX_FORMER:
            del self.former[next(iter(self.former))]
        for record in state.upstreams:
            self._follow_upstream(record, policies.get(record.service), former)
        for track in self.tracks.values():
            if track.record.failure_domain in ended:
                self._assume_cold(track, policies.get(track.record.service))
        self.by_service = {}
        for track in self.tracks.values():
            self.by_service.setdefault(track.record.service, []).append(track)
        for line in self.lines.values():
            line.dispatch()

    def _follow_upstream(
        self,
        record: model.UpstreamRecord,
        policy: model.ServicePolicy | None,
        former: Mapping[model.NodeAddress, str],
    ) -> None:
        track = self.tracks.get(record.upstream) or self._former(record)
        if (
            track is None
            or track.record.incarnation != record.incarnation
            or track.record.address != record.address
        ):
            near = (record.service, record.region)
            track = routing.UpstreamTracker(
                record,
                typical_load=self.typical_loads.setdefault(
                    near, routing.TypicalLoad()
                ),
            )
            self.tracks[record.upstream] = track
            self.events.write(
                "upstream:learned",
                upstream=record.upstream,
                incarnation=record.incarnation,
                service=record.service,
                address=str(record.address),
                address_before=former.get(record.address),
                state=record.state.value,
                cold_s=record.cold_s,
            )
            news = True
        else:
            news = track.record != record
            track.record = record
            if news:
                self.events.write(
                    "upstream:changed",
                    upstream=record.upstream,
                    state=record.state.value,
                    cold_s=record.cold_s,
                )
        if news:
            # News of another kind must not end an assumed cold time early.
            until_s = trio.current_time() + record.cold_s
            track.cold_until_s = max(track.cold_until_s, until_s)
        if track.cold_budget is None and policy is not None:
            rate = routing.max_cold_rate_per_s(
                policy, self.settings.cold_factor, self.settings.cold_slack
            )
            if rate is not None:
                track.cold_budget = routing.ColdBudget(record.upstream, rate)

    def _former(
        self, record: model.UpstreamRecord
    ) -> routing.UpstreamTracker | None:
        """Returns what was known of a start that was forgotten meanwhile.

        Its requests in flight and its cold requests still count.
        """
        track = self.former.pop(record.upstream, None)
        if track is None or track.record.incarnation != record.incarnation:
            return None
        self.tracks[record.upstream] = track
        return track

    def _assume_cold(
        self, track: routing.UpstreamTracker, policy: model.ServicePolicy | None
    ) -> None:
        """An upstream may have become cold while its domain was evacuated."""
        if policy is not None:
            until_s = trio.current_time() + policy.cold_start_s
            track.cold_until_s = max(track.cold_until_s, until_s)

    def note_trust(self, track: routing.UpstreamTracker) -> None:
        """Reports an upstream that begins or ends to be avoided."""
        suspicion = track.reason_to_avoid()
        if suspicion == track.avoidance_reason:
            return
        track.avoidance_reason = suspicion
        found = {
            "upstream": track.record.upstream,
            "failures": round(track.current_failure_fraction(), 2),
            "speed": round(track.duration_factor(), 2),
        }
        if suspicion is None:
            self.events.write("upstream:trusted", **found)
        else:
            self.events.write("upstream:avoided", reason=suspicion, **found)

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the moment, by service."""
        found: dict[str, float] = {}
        for service, tracks in self.by_service.items():
            found[f"upstream_slots.{service}"] = sum(
                track.record.slots for track in tracks
            )
            found[f"upstream_requests.{service}"] = sum(
                track.in_flight for track in tracks
            )
            found[f"requests_waiting.{service}"] = len(
                self.line(service).waiters
            )
            found[f"repeats_left.{service}"] = self.budget(service).remaining(
                len(self.entries)
            )
            found[f"cold_requests_per_second.{service}"] = sum(
                track.cold_budget.sent.value()
                for track in tracks
                if track.cold_budget
            )
        return found

    def line(self, service: str) -> routing.WaitQueue:
        """Returns the line of a service."""
        return self.lines.setdefault(service, routing.WaitQueue())

    def budget(self, service: str) -> routing.RetryBudget:
        """Returns the retry budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = routing.RetryBudget(
                self.settings.retry_ratio,
                self.settings.retry_slack,
                self.settings.retry_window_s,
            )
        return self.budgets[service]

    def eligible(
        self, service: str, regions: tuple[str, ...], tried: set[str]
    ) -> Iterator[routing.UpstreamTracker]:
        """Yields the upstreams that may get a request now.

        Args:
            service: Service asked for.
            regions: Allowed regions; empty for all.
            tried: Upstreams that have failed the request.
        """
        return (
            track
            for track in self.by_service.get(service, ())
            if self._exclusion(track, regions, tried) is None
        )

    def exclusions(
        self,
        service: str,
        regions: tuple[str, ...],
        tried: set[str],
        reached: list[routing.UpstreamTracker],
    ) -> dict[str, int]:
        """Returns how many upstreams each reason excludes, to explain it.

        Args:
            service: Service asked for.
            regions: Allowed regions; empty for all.
            tried: Upstreams that have failed the request.
            reached: Upstreams within reach, of which none had room.
        """
        reasons = (
            self._exclusion(track, regions, tried)
            or ("full" if track in reached else "other region")
            for track in self.by_service.get(service, ())
        )
        return dict(collections.Counter(reasons))

    def _exclusion(
        self,
        track: routing.UpstreamTracker,
        regions: tuple[str, ...],
        tried: set[str],
    ) -> str | None:
        """Returns why an upstream may not get a request, or None."""
        record = track.record
        if record.upstream in tried:
            return "tried"
        obstacle = track.unavailable_reason()
        if obstacle is not None:
            return obstacle
        if record.failure_domain in self.state.evacuated:
            return "evacuated"
        if regions and record.region not in regions:
            return "region"
        return None if self._has_cold_room(track) else "cold"

    def _has_cold_room(self, track: routing.UpstreamTracker) -> bool:
        if track.cold_budget is None or not track.is_cold():
            return True
        return track.cold_budget.can_send(self.entry, self.entries)

    def expected_wait_s(self, service: str, priority: int) -> float:
        """Returns how long a new request of a rank would wait, in seconds."""
        running = sum(
            track.in_flight for track in self.by_service.get(service, ())
        )
        return self.line(service).expected_wait_s(
            priority, running, self.usual_s(service)
        )

    def usual_s(self, service: str) -> float:
        """Returns the usual duration of a service's exchanges, in seconds."""
        usual_s = self.durations_of(service).overall_s
        return UNKNOWN_USUAL_S if usual_s is None else usual_s

    def durations_of(self, service: str) -> routing.TypicalDurations:
        """Returns the usual durations of a service's exchanges."""
        return self.durations.setdefault(service, routing.TypicalDurations())
