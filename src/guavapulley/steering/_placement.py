"""Admission control and queues of requests that wait for an upstream."""

import collections
from collections.abc import Iterator
import contextlib
import random as random_module

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.steering import _choice
from guavapulley.steering import _errors
from guavapulley.steering import _handover
from guavapulley.steering import _links
from guavapulley.steering import _services
from guavapulley.steering import _settings

# Exclusion reasons that can cease to apply while a request waits.
_TRANSIENT_REASONS = {
    "slots",
    "headroom",
    "link share",
    "nearer region",
    "probation",
    "probation:probe running",
}
_REASON_CODES = {
    "headroom": _errors.REGION_LIMIT,
    "link share": _errors.LINK_CAP,
}


class Placement:
    """Assigns upstreams to the requests of one entry in order of arrival."""

    def __init__(
        self,
        view: ports.SteeringView,
        region: str,
        random: random_module.Random,
        settings: _settings.SteeringSettings,
        links: _links.LinkShares | None,
    ) -> None:
        self.view = view
        self.region = region
        self.random = random
        self.settings = settings
        self.links = links
        self.admitted_requests: collections.Counter[model.TrafficClass] = (
            collections.Counter()
        )

    @contextlib.contextmanager
    def admit(self, service: model.Service) -> Iterator[None]:
        """Counts a request of a traffic class while it is in the entry.

        Args:
            service: Requested service.

        Raises:
            SteeringError: The entry has reached its limit of requests of the
                traffic class.
        """
        kind = service.traffic_class
        if self.admitted_requests[kind] >= self.settings.admission_limits[kind]:
            raise _errors.SteeringError(
                _errors.OVERLOADED,
                f"the entry has reached its limit of {kind} requests",
                not_run=True,
            )
        self.admitted_requests[kind] += 1
        try:
            yield
        finally:
            self.admitted_requests[kind] -= 1

    async def wait_for_upstream(
        self, pending: _choice.PendingRequest, time_limit_s: float
    ) -> _choice.Choice:
        """Waits for an upstream with a free slot, in order of arrival.

        Args:
            pending: Request to place.
            time_limit_s: Time from the arrival to the deadline, in seconds.

        Returns:
            The chosen upstream and the permit for its slot.

        Raises:
            SteeringError: No upstream can become available, or not in time.
        """
        queue = pending.state.request_queue(pending.decision.intent)
        if queue.waiting == 0 or pending.tried_upstreams:
            choice = self.choose(pending)
            if choice is not None:
                return choice
        kind = pending.state.service.traffic_class
        waited_s = trio.current_time() - pending.arrived_s
        # The maximum counts from the arrival, so that a retry does not get the
        # whole waiting time again.
        max_wait_s = (
            self.settings.max_wait_fractions[kind] * time_limit_s - waited_s
        )
        self._check_expected_wait(
            pending, queue.waiting, time_limit_s, max_wait_s
        )
        queue.waiting += 1
        try:
            with trio.move_on_after(max(0.0, max_wait_s)):
                return await self._wait_in_queue(pending, queue)
        finally:
            queue.waiting -= 1
        raise self.timeout_error(pending, _errors.OVERLOADED)

    async def _wait_in_queue(
        self, pending: _choice.PendingRequest, queue: _services.RequestQueue
    ) -> _choice.Choice:
        async with queue.lock:
            while True:
                choice = self.choose(pending)
                if choice is not None:
                    return choice
                with trio.move_on_after(self.settings.recheck_interval_s):
                    await pending.state.slot_released.wait()

    def _check_expected_wait(
        self,
        pending: _choice.PendingRequest,
        queued_ahead: int,
        time_limit_s: float,
        max_wait_s: float,
    ) -> None:
        """Raises an error if the expected wait leaves too little time."""
        wait_s = pending.state.expected_wait_s(queued_ahead)
        expected_duration_s = wait_s + pending.state.mean_duration_s
        remaining_s = pending.arrived_s + time_limit_s - trio.current_time()
        if expected_duration_s >= remaining_s or wait_s > max_wait_s:
            raise _errors.SteeringError(
                _errors.OVERLOADED,
                f"{queued_ahead} requests are queued; the expected wait is "
                f"{wait_s:.3f} s with {remaining_s:.3f} s to the deadline",
                not_run=not pending.may_have_run,
            )

    def choose(self, pending: _choice.PendingRequest) -> _choice.Choice | None:
        """Chooses an upstream without waiting.

        Returns:
            The choice, or None if an upstream may become available later.

        Raises:
            SteeringError: No upstream can become available by waiting.
        """
        pending.state.refresh()
        choice = self._choose(pending, None) or self._choose_previous(pending)
        if choice is not None:
            choice.permit.on_release = pending.state.notify_waiters
            return choice
        reasons = {e.reason for e in pending.decision.exclusions}
        if reasons & _TRANSIENT_REASONS:
            return None
        raise _errors.SteeringError(
            _errors.NO_UPSTREAM,
            f"no upstream of service {pending.request.service} is eligible",
            not_run=not pending.may_have_run,
            reasons=sorted(reasons),
        )

    def _choose(
        self,
        pending: _choice.PendingRequest,
        previous_routing: _handover.PreviousRouting | None,
    ) -> _choice.Choice | None:
        context = _choice.ChoiceContext(
            pending,
            trio.current_time(),
            self.region,
            self.view.is_detached(),
            self.links,
            previous_routing=previous_routing,
        )
        return _choice.choose(context, self.random)

    def _choose_previous(
        self, pending: _choice.PendingRequest
    ) -> _choice.Choice | None:
        """Chooses by the previous routing while slots change owners."""
        previous_routing = pending.state.previous_routing(trio.current_time())
        is_bulk = pending.state.service.traffic_class is model.TrafficClass.BULK
        # Bulk work can wait for the new slots, and would occupy the old ones
        # for long.
        if previous_routing is None or is_bulk:
            return None
        decision = pending.decision
        candidates, exclusions = decision.candidates, decision.exclusions
        choice = self._choose(pending, previous_routing)
        if choice is None:
            # The decision explains the routing under the configuration in
            # force.
            decision.candidates, decision.exclusions = candidates, exclusions
        return choice

    def timeout_error(
        self,
        pending: _choice.PendingRequest,
        code: str = _errors.DEADLINE_EXCEEDED,
    ) -> _errors.SteeringError:
        """Returns the error for a request that ran out of time.

        Args:
            pending: Request that ran out of time.
            code: Error code to use unless the limit of a region or link is the
                reason.
        """
        reasons = {e.reason for e in pending.decision.exclusions}
        if not pending.may_have_run and not pending.decision.candidates:
            for reason, reason_code in _REASON_CODES.items():
                if reason in reasons and "slots" not in reasons:
                    code = reason_code
        return _errors.SteeringError(
            code,
            "no upstream answered or became available in time",
            not_run=not pending.may_have_run,
            reasons=sorted(reasons),
        )
