"""Room at an upstream for a request, at once or after a wait."""

import trio

from guavapulley import routing
from guavapulley.forwarding import _journey
from guavapulley.forwarding import _reach
from guavapulley.forwarding import _upstreams

# Part of the target within which a refusal does not hold the caller up.
PROMPT_PART = 0.12


class Placer:
    """Reserves upstreams for the requests of one entry.

    Args:
        upstreams: Tracks and lines.
        place: Where this entry runs.
        chooser: Policy of the choice among upstreams within reach.
    """

    def __init__(
        self,
        upstreams: _upstreams.Upstreams,
        place: routing.Location,
        chooser: routing.PlacementPolicy,
    ) -> None:
        self.upstreams = upstreams
        self.place = place
        self.reach = _reach.Reach(upstreams, place)
        self.chooser = chooser

    async def reserved(
        self, journey: _journey.Journey
    ) -> routing.UpstreamTracker | None:
        """Reserves an upstream, waiting for room if that is worthwhile."""
        line = self.upstreams.line(journey.service)

        def choose() -> routing.UpstreamTracker | None:
            return self._choose(journey)

        if not line.waiters:
            track = choose()
            if track is not None:
                track.in_flight += 1
                return track
        limit_s = self._longest_wait_s(journey)
        expected_s = self.upstreams.expected_wait_s(
            journey.service, journey.route.priority
        )
        if expected_s > limit_s:
            return None
        ticket = routing.Waiter(
            journey.route.priority, journey.arrived_s, choose
        )
        line.enqueue(ticket)
        entered_s = trio.current_time()
        try:
            with trio.move_on_after(limit_s):
                await ticket.assigned.wait()
        except trio.Cancelled:
            if ticket.tracker is not None:
                self.release(ticket.tracker)
            raise
        finally:
            line.discard(ticket)
            journey.waited_s += trio.current_time() - entered_s
        return ticket.tracker

    def _longest_wait_s(self, journey: _journey.Journey) -> float:
        """Returns how long it is worthwhile to wait for room, in seconds."""
        usual_s = self.upstreams.usual_s(journey.service)
        target_s = journey.route.target_latency_s or journey.route.timeout_s
        now_s = trio.current_time()
        in_time_s = journey.arrived_s + target_s - usual_s - now_s
        # A request that an upstream refused has waited before.
        prompt_s = max(0.0, target_s * PROMPT_PART - journey.waited_s)
        return max(
            0.0,
            min(max(in_time_s, prompt_s), journey.give_up_s - now_s - prompt_s),
        )

    def _choose(
        self, journey: _journey.Journey
    ) -> routing.UpstreamTracker | None:
        key = journey.affinity_key()
        candidates = self.within_reach(journey)
        journey.candidates = len(candidates)
        track = self.chooser.choose(
            routing.PlacementContext(
                candidates,
                self.place,
                key,
                self.reach.objects[journey.service].count(),
                self.reach.home_orders[journey.service].region_wide,
            )
        )
        if (
            track is not None
            and track.cold_budget is not None
            and track.is_cold()
        ):
            track.cold_budget.record_send()
        return track

    def within_reach(
        self, journey: _journey.Journey
    ) -> list[routing.UpstreamTracker]:
        """Returns the upstreams that may get a request if they have room."""
        eligible = self.upstreams.eligible(
            journey.service, journey.route.regions, journey.tried
        )
        return self.reach.within(
            journey.service,
            journey.affinity_key() or journey.facts.request_id,
            list(eligible),
        )

    def release(self, track: routing.UpstreamTracker) -> None:
        """Gives the room of a request back to those that wait."""
        track.in_flight -= 1
        line = self.upstreams.line(track.record.service)
        line.dispatch()
