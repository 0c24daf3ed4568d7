"""Reservation of an upstream for a request, at once or after a wait."""

import trio

from guavapulley import routing
from guavapulley.forwarding import _context
from guavapulley.forwarding import _region_selector
from guavapulley.forwarding import _registry
from guavapulley.forwarding import _stop

# Fraction of the target latency within which a refusal does not delay the
# caller noticeably.
PROMPT_FRACTION = 0.12


class Placer:
    """Reserves upstreams for the requests of one entry.

    Args:
        registry: Trackers and wait queues.
        location: Where this entry runs.
        policy: Chooses among the candidate upstreams.

    Attributes:
        stop_schedule: Schedule of the planned stop; None while there is none.
    """

    def __init__(
        self,
        registry: _registry.UpstreamRegistry,
        location: routing.Location,
        policy: routing.PlacementPolicy,
    ) -> None:
        self.registry = registry
        self.location = location
        self.region_selector = _region_selector.RegionSelector(
            registry, location
        )
        self.policy = policy
        self.stop_schedule: _stop.StopSchedule | None = None

    def may_begin(self, deadline_at_s: float) -> bool:
        """Returns whether a request may be sent to an upstream now.

        Args:
            deadline_at_s: Deadline of the request, on trio's clock.
        """
        return self.stop_schedule is None or self.stop_schedule.may_begin(
            trio.current_time(), deadline_at_s
        )

    def dismiss_futile(self) -> None:
        """Ends the waits of requests that are not begun any more."""
        for queue in self.registry.queues.values():
            queue.dismiss_futile()

    async def reserve(
        self, context: _context.RequestContext
    ) -> routing.UpstreamTracker | None:
        """Reserves an upstream, waiting for capacity if that is worthwhile.

        Args:
            context: The request.

        Returns:
            The upstream, or None if none became available in time.
        """
        queue = self.registry.queue(context.service)

        def choose() -> routing.UpstreamTracker | None:
            if not self.may_begin(context.deadline_at_s):
                return None
            return self._choose(context)

        def is_futile() -> bool:
            return (
                not self.may_begin(context.deadline_at_s)
                or self.refusal_s(context) is not None
            )

        if not queue.waiters:
            tracker = choose()
            if tracker is not None:
                tracker.in_flight += 1
                return tracker
        if is_futile():
            return None
        max_wait_s = self._max_wait_s(context)
        expected_s = self.registry.expected_wait_s(
            context.service, context.route.priority
        )
        if expected_s > max_wait_s:
            return None
        waiter = routing.Waiter(
            context.route.priority,
            context.arrived_s,
            choose,
            is_futile,
        )
        queue.enqueue(waiter)
        enqueued_s = trio.current_time()
        try:
            with trio.move_on_after(max_wait_s):
                await waiter.decided.wait()
        except trio.Cancelled:
            if waiter.tracker is not None:
                self.release(waiter.tracker)
            raise
        finally:
            queue.discard(waiter)
            context.waited_s += trio.current_time() - enqueued_s
        return waiter.tracker

    def refusal_s(self, context: _context.RequestContext) -> float | None:
        """Returns the seconds until an upstream stops refusing requests.

        Returns:
            The time, or None unless all that could serve the request refuse.
        """
        return self.registry.refusal_s(
            context.service, context.route.regions, context.tried
        )

    def _max_wait_s(self, context: _context.RequestContext) -> float:
        """Returns the longest worthwhile wait for capacity, in seconds."""
        typical_duration_s = self.registry.typical_duration_s(context.service)
        target_s = context.route.target_latency_s or context.route.timeout_s
        now_s = trio.current_time()
        on_time_wait_s = (
            context.arrived_s + target_s - typical_duration_s - now_s
        )
        # A request that an upstream refused may have waited here before.
        prompt_wait_s = max(0.0, target_s * PROMPT_FRACTION - context.waited_s)
        return max(
            0.0,
            min(
                max(on_time_wait_s, prompt_wait_s),
                context.deadline_at_s - now_s - prompt_wait_s,
            ),
        )

    def _choose(
        self, context: _context.RequestContext
    ) -> routing.UpstreamTracker | None:
        key = context.affinity_key()
        candidates = self.find_candidates(context)
        context.candidate_count = len(candidates)
        tracker = self.policy.choose(
            routing.PlacementContext(
                candidates,
                self.location,
                key,
                self.region_selector.working_sets[context.service].count(),
                self.region_selector.affinity_scopes[
                    context.service
                ].region_wide,
            )
        )
        if (
            tracker is not None
            and tracker.cold_budget is not None
            and tracker.is_cold(trio.current_time())
        ):
            tracker.cold_budget.record_send()
        return tracker

    def find_candidates(
        self, context: _context.RequestContext
    ) -> list[routing.UpstreamTracker]:
        """Returns the upstreams that may receive a request.

        They include full ones.
        """
        eligible = self.registry.eligible(
            context.service, context.route.regions, context.tried
        )
        return self.region_selector.select(
            context.service,
            context.affinity_key() or context.metadata.request_id,
            list(eligible),
        )

    def release(self, tracker: routing.UpstreamTracker) -> None:
        """Releases a reservation and dispatches waiting requests."""
        tracker.in_flight -= 1
        queue = self.registry.queue(tracker.record.service)
        queue.dispatch()
