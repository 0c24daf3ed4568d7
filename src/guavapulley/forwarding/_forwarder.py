"""Forwarding of a request from its caller to an upstream and back."""

import math

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley import routing
from guavapulley.forwarding import _context
from guavapulley.forwarding import _error_answers
from guavapulley.forwarding import _placer
from guavapulley.forwarding import _registry
from guavapulley.forwarding import _reporter
from guavapulley.forwarding import _retries
from guavapulley.forwarding import _stop
from guavapulley.forwarding import _upstream_recorder

# Assumed for requests whose caller does not state how long it waits.
DEFAULT_CALLER_TIMEOUT_S = 30.0
# An entry receives its state 0.1 to 0.5 s after its start. After a power loss
# of all VMs, the requests of several seconds arrive at once. Their retries are
# distributed over more time than it takes to process one of them.
NOT_READY_RETRY_AFTER_S = 0.3
NOT_READY_JITTER_S = 1.2
# Bounds of the time after which a refused caller is asked to retry.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
STOPPING_REASON = "use another entry"


class Forwarder:
    """Answers requests of callers (`adapters.http1.AnswerHandler`).

    Args:
        registry: Trackers, wait queues and retry budgets.
        client: Sends requests to upstreams.
        header_codec: Headers of callers and upstreams.
        location: Where this entry runs.
        events: Log of decisions.
        metrics: Metrics.
        policy: Placement policy; `routing.LeastCostPolicy` by default.

    Attributes:
        running: Requests that have not been answered yet.
        reporter: Logs and counts requests.
        has_routing_table: Whether a routing table has been received.
        upstream_recorder: Records what exchanges tell about upstreams.
    """

    def __init__(
        self,
        registry: _registry.UpstreamRegistry,
        client: ports.ExchangeClient,
        header_codec: ports.HeaderCodec,
        location: routing.Location,
        events: ports.EventLog,
        metrics: ports.Metrics,
        policy: routing.PlacementPolicy | None = None,
    ) -> None:
        self.registry = registry
        self.client = client
        self.header_codec = header_codec
        self.placer = _placer.Placer(
            registry, location, policy or routing.LeastCostPolicy()
        )
        self.reporter = _reporter.RequestReporter(registry, events, metrics)
        self.splitter = routing.TrafficSplitter()
        self.matcher = routing.RouteMatcher(())
        self.has_routing_table = False
        self.running = 0
        self.upstream_recorder = _upstream_recorder.UpstreamRecorder(
            registry, events
        )

    def apply_state(self, state: model.FleetState) -> None:
        """Applies a new fleet state."""
        self.has_routing_table = state.routing.version > 0
        self.matcher = routing.RouteMatcher(state.routing.routes)
        self.registry.apply_state(state)

    def may_overlap(self, request: model.HttpRequest) -> bool:
        """Returns whether a pipelined request may overlap earlier ones."""
        route = self._match(request)
        return (
            route is None
            or route.repeatability is model.Repeatability.IDEMPOTENT
        )

    def _match(self, request: model.HttpRequest) -> model.Route | None:
        return self.matcher.match(request.header("host") or "", request.path)

    async def answer(self, request: model.HttpRequest) -> model.Answer:
        """Returns the answer to a request of a caller."""
        self.running += 1
        try:
            return await self._answer(request)
        finally:
            self.running -= 1

    async def drain(self, schedule: _stop.StopSchedule) -> None:
        """Stops beginning requests that cannot end in time.

        Returns when the schedule begins only those that can. Waiting requests
        that cannot have been refused then.

        Args:
            schedule: Schedule of the planned stop.
        """
        self.placer.stop_schedule = schedule
        await trio.sleep_until(schedule.open_until_s)
        self.placer.dismiss_futile()

    def refuse_all(self) -> None:
        """Begins no more requests, because the entry ends at once."""
        self.placer.stop_schedule = _stop.StopSchedule(-math.inf, -math.inf)
        self.placer.dismiss_futile()

    async def _answer(self, request: model.HttpRequest) -> model.Answer:
        metadata = self.header_codec.caller_metadata(request)
        route = self._match(request)
        if not self.has_routing_table or route is None:
            return self._refuse(metadata, route)
        now_s = trio.current_time()
        caller_timeout_s = metadata.caller_timeout_s
        if caller_timeout_s is None:
            caller_timeout_s = DEFAULT_CALLER_TIMEOUT_S
        deadline_at_s = now_s + min(route.timeout_s, caller_timeout_s)
        if not self.placer.may_begin(deadline_at_s):
            return self._refuse(metadata, route)
        context = _context.RequestContext(
            request,
            metadata,
            route,
            self.splitter.choose(route),
            now_s,
            deadline_at_s,
        )
        self.registry.retry_budget(context.service).record_request()
        self.placer.region_selector.record_object(
            context.service, context.affinity_key()
        )
        try:
            answer = await self._send_until_answered(context)
        except trio.Cancelled:
            self.reporter.report_end(context, None)
            raise
        self.reporter.report_end(context, answer.head.status)
        return answer

    def _refuse(
        self, metadata: ports.CallerMetadata, route: model.Route | None
    ) -> model.Answer:
        """Refuses a request for which no upstream is chosen."""
        refusal = self._find_refusal(route)
        answer = refusal.answer()
        self.reporter.report_refusal(
            metadata,
            answer.head.status,
            refusal.code,
            refusal.reason,
            refusal.retry_after_s,
        )
        return answer

    def _find_refusal(
        self, route: model.Route | None
    ) -> _error_answers.EntryError:
        if not self.has_routing_table:
            retry_after_s = _error_answers.draw_retry_after_s(
                NOT_READY_RETRY_AFTER_S, NOT_READY_JITTER_S
            )
            return _error_answers.EntryError(
                _error_answers.NOT_READY, "no routing table yet", retry_after_s
            )
        if route is None:
            return _error_answers.EntryError(
                _error_answers.NO_ROUTE, "no route for this host and path"
            )
        return _stopping_error()

    async def _send_until_answered(
        self, context: _context.RequestContext
    ) -> model.Answer:
        """Sends the request until there is an answer or no retry is allowed."""
        last_answer: model.Answer | None = None
        while True:
            tracker = await self.placer.reserve(context)
            if tracker is None:
                return last_answer or self._build_final_error(
                    context, "no upstream has room"
                )
            answer = await self._send(context, tracker)
            if answer is not None:
                if not _retries.should_retry(context, answer, self.registry):
                    return answer
                last_answer = answer
            elif trio.current_time() >= context.deadline_at_s:
                return last_answer or self._build_final_error(
                    context, "the deadline has passed"
                )
            elif not _retries.try_acquire_retry(context, self.registry):
                return last_answer or self._build_final_error(
                    context, "the upstream failed"
                )

    def _build_final_error(
        self, context: _context.RequestContext, reason: str
    ) -> model.Answer:
        """Returns the answer to a request that no upstream has answered."""
        error = self._find_final_error(context, reason)
        if error.code == _error_answers.NO_ROOM:
            context.exclusions = self.registry.exclusions(
                context.service,
                context.route.regions,
                context.tried,
                self.placer.find_candidates(context),
            )
        context.code, context.reason = error.code, error.reason
        context.retry_after_s = error.retry_after_s
        return error.answer()

    def _find_final_error(
        self, context: _context.RequestContext, reason: str
    ) -> _error_answers.EntryError:
        if context.may_have_run:
            has_time = trio.current_time() < context.deadline_at_s
            return _error_answers.EntryError(
                _error_answers.NO_WHOLE_ANSWER
                if has_time
                else _error_answers.TIMED_OUT,
                reason,
            )
        if not self.placer.may_begin(context.deadline_at_s):
            return _stopping_error()
        retry_after_s = _error_answers.draw_retry_after_s(
            self._min_retry_after_s(context)
        )
        return _error_answers.EntryError(
            _error_answers.NO_ROOM, reason, retry_after_s
        )

    def _min_retry_after_s(self, context: _context.RequestContext) -> float:
        """Returns the seconds before which a refused caller gains nothing."""
        refusal_s = self.placer.refusal_s(context)
        if refusal_s is not None:
            return max(MIN_RETRY_AFTER_S, refusal_s)
        expected_s = self.registry.expected_wait_s(
            context.service, context.route.priority
        )
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_s))

    async def _send(
        self, context: _context.RequestContext, tracker: routing.UpstreamTracker
    ) -> model.Answer | None:
        """Sends the request to one upstream.

        Returns:
            The upstream's answer, or None if there is none to pass on.
        """
        record = tracker.record
        context.tried.add(record.upstream)
        started_s = trio.current_time()
        send_record = context.add_send_record(tracker)
        request = attrs.evolve(
            context.request,
            headers=self.header_codec.request_headers(
                context.request, context.deadline_at_s - started_s, record
            ),
        )
        answer: model.Answer | None = None
        reached = True
        try:
            with trio.move_on_at(context.deadline_at_s) as scope:
                # A pooled connection may have been closed unnoticed. A request
                # sent on it would have to be assumed to have run, although
                # nothing ran, so only idempotent requests use one.
                answer = await self.client.exchange(
                    record,
                    request,
                    reuse_connection=context.is_idempotent(),
                    may_send=lambda: (
                        self.placer.may_begin(context.deadline_at_s)
                        and self.registry.is_available(tracker)
                    ),
                )
        except ports.UpstreamError as error:
            reached = not error.not_run
            self.upstream_recorder.record_failure(context, tracker, error)
        finally:
            send_record["took_s"] = round(trio.current_time() - started_s, 3)
            self.placer.release(tracker)
            self.registry.report_avoidance(tracker)
        if not reached:
            context.failed_connects += 1
            return None
        context.sends += 1
        if scope.cancelled_caught:
            context.may_have_run = True
            tracker.record_failure()
            return None
        if answer is None:
            context.may_have_run = True
            return None
        return self._process_answer(context, tracker, answer, started_s)

    def _process_answer(
        self,
        context: _context.RequestContext,
        tracker: routing.UpstreamTracker,
        answer: model.Answer,
        started_s: float,
    ) -> model.Answer | None:
        """Updates the tracker from an answer.

        Returns:
            The answer for the caller, or None if it must not be passed on.
        """
        metadata = self.header_codec.answer_metadata(answer.head)
        status = answer.head.status
        context.send_records[-1]["status"] = status
        self.upstream_recorder.record_report(context, tracker, metadata)
        if metadata.incarnation_mismatch:
            self.upstream_recorder.record_replacement(tracker)
            return None
        self.upstream_recorder.record_withdrawal(tracker, metadata)
        if metadata.not_run:
            tracker.record_failure()
            return None
        context.may_have_run = True
        if metadata.implies_not_run:
            self.upstream_recorder.record_ambiguous_refusal(
                context, tracker, status
            )
            return None
        if status >= 500:
            tracker.record_failure()
        else:
            self.upstream_recorder.record_success(
                context, tracker, metadata, started_s
            )
        headers = self.header_codec.answer_headers(answer.head)
        return attrs.evolve(
            answer, head=attrs.evolve(answer.head, headers=headers)
        )


def _stopping_error() -> _error_answers.EntryError:
    return _error_answers.EntryError(
        _error_answers.STOPPING,
        STOPPING_REASON,
        _error_answers.draw_retry_after_s(MIN_RETRY_AFTER_S),
    )
