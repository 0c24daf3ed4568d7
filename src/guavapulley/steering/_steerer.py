"""Runs requests: admission, choice of an upstream, attempts, outcome."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import random as random_module
from typing import TypeVar

import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.steering import _catalog
from guavapulley.steering import _choice
from guavapulley.steering import _decisions
from guavapulley.steering import _errors
from guavapulley.steering import _links
from guavapulley.steering import _placement
from guavapulley.steering import _race
from guavapulley.steering import _services
from guavapulley.steering import _settings

T = TypeVar("T")
Attempt = Callable[[model.UpstreamRecord], Awaitable[T]]


class Steerer:
    """Steers the requests of one entry.

    Attributes:
        view: State of the system as the entry knows it.
        entry: Name of the entry.
        region: Region of the entry.
        links: Shares of links; None when no link is limited.
    """

    def __init__(
        self,
        view: ports.SteeringView,
        entry: str,
        region: str,
        events: ports.EventLog,
        metrics: ports.Metrics,
        random: random_module.Random,
        settings: _settings.SteeringSettings | None = None,
        links: _links.LinkShares | None = None,
    ) -> None:
        self.view = view
        self.entry = entry
        self.region = region
        self.events = events
        self.metrics = metrics
        self.random = random
        self.settings = settings or _settings.SteeringSettings()
        self.links = links
        self.services: dict[str, _services.ServiceState] = {}
        self.placement = _placement.Placement(
            view, region, random, self.settings, links
        )
        self.seen_configuration: model.Configuration | None = None
        self.intents: list[model.Intent] = []
        self.history = _decisions.History(self.settings.history)

    async def run(
        self,
        request: model.SteeredRequest,
        service: model.Service,
        attempt: Attempt[T],
    ) -> T:
        """Runs a request and returns the answer of one of its attempts.

        Args:
            request: The request with all its labels.
            service: Its service.
            attempt: Sends the request to an upstream and returns the whole
                answer; for bulk work it returns when the whole stream was
                delivered. It raises `ports.UpstreamError` only while the
                request can still be repeated. Other errors end the request
                and are passed on, except `SteeringError` of code `LINK_CAP`,
                after which other regions are tried.

        Returns:
            What the attempt returned.

        Raises:
            SteeringError: The request was refused, its deadline passed, or
                every attempt failed; `not_run` tells whether it can have
                reached an upstream.
        """
        work = self._work(request, service)
        limit_s = request.deadline_s
        if limit_s is None:
            limit_s = service.deadline_ms / 1000
        try:
            with self.placement.admitted(service), trio.move_on_after(limit_s):
                answer = await self._attempts(work, limit_s, attempt)
                work.decision.outcome = "answered"
                return answer
            raise self.placement.too_late(work)
        except _errors.SteeringError as error:
            work.decision.outcome = error.code
            self.metrics.increment(f"steering.refused.{error.code.lower()}")
            self.events.write(
                "steering:refused",
                request_id=request.request_id,
                service=service.name,
                code=error.code,
                not_run=error.not_run,
            )
            raise

    def explain(self, request_id: str) -> _decisions.Decision | None:
        """Returns why a recent request went where it went."""
        return self.history.get(request_id)

    def in_flight(self) -> dict[str, int]:
        """Returns the own requests in flight by upstream, for gossip."""
        return {
            name: count
            for state in self.services.values()
            for name, count in state.slots.in_flight().items()
        }

    def claims(self) -> dict[str, int]:
        """Returns the claimed slots by `SERVICE/REGION`, for gossip."""
        for service in self.view.configuration().services().values():
            self._state(service)
        now_s = trio.current_time()
        for state in self.services.values():
            state.refresh()
        return {
            f"{name}/{region}": slots
            for name, state in self.services.items()
            for region, slots in state.slots.claims(now_s).items()
        }

    def _work(
        self, request: model.SteeredRequest, service: model.Service
    ) -> _choice.Work:
        state = self._state(service)
        configuration = self.view.configuration()
        if configuration is not self.seen_configuration:
            self.seen_configuration = configuration
            self.intents = configuration.intents()
        intent = _catalog.chosen_intent(request, self.intents)
        decision = _decisions.Decision(
            request.request_id, service.name, intent.name if intent else ""
        )
        self.history.add(decision)
        load = state.slots.load(self.region, trio.current_time())
        state.retries.earn()
        state.hedges.earn(self._hedge_factor(load))
        return _choice.Work(
            request, state, intent, trio.current_time(), decision
        )

    def _state(self, service: model.Service) -> _services.ServiceState:
        state = self.services.get(service.name)
        if state is None:
            state = _services.ServiceState(
                service, self.view, self.entry, self.region, self.settings
            )
            self.services[service.name] = state
        state.service = service
        return state

    def _hedge_factor(self, load: float) -> float:
        """Returns the part of the hedge budget that remains at a load."""
        full = self.settings.hedge_full_load
        none = self.settings.hedge_no_load
        return min(1.0, max(0.0, (none - load) / (none - full)))

    async def _attempts(
        self, work: _choice.Work, limit_s: float, attempt: Attempt[T]
    ) -> T:
        """Makes attempts one after the other until one gives an answer."""
        failure: Exception | None = None
        while True:
            try:
                choice = await self.placement.placed(work, limit_s)
            except _errors.SteeringError as error:
                if failure is None or error.code != _errors.NO_UPSTREAM:
                    raise
                break
            kind = "retry" if failure else "first"
            if failure is None:
                now_s = trio.current_time()
                work.decision.waited_s = now_s - work.arrived_s
                self.metrics.timing(
                    f"steering.wait.{work.request.service}",
                    work.decision.waited_s * 1000,
                )
            try:
                return await self._attempt(work, choice, kind, attempt)
            except ports.UpstreamError as error:
                failure = error
                if not self._may_retry(work, error):
                    break
            except _errors.SteeringError as error:
                if error.code != _errors.LINK_CAP or not error.not_run:
                    raise
                failure = error
                work.capped_regions.add(choice.upstream.region)
        if isinstance(failure, _errors.SteeringError):
            raise failure
        raise _errors.SteeringError(
            _errors.UPSTREAM_FAILED,
            f"no attempt succeeded: {failure}",
            not_run=not work.may_have_run,
        ) from failure

    def _may_retry(
        self, work: _choice.Work, error: ports.UpstreamError
    ) -> bool:
        if error.not_run:
            # Costs the upstreams nothing, so it needs no budget.
            return len(work.decision.attempts) < self.settings.max_connects
        if work.reached >= self.settings.max_attempts:
            return False
        kind = work.state.service.traffic_class
        if kind is model.TrafficClass.ONCE:
            return False
        return work.state.retries.take()

    async def _attempt(
        self,
        work: _choice.Work,
        choice: _choice.Choice,
        kind: str,
        attempt: Attempt[T],
    ) -> T:
        """Makes one attempt, with a hedge when it is slow and may have one."""
        first = functools.partial(self._single, work, choice, kind, attempt)
        delay_s = work.state.peers(choice.upstream.region).hedge_delay_s()
        short = work.state.service.traffic_class is model.TrafficClass.SHORT
        if delay_s is None or not short:
            return await first()
        work.tried.add(choice.upstream.name)
        work.avoided_domains.add(choice.upstream.known.record.failure_domain)
        hedge = functools.partial(self._hedge, work, attempt)
        return await _race.first_answer(first, hedge, delay_s)

    def _hedge(
        self, work: _choice.Work, attempt: Attempt[T]
    ) -> Callable[[], Awaitable[T]] | None:
        """Returns a second attempt if the budget and the load allow one."""
        state = work.state
        load = state.slots.load(self.region, trio.current_time())
        if load >= self.settings.hedge_no_load or state.hedges.tokens < 1:
            return None
        try:
            choice = self.placement.choose(work)
        except _errors.SteeringError:
            return None
        if choice is None:
            return None
        state.hedges.take()
        self.metrics.increment(f"steering.hedges.{work.request.service}")
        return functools.partial(self._single, work, choice, "hedge", attempt)

    async def _single(
        self,
        work: _choice.Work,
        choice: _choice.Choice,
        kind: str,
        attempt: Attempt[T],
    ) -> T:
        """Makes one attempt and records its outcome."""
        record = choice.upstream.known.record
        peers = work.state.peers(record.region)
        peers.of(record.upstream, record.incarnation)
        started_s = trio.current_time()
        work.tried.add(record.upstream)
        work.avoided_domains.add(record.failure_domain)
        work.reached += 1
        outcome, not_run = "cancelled", False
        try:
            with choice.hold:
                answer = await attempt(record)
            outcome = "answered"
            return answer
        except (ports.UpstreamError, _errors.SteeringError) as error:
            outcome, not_run = error.code, error.not_run
            work.reached -= error.not_run
            raise
        finally:
            elapsed_s = trio.current_time() - started_s
            work.decision.attempts.append(
                _decisions.Attempt(
                    record.upstream, kind, started_s, elapsed_s, outcome
                )
            )
            self._record(work, record, outcome, elapsed_s, not_run=not_run)

    def _record(
        self,
        work: _choice.Work,
        record: model.UpstreamRecord,
        outcome: str,
        elapsed_s: float,
        *,
        not_run: bool,
    ) -> None:
        now_s = trio.current_time()
        peers = work.state.peers(record.region)
        peers.of(record.upstream, record.incarnation)
        if outcome == "answered":
            work.state.ran(elapsed_s)
            peers.answered(record.upstream, now_s, elapsed_s)
        elif outcome == "cancelled":
            peers.overtaken(record.upstream, now_s, elapsed_s)
        elif outcome != _errors.LINK_CAP:
            peers.failed(record.upstream, now_s, not_run=not_run)
