"""Handling of callers' requests, with one task for each request."""

import functools

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.serving import _attempts
from guavapulley.serving import _configuration
from guavapulley.serving import _errors
from guavapulley.serving import _labels
from guavapulley.serving import _once_executor
from guavapulley.serving import _protocols


class RequestService:
    """`ports.RequestHandler` of an entry.

    Args:
        watcher: Provides the configuration in force.
        steerer: Chooses the upstreams.
        dispatcher: Sends requests to upstreams.
        once_executor: Handles requests that must run at most once.
        region_resolver: Maps the addresses of callers to regions.
        metrics: Receives counts and durations.

    Attributes:
        in_progress: Number of requests being handled.
    """

    def __init__(
        self,
        watcher: _configuration.ConfigurationWatcher,
        steerer: _protocols.Steerer,
        dispatcher: _attempts.Dispatcher,
        once_executor: _once_executor.OnceExecutor,
        region_resolver: _labels.CallerRegionResolver,
        metrics: ports.Metrics,
    ) -> None:
        self.watcher = watcher
        self.steerer = steerer
        self.dispatcher = dispatcher
        self.once_executor = once_executor
        self.region_resolver = region_resolver
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
            request: The request. An empty region is replaced by the region of
                the caller's address.
            reply: Receives the answer.
            caller_host: IP address of the caller.

        Raises:
            ServingError: The request was not answered; `not_run` tells whether
                it can have run.
        """
        started_at_s = trio.current_time()
        self.in_progress += 1
        try:
            service = self._admit(request)
            labelled_request = self._add_labels(request, service, caller_host)
            await self._dispatch(labelled_request, service, reply)
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

    async def _dispatch(
        self,
        request: model.SteeredRequest,
        service: model.Service,
        reply: ports.ReplyWriter,
    ) -> None:
        match service.traffic_class:
            case model.TrafficClass.BULK:
                await self._run_bulk(request, service, reply)
            case model.TrafficClass.ONCE:
                answer = await self.once_executor.run(request, service)
                await _send_answer(reply, answer)
            case model.TrafficClass.SHORT:
                answer = await self._run_short(request, service)
                await _send_answer(reply, answer)

    async def _run_short(
        self, request: model.SteeredRequest, service: model.Service
    ) -> model.Answer:
        attempts = self.dispatcher.new_attempts(request, service)
        with _attempts.enforce_deadline(attempts):
            return await self.steerer.run(
                attempts.request_for_steering(), service, attempts.fetch_answer
            )

    async def _run_bulk(
        self,
        request: model.SteeredRequest,
        service: model.Service,
        reply: ports.ReplyWriter,
    ) -> None:
        attempts = self.dispatcher.new_attempts(request, service)
        attempt = functools.partial(attempts.stream_answer, reply=reply)
        with _attempts.enforce_deadline(attempts):
            stream_error = await self.steerer.run(
                attempts.request_for_steering(), service, attempt
            )
            if stream_error is not None:
                raise stream_error

    def _admit(self, request: model.SteeredRequest) -> model.Service:
        state = self.watcher.state()
        if state is _configuration.ConfigurationState.UNCONFIRMED:
            raise _not_run_error(
                _errors.CONFIGURATION_UNCONFIRMED,
                "no configuration has been confirmed by a majority yet",
            )
        service = self.watcher.services.get(request.service)
        if service is None:
            raise _not_run_error(
                _errors.SERVICE_UNKNOWN,
                f"the configuration has no service {request.service}",
            )
        once = service.traffic_class is model.TrafficClass.ONCE
        if once and state is _configuration.ConfigurationState.DETACHED:
            raise _not_run_error(
                _errors.ENTRY_DETACHED,
                "the entry has lost contact with control",
            )
        if len(request.body) > service.max_request_bytes:
            raise _not_run_error(
                _errors.REQUEST_TOO_LARGE,
                f"{service.name} accepts request bodies of at most"
                f" {service.max_request_bytes} bytes",
            )
        return service

    def _add_labels(
        self, request: model.SteeredRequest, service: model.Service, host: str
    ) -> model.SteeredRequest:
        region = request.region or self.region_resolver.resolve(
            host, self.watcher.configuration
        )
        automatic = _labels.automatic_labels(request, service, region)
        return attrs.evolve(
            request, region=region, labels={**request.labels, **automatic}
        )


def _not_run_error(code: str, message: str) -> _errors.ServingError:
    return _errors.ServingError(code, message, not_run=True)


async def _send_answer(reply: ports.ReplyWriter, answer: model.Answer) -> None:
    await reply.start(answer.head)
    if answer.body:
        await reply.write(answer.body)
