"""Way of a request from its caller to an upstream and back."""

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley import routing
from guavapulley.forwarding import _journey
from guavapulley.forwarding import _placing
from guavapulley.forwarding import _refusals
from guavapulley.forwarding import _repeats
from guavapulley.forwarding import _reports
from guavapulley.forwarding import _upstreams

# A request without these is treated as if its caller waited this long.
DEFAULT_PATIENCE_S = 30.0
# An entry knows its state 0.1 to 0.5 s after its start. After a loss of power
# of all VMs the callers of seconds come together; their return is spread over
# more than the work of one of them takes.
NOT_READY_WAIT_S = 0.3
NOT_READY_SPREAD_S = 1.2
# Shortest and longest time that a refused caller is asked to stay away.
MIN_RETURN_S = 0.1
MAX_RETURN_S = 5.0


class Forwarder:
    """Answers requests of callers (`adapters.http1.AnswerHandler`).

    Args:
        upstreams: Tracks, lines and budgets.
        client: Exchanges messages with upstreams.
        dialect: Headers of callers and upstreams.
        place: Where this entry runs.
        events: Receives decisions.
        metrics: Metrics.
        chooser: Policy of placement; the lowest expected cost by default.

    Attributes:
        running: Requests that have no answer yet.
        reports: Log and metrics of requests.
        refusing: Whether new requests are refused, as the entry is stopping.
    """

    def __init__(
        self,
        upstreams: _upstreams.Upstreams,
        client: ports.ExchangeClient,
        dialect: ports.Dialect,
        place: routing.Location,
        events: ports.EventLog,
        metrics: ports.Metrics,
        chooser: routing.PlacementPolicy | None = None,
    ) -> None:
        self.upstreams = upstreams
        self.client = client
        self.dialect = dialect
        self.placer = _placing.Placer(
            upstreams, place, chooser or routing.LeastCostPolicy()
        )
        self.events = events
        self.reports = _reports.RequestReports(upstreams, events, metrics)
        self.splitter = routing.TrafficSplitter()
        self.matcher = routing.RouteMatcher(())
        self.known = False
        self.running = 0
        self.idle = trio.Event()
        self.refusing = False

    def follow(self, state: model.FleetState) -> None:
        """Takes a new fleet state."""
        self.known = state.routing.version > 0
        self.matcher = routing.RouteMatcher(state.routing.routes)
        self.upstreams.follow(state)

    def may_overlap(self, request: model.HttpRequest) -> bool:
        """Returns whether a pipelined request may run beside earlier ones."""
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
            if not self.running:
                self.idle.set()
                self.idle = trio.Event()

    async def wait_idle(self) -> None:
        """Returns once no request is running."""
        while self.running:
            await self.idle.wait()

    async def _answer(self, request: model.HttpRequest) -> model.Answer:
        facts = self.dialect.caller_facts(request)
        route = self._match(request)
        if not self.known or self.refusing or route is None:
            return self._refuse(facts)
        now_s = trio.current_time()
        patience_s = facts.patience_s
        if patience_s is None:
            patience_s = DEFAULT_PATIENCE_S
        journey = _journey.Journey(
            request,
            facts,
            route,
            self.splitter.choose(route),
            now_s,
            now_s + min(route.timeout_s, patience_s),
        )
        self.upstreams.budget(journey.service).record_request()
        self.placer.reach.note_object(journey.service, journey.affinity_key())
        try:
            answer = await self._travel(journey)
        except trio.Cancelled:
            self.reports.note_end(journey, None)
            raise
        self.reports.note_end(journey, answer.head.status)
        return answer

    def _refuse(self, facts: ports.CallerFacts) -> model.Answer:
        """Refuses a request that is not even placed."""
        wait_s: float | None
        if not self.known:
            code, reason = _refusals.NOT_READY, "no routing table yet"
            wait_s = _refusals.return_after_s(
                NOT_READY_WAIT_S, NOT_READY_SPREAD_S
            )
        elif self.refusing:
            code, reason = _refusals.STOPPING, "use another entry"
            wait_s = _refusals.return_after_s(MIN_RETURN_S)
        else:
            code, reason = _refusals.NO_ROUTE, "no route for this host and path"
            wait_s = None
        answer = _refusals.refusal(code, reason, wait_s)
        self.reports.note_unplaced(
            facts, answer.head.status, code, reason, wait_s
        )
        return answer

    async def _travel(self, journey: _journey.Journey) -> model.Answer:
        """Sends the request until there is an answer or none can come."""
        last: model.Answer | None = None
        while True:
            track = await self.placer.reserved(journey)
            if track is None:
                return last or self._give_up(journey, "no upstream has room")
            answer = await self._send(journey, track)
            if answer is not None:
                if not _repeats.should_repeat(journey, answer, self.upstreams):
                    return answer
                last = answer
            elif trio.current_time() >= journey.give_up_s:
                return last or self._give_up(journey, "the time has ended")
            elif not _repeats.may_repeat(journey, self.upstreams):
                return last or self._give_up(journey, "the upstream failed")

    def _give_up(self, journey: _journey.Journey, reason: str) -> model.Answer:
        wait_s: float | None = None
        if not journey.may_have_run:
            code = _refusals.NO_ROOM
            expected_s = self.upstreams.expected_wait_s(
                journey.service, journey.route.priority
            )
            wait_s = _refusals.return_after_s(
                min(MAX_RETURN_S, max(MIN_RETURN_S, expected_s))
            )
            journey.exclusions = self.upstreams.exclusions(
                journey.service,
                journey.route.regions,
                journey.tried,
                self.placer.within_reach(journey),
            )
        elif trio.current_time() >= journey.give_up_s:
            code = _refusals.TIMED_OUT
        else:
            code = _refusals.NO_WHOLE_ANSWER
        journey.code, journey.reason = code, reason
        journey.retry_after_s = wait_s
        return _refusals.refusal(code, reason, wait_s)

    async def _send(
        self, journey: _journey.Journey, track: routing.UpstreamTracker
    ) -> model.Answer | None:
        """Sends the request to one upstream.

        Returns:
            The upstream's own answer, or None if there is none to pass on.
        """
        record = track.record
        journey.tried.add(record.upstream)
        started_s = trio.current_time()
        sent = journey.note_send(track)
        request = attrs.evolve(
            journey.request,
            headers=self.dialect.request_headers(
                journey.request, journey.give_up_s - started_s, record
            ),
        )
        answer: model.Answer | None = None
        reached = True
        try:
            with trio.move_on_at(journey.give_up_s) as scope:
                # An idle connection may have been dropped unnoticed; the
                # request would then be lost although nothing ran.
                answer = await self.client.exchange(
                    record, request, reuse=journey.is_idempotent()
                )
        except ports.UpstreamError as error:
            reached = not error.not_run
            self._note_failure(journey, track, error)
        finally:
            sent["took_s"] = round(trio.current_time() - started_s, 3)
            self.placer.release(track)
            self.upstreams.note_trust(track)
        if not reached:
            journey.connects += 1
            return None
        journey.sends += 1
        if scope.cancelled_caught:
            journey.may_have_run = True
            track.record_failure()
            return None
        if answer is None:
            journey.may_have_run = True
            return None
        return self._judge(journey, track, answer, started_s)

    def _note_failure(
        self,
        journey: _journey.Journey,
        track: routing.UpstreamTracker,
        error: errors.GuavapulleyError,
    ) -> None:
        if error.code == ports.UPSTREAM_NOT_REACHED:
            track.record_connect_failure()
        else:
            track.record_failure()
        self.events.write(
            "upstream:failed",
            upstream=track.record.upstream,
            request_id=journey.facts.request_id,
            code=error.code,
            reason=error.message,
        )

    def _judge(
        self,
        journey: _journey.Journey,
        track: routing.UpstreamTracker,
        answer: model.Answer,
        started_s: float,
    ) -> model.Answer | None:
        """Learns from an answer; returns it unless it must not be passed on."""
        facts = self.dialect.answer_facts(answer.head)
        journey.history[-1]["status"] = answer.head.status
        if facts.load is not None:
            journey.history[-1]["slowdown"] = facts.load.slowdown
            journey.history[-1]["running"] = facts.load.running
            journey.history[-1]["queued"] = facts.load.waiting
            journey.history[-1]["own"] = track.in_flight
            track.record_sample(facts.load, ran=not facts.not_run)
        if facts.other_incarnation:
            track.replaced = True
            self.events.write(
                "upstream:replaced", upstream=track.record.upstream
            )
            return None
        if facts.not_run:
            track.record_failure()
            return None
        journey.may_have_run = True
        if answer.head.status >= 500:
            track.record_failure()
        else:
            key = journey.affinity_key()
            durations = self.upstreams.durations_of(track.record.service)
            relative = durations.record(
                trio.current_time() - started_s,
                facts.load.slowdown if facts.load else 1.0,
                warm=key is None or key in track.warm_keys,
            )
            track.record_success(relative)
            track.add_warm_key(key)
        return attrs.evolve(
            answer,
            head=attrs.evolve(
                answer.head, headers=self.dialect.answer_headers(answer.head)
            ),
        )
