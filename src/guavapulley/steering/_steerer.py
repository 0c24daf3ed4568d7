"""Runs requests through admission, choice of an upstream and attempts."""

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
AttemptFunction = Callable[[model.UpstreamRecord], Awaitable[T]]


class Steerer:
    """Steers the requests of one entry.

    Attributes:
        view: State of the system as seen by the entry.
        entry: Name of the entry.
        region: Region of the entry.
        links: Shares of the links between regions; None without limits.
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
        self.applied_configuration: model.Configuration | None = None
        self.intents: list[model.Intent] = []
        self.history = _decisions.DecisionHistory(self.settings.history)

    async def run(
        self,
        request: model.SteeredRequest,
        service: model.Service,
        attempt: AttemptFunction[T],
    ) -> T:
        """Runs a request and returns the answer of one of its attempts.

        Args:
            request: Request with all its labels.
            service: Requested service.
            attempt: Sends the request to an upstream and returns the complete
                answer; for bulk work it returns after the whole stream has
                been delivered. It raises `ports.UpstreamError` only while the
                request can still be repeated. Other errors end the request
                and are propagated. The exception is a `SteeringError` with
                code `LINK_CAP` and `not_run`, after which other regions are
                tried.

        Returns:
            The return value of the successful attempt.

        Raises:
            SteeringError: The request was refused, its deadline passed, or
                every attempt failed. `not_run` is true if no attempt can have
                reached an upstream.
        """
        pending = self._start_request(request, service)
        time_limit_s = request.deadline_s
        if time_limit_s is None:
            time_limit_s = service.deadline_ms / 1000
        try:
            with (
                self.placement.admit(service),
                trio.move_on_after(time_limit_s),
            ):
                answer = await self._run_attempts(
                    pending, time_limit_s, attempt
                )
                pending.decision.outcome = "answered"
                return answer
            raise self.placement.timeout_error(pending)
        except _errors.SteeringError as error:
            pending.decision.outcome = error.code
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
        """Returns the decision for a recent request, if it is kept."""
        return self.history.get(request_id)

    def in_flight(self) -> dict[str, int]:
        """Returns the requests in flight by upstream, for gossip."""
        return {
            name: count
            for state in self.services.values()
            for name, count in state.slots.in_flight().items()
        }

    def claims(self) -> dict[str, int]:
        """Returns the number of claimed slots by `SERVICE/REGION`, for gossip.

        The state of every configured service is refreshed.
        """
        for service in self.view.configuration().services().values():
            self._service_state(service)
        now_s = trio.current_time()
        for state in self.services.values():
            state.refresh()
        return {
            f"{name}/{region}": slots
            for name, state in self.services.items()
            for region, slots in state.slots.claims(now_s).items()
        }

    def _start_request(
        self, request: model.SteeredRequest, service: model.Service
    ) -> _choice.PendingRequest:
        state = self._service_state(service)
        configuration = self.view.configuration()
        if configuration is not self.applied_configuration:
            self.applied_configuration = configuration
            self.intents = configuration.intents()
        intent = _catalog.select_intent(request, self.intents)
        decision = _decisions.Decision(
            request.request_id, service.name, intent.name if intent else ""
        )
        self.history.add(decision)
        load = state.slots.load(self.region, trio.current_time())
        state.retry_budget.add_request()
        state.hedge_budget.add_request(self._hedge_fraction(load))
        return _choice.PendingRequest(
            request, state, intent, trio.current_time(), decision
        )

    def _service_state(self, service: model.Service) -> _services.ServiceState:
        state = self.services.get(service.name)
        if state is None:
            state = _services.ServiceState(
                service, self.view, self.entry, self.region, self.settings
            )
            self.services[service.name] = state
        state.service = service
        return state

    def _hedge_fraction(self, load: float) -> float:
        """Returns the fraction of the hedge budget that is earned at a load."""
        full_load = self.settings.hedge_full_load
        no_load = self.settings.hedge_no_load
        return min(1.0, max(0.0, (no_load - load) / (no_load - full_load)))

    async def _run_attempts(
        self,
        pending: _choice.PendingRequest,
        time_limit_s: float,
        attempt: AttemptFunction[T],
    ) -> T:
        """Makes attempts one after the other until one succeeds."""
        failure: Exception | None = None
        while True:
            try:
                choice = await self.placement.wait_for_upstream(
                    pending, time_limit_s
                )
            except _errors.SteeringError as error:
                if failure is None or error.code != _errors.NO_UPSTREAM:
                    raise
                break
            kind = "retry" if failure else "first"
            if failure is None:
                now_s = trio.current_time()
                pending.decision.waited_s = now_s - pending.arrived_s
                self.metrics.timing(
                    f"steering.wait.{pending.request.service}",
                    pending.decision.waited_s * 1000,
                )
            try:
                return await self._run_with_hedge(
                    pending, choice, kind, attempt
                )
            except ports.UpstreamError as error:
                failure = error
                if not self._may_retry(pending, error):
                    break
            except _errors.SteeringError as error:
                if error.code != _errors.LINK_CAP or not error.not_run:
                    raise
                failure = error
                pending.capped_regions.add(choice.upstream.region)
        if isinstance(failure, _errors.SteeringError):
            raise failure
        raise _errors.SteeringError(
            _errors.UPSTREAM_FAILED,
            f"no attempt succeeded: {failure}",
            not_run=not pending.may_have_run,
        ) from failure

    def _may_retry(
        self, pending: _choice.PendingRequest, error: ports.UpstreamError
    ) -> bool:
        if error.not_run:
            # A request that did not run causes no load on the upstreams, so
            # its retry needs no budget.
            return (
                len(pending.decision.attempts)
                < self.settings.max_connect_attempts
            )
        if pending.sent_attempts >= self.settings.max_attempts:
            return False
        kind = pending.state.service.traffic_class
        if kind is model.TrafficClass.ONCE:
            return False
        return pending.state.retry_budget.try_spend()

    async def _run_with_hedge(
        self,
        pending: _choice.PendingRequest,
        choice: _choice.Choice,
        kind: str,
        attempt: AttemptFunction[T],
    ) -> T:
        """Makes one attempt, with a hedge if it is slow."""
        first = functools.partial(
            self._run_attempt, pending, choice, kind, attempt
        )
        delay_s = pending.state.peer_latencies(
            choice.upstream.region
        ).hedge_delay_s()
        is_short = (
            pending.state.service.traffic_class is model.TrafficClass.SHORT
        )
        if delay_s is None or not is_short:
            return await first()
        pending.tried_upstreams.add(choice.upstream.name)
        pending.avoided_domains.add(
            choice.upstream.observation.record.failure_domain
        )
        hedge = functools.partial(self._start_hedge, pending, attempt)
        return await _race.first_answer(first, hedge, delay_s)

    def _start_hedge(
        self, pending: _choice.PendingRequest, attempt: AttemptFunction[T]
    ) -> Callable[[], Awaitable[T]] | None:
        """Returns a function that runs a hedge, or None if none is allowed.

        The budget, the load and the available upstreams must allow the hedge.
        """
        state = pending.state
        load = state.slots.load(self.region, trio.current_time())
        if load >= self.settings.hedge_no_load or state.hedge_budget.tokens < 1:
            return None
        try:
            choice = self.placement.choose(pending)
        except _errors.SteeringError:
            return None
        if choice is None:
            return None
        state.hedge_budget.try_spend()
        self.metrics.increment(f"steering.hedges.{pending.request.service}")
        return functools.partial(
            self._run_attempt, pending, choice, "hedge", attempt
        )

    async def _run_attempt(
        self,
        pending: _choice.PendingRequest,
        choice: _choice.Choice,
        kind: str,
        attempt: AttemptFunction[T],
    ) -> T:
        """Makes one attempt and records its outcome."""
        record = choice.upstream.observation.record
        peers = pending.state.peer_latencies(record.region)
        peers.get_or_create(record.upstream, record.incarnation)
        started_s = trio.current_time()
        pending.tried_upstreams.add(record.upstream)
        pending.avoided_domains.add(record.failure_domain)
        pending.sent_attempts += 1
        outcome, not_run = "cancelled", False
        try:
            with choice.permit:
                answer = await attempt(record)
            outcome = "answered"
            return answer
        except (ports.UpstreamError, _errors.SteeringError) as error:
            outcome, not_run = error.code, error.not_run
            pending.sent_attempts -= error.not_run
            raise
        finally:
            elapsed_s = trio.current_time() - started_s
            pending.decision.attempts.append(
                _decisions.Attempt(
                    record.upstream, kind, started_s, elapsed_s, outcome
                )
            )
            self._record_outcome(
                pending, record, outcome, elapsed_s, not_run=not_run
            )

    def _record_outcome(
        self,
        pending: _choice.PendingRequest,
        record: model.UpstreamRecord,
        outcome: str,
        elapsed_s: float,
        *,
        not_run: bool,
    ) -> None:
        now_s = trio.current_time()
        peers = pending.state.peer_latencies(record.region)
        peers.get_or_create(record.upstream, record.incarnation)
        if outcome == "answered":
            pending.state.record_duration(elapsed_s)
            peers.record_answer(record.upstream, now_s, elapsed_s)
        elif outcome == "cancelled":
            peers.record_cancelled(record.upstream, now_s, elapsed_s)
        elif outcome != _errors.LINK_CAP:
            peers.record_failure(record.upstream, now_s, not_run=not_run)
