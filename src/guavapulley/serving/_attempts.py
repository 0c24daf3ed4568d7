"""Dispatch of requests to upstreams, and the attempts of one request."""

from collections.abc import Iterator
import contextlib
from typing import Any

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley import steering
from guavapulley.serving import _errors
from guavapulley.serving import _protocols

# Charged to a link for the head of a request or of an answer.
HEAD_BYTES = 1_024


class Dispatcher:
    """Creates the attempts that send requests to upstreams.

    Args:
        client: Sends requests to upstreams.
        registry: Receives the result of each dispatch.
        region: Region of this entry.
        links: Shares of the links between regions; None if no link is limited.
    """

    def __init__(
        self,
        client: ports.UpstreamClient,
        registry: _protocols.UpstreamRegistry,
        region: str,
        links: _protocols.Links | None,
    ) -> None:
        self.client = client
        self.registry = registry
        self.region = region
        self.links = links

    def new_attempts(
        self,
        request: model.SteeredRequest,
        service: model.Service,
        *,
        new_connection: bool = False,
    ) -> "Attempts":
        """Creates the attempts of a request and starts its deadline.

        Args:
            request: The request.
            service: Service of the request.
            new_connection: Whether to send on a new connection instead of a
                pooled one.
        """
        time_limit_s = service.deadline_ms / 1_000
        if request.deadline_s is not None:
            time_limit_s = min(time_limit_s, request.deadline_s)
        deadline_at_s = trio.current_time() + time_limit_s
        return Attempts(self, request, service, deadline_at_s, new_connection)


class Attempts:
    """Sends one request to upstreams and tracks whether it can have run.

    Attributes:
        deadline_at_s: Deadline in seconds of trio's clock.
        possibly_run_attempts: Number of attempts of which a byte can have
            reached an upstream.
        upstream: Name of the upstream of the last attempt; empty before the
            first one.
        in_progress: Whether an attempt of an at-most-once request is running.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        request: model.SteeredRequest,
        service: model.Service,
        deadline_at_s: float,
        new_connection: bool,
    ) -> None:
        self.dispatcher = dispatcher
        self.request = request
        self.service = service
        self.deadline_at_s = deadline_at_s
        self.new_connection = new_connection
        self.possibly_run_attempts = 0
        self.in_progress = False
        self.upstream = ""

    @property
    def not_run(self) -> bool:
        """Whether no byte of the request can have reached an upstream."""
        return not self.possibly_run_attempts

    def request_for_steering(self) -> model.SteeredRequest:
        """Returns the request with its remaining time as the deadline."""
        return attrs.evolve(self.request, deadline_s=self._remaining_s())

    async def fetch_answer(self, record: model.UpstreamRecord) -> model.Answer:
        """Sends the request and returns the complete answer.

        Args:
            record: Upstream to send the request to.

        Raises:
            UpstreamError: The answer is incomplete or too large.
            SteeringError: The share of the link to the upstream is exhausted.
        """
        expected_bytes = HEAD_BYTES + self.service.expected_answer_bytes
        answer_reservation = await self._reserve(
            record.region, self.dispatcher.region, expected_bytes
        )
        body = bytearray()
        try:
            head = await self._receive_answer(record, body)
        finally:
            self._settle(answer_reservation, HEAD_BYTES + len(body))
        if self.request.method != "HEAD":
            head = model.AnswerHead(head.status, head.headers, len(body))
        return model.Answer(head, bytes(body))

    async def stream_answer(
        self, record: model.UpstreamRecord, reply: ports.ReplyWriter
    ) -> ports.UpstreamError | None:
        """Sends the request and forwards the answer chunk by chunk.

        Args:
            record: Upstream to send the request to.
            reply: Receives the answer.

        Returns:
            The error that truncated the answer, or None. It is not raised,
            because the reply has been started and a retry could not replace
            it.

        Raises:
            UpstreamError: The upstream sent no head of an answer.
            SteeringError: The share of the link to the upstream is exhausted.
        """
        answer = await self._send(record)
        try:
            await reply.start(answer.head)
            async with contextlib.aclosing(answer.chunks()) as chunks:  # type: ignore[type-var]
                async for chunk in chunks:
                    await self._pace(record, len(chunk))
                    await reply.write(chunk)
        except ports.UpstreamError as error:
            self._record_result(record, False)
            return error
        finally:
            await answer.aclose()
        self._record_result(record, True)
        return None

    async def _receive_answer(
        self, record: model.UpstreamRecord, body: bytearray
    ) -> model.AnswerHead:
        """Appends the body of the answer to `body` and returns the head."""
        answer = await self._send(record)
        limit = self.service.max_answer_bytes
        try:
            async with contextlib.aclosing(answer.chunks()) as chunks:  # type: ignore[type-var]
                async for chunk in chunks:
                    body += chunk
                    if len(body) > limit:
                        raise _answer_too_large(record, limit)
        except ports.UpstreamError as error:
            self._record_result(record, error.code == _errors.ANSWER_TOO_LARGE)
            raise
        finally:
            await answer.aclose()
        self._record_result(record, True)
        return answer.head

    async def _send(self, record: model.UpstreamRecord) -> ports.UpstreamAnswer:
        request_bytes = HEAD_BYTES + len(self.request.body)
        request_reservation = await self._reserve(
            self.dispatcher.region, record.region, request_bytes
        )
        self.upstream = record.upstream
        # Counted before sending, because a cancelled send may have reached
        # the upstream.
        self.possibly_run_attempts += 1
        try:
            return await self.dispatcher.client.send(
                record,
                self.request,
                timeout_s=self._remaining_s(),
                new_connection=self.new_connection,
            )
        except ports.UpstreamError as error:
            if error.not_run:
                self.possibly_run_attempts -= 1
                self._settle(request_reservation, 0)
            self._record_result(record, False)
            raise

    async def _reserve(self, source: str, target: str, size: int) -> Any:
        links = self.dispatcher.links
        if links is None or source == target:
            return None
        bulk = self.service.traffic_class is model.TrafficClass.BULK
        return await links.reserve(source, target, size, bulk=bulk)

    def _settle(self, reservation: Any, size: int) -> None:
        links = self.dispatcher.links
        if links is not None and reservation is not None:
            links.settle(reservation, size)

    async def _pace(self, record: model.UpstreamRecord, size: int) -> None:
        links, region = self.dispatcher.links, self.dispatcher.region
        if links is not None and record.region != region:
            await links.pace(record.region, region, size, bulk=True)

    def _remaining_s(self) -> float:
        return max(0.0, self.deadline_at_s - trio.current_time())

    def _record_result(
        self, record: model.UpstreamRecord, succeeded: bool
    ) -> None:
        self.dispatcher.registry.record_dispatch_result(
            record.upstream, succeeded
        )


@contextlib.contextmanager
def enforce_deadline(attempts: Attempts) -> Iterator[None]:
    """Cancels the attempts at their deadline and converts their errors.

    The raised error states whether any attempt may have run.

    Raises:
        ServingError: The deadline has passed or the attempts failed.
    """
    try:
        with trio.CancelScope(deadline=attempts.deadline_at_s) as scope:
            yield
    except errors.GuavapulleyError as error:
        # Only the attempts track which bytes were sent.
        raise _errors.ServingError(
            error.code,
            error.message,
            not_run=attempts.not_run,
            **error.details,
        ) from error
    if scope.cancelled_caught:
        raise _errors.ServingError(
            steering.DEADLINE_EXCEEDED,
            "the request was not answered within its deadline",
            not_run=attempts.not_run,
        )


def _answer_too_large(
    record: model.UpstreamRecord, max_bytes: int
) -> ports.UpstreamError:
    return ports.UpstreamError(
        _errors.ANSWER_TOO_LARGE,
        f"the answer of {record.upstream} exceeds {max_bytes} bytes",
        not_run=False,
    )
