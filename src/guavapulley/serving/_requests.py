"""Handles the requests of callers, one task for each."""

import functools

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.serving import _attempts
from guavapulley.serving import _errors
from guavapulley.serving import _follower
from guavapulley.serving import _labels
from guavapulley.serving import _once
from guavapulley.serving import _protocols


class RequestService:
    """`ports.RequestHandler` of an entry.

    Args:
        follower: The configuration in force.
        steerer: Chooses upstreams.
        dispatcher: Sends requests to upstreams.
        once: Handles requests with an idempotency key.
        regions: Finds the regions of callers.
        metrics: Receives counts and durations.
    """

    def __init__(
        self,
        follower: _follower.ConfigurationFollower,
        steerer: _protocols.Steerer,
        dispatcher: _attempts.Dispatcher,
        once: _once.OnceFlow,
        regions: _labels.CallerRegions,
        metrics: ports.Metrics,
    ) -> None:
        self.follower = follower
        self.steerer = steerer
        self.dispatcher = dispatcher
        self.once = once
        self.regions = regions
        self.metrics = metrics
        self.in_progress = 0

    async def handle(
        self,
        request: model.SteeredRequest,
        reply: ports.ReplyWriter,
        caller_host: str = "",
    ) -> None:
        """Answers one request; see `ports.RequestHandler`.

        Args:
            request: The request; its region may be empty.
            reply: Receives the answer.
            caller_host: IP address of the caller.

        Raises:
            ServingError: There is no answer; `not_run` tells whether the
                request can have run.
        """
        started_at_s = trio.current_time()
        self.in_progress += 1
        try:
            service = self._admit(request)
            labelled = self._label(request, service, caller_host)
            await self._serve(labelled, service, reply)
        except errors.GuavapulleyError as error:
            error.details.setdefault("request_id", request.request_id)
            self.metrics.increment(f"requests.refused.{error.code}")
            raise
        finally:
            self.in_progress -= 1
            elapsed_s = trio.current_time() - started_at_s
            self.metrics.timing(
                f"requests.{request.service}", elapsed_s * 1_000
            )

    async def _serve(
        self,
        request: model.SteeredRequest,
        service: model.Service,
        reply: ports.ReplyWriter,
    ) -> None:
        match service.traffic_class:
            case model.TrafficClass.BULK:
                await self._stream(request, service, reply)
            case model.TrafficClass.ONCE:
                answer = await self.once.run(request, service)
                await _send(reply, answer)
            case model.TrafficClass.SHORT:
                answer = await self._short(request, service)
                await _send(reply, answer)

    async def _short(
        self, request: model.SteeredRequest, service: model.Service
    ) -> model.Answer:
        attempts = self.dispatcher.attempts(request, service)
        with _attempts.within_deadline(attempts):
            return await self.steerer.run(
                attempts.steered(), service, attempts.whole
            )

    async def _stream(
        self,
        request: model.SteeredRequest,
        service: model.Service,
        reply: ports.ReplyWriter,
    ) -> None:
        attempts = self.dispatcher.attempts(request, service)
        attempt = functools.partial(attempts.streamed, reply=reply)
        with _attempts.within_deadline(attempts):
            cut = await self.steerer.run(attempts.steered(), service, attempt)
            if cut is not None:
                raise cut

    def _admit(self, request: model.SteeredRequest) -> model.Service:
        state = self.follower.state()
        if state is _follower.FollowerState.UNCONFIRMED:
            raise _refusal(
                _errors.CONFIGURATION_UNCONFIRMED,
                "no configuration has been confirmed yet",
            )
        service = self.follower.services.get(request.service)
        if service is None:
            raise _refusal(
                _errors.SERVICE_UNKNOWN, f"no service {request.service}"
            )
        once = service.traffic_class is model.TrafficClass.ONCE
        if once and state is _follower.FollowerState.DETACHED:
            raise _refusal(
                _errors.ENTRY_DETACHED, "the entry has lost contact to control"
            )
        if len(request.body) > service.max_request_bytes:
            raise _refusal(
                _errors.REQUEST_TOO_LARGE,
                f"{service.name} takes {service.max_request_bytes} bytes",
            )
        return service

    def _label(
        self, request: model.SteeredRequest, service: model.Service, host: str
    ) -> model.SteeredRequest:
        region = request.region or self.regions.find(
            host, self.follower.configuration
        )
        automatic = _labels.automatic_labels(request, service, region)
        return attrs.evolve(
            request, region=region, labels={**request.labels, **automatic}
        )


def _refusal(code: str, message: str) -> _errors.ServingError:
    return _errors.ServingError(code, message, not_run=True)


async def _send(reply: ports.ReplyWriter, answer: model.Answer) -> None:
    await reply.start(answer.head)
    if answer.body:
        await reply.write(answer.body)
