"""Admission of requests, their queues, and the wait for an upstream."""

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

# Reasons that end while a request waits.
_WAITABLE = {
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
    """Finds upstreams for the requests of one entry, in order of arrival."""

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
        self.in_entry: collections.Counter[model.TrafficClass] = (
            collections.Counter()
        )

    @contextlib.contextmanager
    def admitted(self, service: model.Service) -> Iterator[None]:
        """Counts a request of a traffic class while it is in the entry."""
        kind = service.traffic_class
        if self.in_entry[kind] >= self.settings.admission_limits[kind]:
            raise _errors.SteeringError(
                _errors.OVERLOADED,
                f"the entry holds its limit of {kind} requests",
                not_run=True,
            )
        self.in_entry[kind] += 1
        try:
            yield
        finally:
            self.in_entry[kind] -= 1

    async def placed(
        self, work: _choice.Work, limit_s: float
    ) -> _choice.Choice:
        """Waits for an upstream with a free slot, in order of arrival."""
        lane = work.state.lane(work.decision.intent)
        if lane.waiting == 0 or work.tried:
            choice = self.choose(work)
            if choice is not None:
                return choice
        kind = work.state.service.traffic_class
        waited_s = trio.current_time() - work.arrived_s
        # Counted from the arrival, so that retries do not wait again.
        longest_s = self.settings.max_wait_parts[kind] * limit_s - waited_s
        self._refuse_early(work, lane.waiting, limit_s, longest_s)
        lane.waiting += 1
        try:
            with trio.move_on_after(max(0.0, longest_s)):
                return await self._turn(work, lane)
        finally:
            lane.waiting -= 1
        raise self.too_late(work, _errors.OVERLOADED)

    async def _turn(
        self, work: _choice.Work, lane: _services.Lane
    ) -> _choice.Choice:
        async with lane.turn:
            while True:
                choice = self.choose(work)
                if choice is not None:
                    return choice
                with trio.move_on_after(self.settings.recheck_s):
                    await work.state.changed.wait()

    def _refuse_early(
        self, work: _choice.Work, ahead: int, limit_s: float, longest_s: float
    ) -> None:
        """Refuses a request that would wait too long to be answered in time."""
        wait_s = work.state.expected_wait_s(ahead)
        needed_s = wait_s + work.state.mean_s
        left_s = work.arrived_s + limit_s - trio.current_time()
        if needed_s >= left_s or wait_s > longest_s:
            raise _errors.SteeringError(
                _errors.OVERLOADED,
                f"{ahead} requests wait; the request would wait "
                f"{wait_s:.3f} s with {left_s:.3f} s left",
                not_run=not work.may_have_run,
            )

    def choose(self, work: _choice.Work) -> _choice.Choice | None:
        """Chooses an upstream, or None when it must be waited for.

        Raises:
            SteeringError: Waiting does not help.
        """
        work.state.refresh()
        choice = self._choose(work, None) or self._choose_previous(work)
        if choice is not None:
            choice.hold.on_release = work.state.wake
            return choice
        reasons = {e.reason for e in work.decision.exclusions}
        if reasons & _WAITABLE:
            return None
        raise _errors.SteeringError(
            _errors.NO_UPSTREAM,
            f"no upstream of {work.request.service} may get the request",
            not_run=not work.may_have_run,
            reasons=sorted(reasons),
        )

    def _choose(
        self,
        work: _choice.Work,
        previous: _handover.PreviousRouting | None,
    ) -> _choice.Choice | None:
        question = _choice.Question(
            work,
            trio.current_time(),
            self.region,
            self.view.detached(),
            self.links,
            previous=previous,
        )
        return _choice.choose(question, self.random)

    def _choose_previous(self, work: _choice.Work) -> _choice.Choice | None:
        """Chooses by the previous routing while slots change hands."""
        previous = work.state.previous_routing(trio.current_time())
        bulk = work.state.service.traffic_class is model.TrafficClass.BULK
        # Bulk work can wait for its new slots, and would hold the old ones.
        if previous is None or bulk:
            return None
        decision = work.decision
        candidates, exclusions = decision.candidates, decision.exclusions
        choice = self._choose(work, previous)
        if choice is None:
            # The reasons under the configuration in force are the answer.
            decision.candidates, decision.exclusions = candidates, exclusions
        return choice

    def too_late(
        self, work: _choice.Work, code: str = _errors.DEADLINE_EXCEEDED
    ) -> _errors.SteeringError:
        """Returns the error of a request that ran out of time.

        Args:
            work: The request.
            code: Code, unless the limit of a region or link was the reason.
        """
        reasons = {e.reason for e in work.decision.exclusions}
        if not work.may_have_run and not work.decision.candidates:
            for reason, reason_code in _REASON_CODES.items():
                if reason in reasons and "slots" not in reasons:
                    code = reason_code
        return _errors.SteeringError(
            code,
            "no upstream was free in time",
            not_run=not work.may_have_run,
            reasons=sorted(reasons),
        )
