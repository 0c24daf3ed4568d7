"""Attempts of one request at upstreams."""

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

# Charged to a link for the heads of a request and of its answer.
HEAD_BYTES = 1_024


class Dispatcher:
    """Makes the attempts of requests.

    Args:
        client: Sends requests to upstreams.
        registry: Is told whether dispatches succeed.
        region: Region of this entry.
        links: Shares of links; None when no link is limited.
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

    def attempts(
        self,
        request: model.SteeredRequest,
        service: model.Service,
        *,
        new_connection: bool = False,
    ) -> "Attempts":
        """Returns the attempts of a request; its deadline starts now.

        Args:
            request: The request.
            service: Its service.
            new_connection: Whether to avoid pooled connections.
        """
        limit_s = service.deadline_ms / 1_000
        if request.deadline_s is not None:
            limit_s = min(limit_s, request.deadline_s)
        ends_at_s = trio.current_time() + limit_s
        return Attempts(self, request, service, ends_at_s, new_connection)


class Attempts:
    """Sends one request to upstreams and knows whether any can have run it.

    Attributes:
        ends_at_s: Deadline on trio's clock.
        uncertain: Attempts of which a byte can have reached an upstream.
        upstream: Upstream of the last attempt; empty before the first.
        busy: Whether the only attempt of a once request is being made.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        request: model.SteeredRequest,
        service: model.Service,
        ends_at_s: float,
        new_connection: bool,
    ) -> None:
        self.dispatcher = dispatcher
        self.request = request
        self.service = service
        self.ends_at_s = ends_at_s
        self.new_connection = new_connection
        self.uncertain = 0
        self.busy = False
        self.upstream = ""

    @property
    def not_run(self) -> bool:
        """Whether no byte of the request can have reached an upstream."""
        return not self.uncertain

    def steered(self) -> model.SteeredRequest:
        """Returns the request with the time that is left, for steering."""
        return attrs.evolve(self.request, deadline_s=self._left_s())

    async def whole(self, record: model.UpstreamRecord) -> model.Answer:
        """Returns the whole answer of an upstream.

        Raises:
            UpstreamError: There is no whole answer, or it is too large.
            SteeringError: The link to the upstream is used up.
        """
        expected = HEAD_BYTES + self.service.expected_answer_bytes
        back = await self._reserve(
            record.region, self.dispatcher.region, expected
        )
        body = bytearray()
        try:
            head = await self._collect(record, body)
        finally:
            self._settle(back, HEAD_BYTES + len(body))
        if self.request.method != "HEAD":
            head = model.AnswerHead(head.status, head.headers, len(body))
        return model.Answer(head, bytes(body))

    async def streamed(
        self, record: model.UpstreamRecord, reply: ports.ReplyWriter
    ) -> ports.UpstreamError | None:
        """Passes an answer on chunk by chunk.

        Args:
            record: Where to send the request.
            reply: Receives the answer.

        Returns:
            The error that cut the answer off. It is not raised, because the
            reply has been started and must not be tried again.

        Raises:
            UpstreamError: There is no head.
            SteeringError: The link to the upstream is used up.
        """
        answer = await self._open(record)
        try:
            await reply.start(answer.head)
            async with contextlib.aclosing(answer.chunks()) as chunks:  # type: ignore[type-var]
                async for chunk in chunks:
                    await self._pace(record, len(chunk))
                    await reply.write(chunk)
        except ports.UpstreamError as error:
            self._note(record, False)
            return error
        finally:
            await answer.aclose()
        self._note(record, True)
        return None

    async def _collect(
        self, record: model.UpstreamRecord, body: bytearray
    ) -> model.AnswerHead:
        answer = await self._open(record)
        limit = self.service.max_answer_bytes
        try:
            async with contextlib.aclosing(answer.chunks()) as chunks:  # type: ignore[type-var]
                async for chunk in chunks:
                    body += chunk
                    if len(body) > limit:
                        raise _too_large(record, limit)
        except ports.UpstreamError as error:
            self._note(record, error.code == _errors.ANSWER_TOO_LARGE)
            raise
        finally:
            await answer.aclose()
        self._note(record, True)
        return answer.head

    async def _open(self, record: model.UpstreamRecord) -> ports.UpstreamAnswer:
        sent = HEAD_BYTES + len(self.request.body)
        out = await self._reserve(self.dispatcher.region, record.region, sent)
        self.upstream = record.upstream
        # Counted before the send, because a cancelled one may have run.
        self.uncertain += 1
        try:
            return await self.dispatcher.client.send(
                record,
                self.request,
                timeout_s=self._left_s(),
                new_connection=self.new_connection,
            )
        except ports.UpstreamError as error:
            if error.not_run:
                self.uncertain -= 1
                self._settle(out, 0)
            self._note(record, False)
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

    def _left_s(self) -> float:
        return max(0.0, self.ends_at_s - trio.current_time())

    def _note(self, record: model.UpstreamRecord, succeeded: bool) -> None:
        self.dispatcher.registry.note_dispatch(record.upstream, succeeded)


@contextlib.contextmanager
def within_deadline(attempts: Attempts) -> Iterator[None]:
    """Ends the attempts at their deadline and tells whether any may have run.

    Raises:
        ServingError: The deadline has passed or the attempts failed.
    """
    try:
        with trio.CancelScope(deadline=attempts.ends_at_s) as scope:
            yield
    except errors.GuavapulleyError as error:
        # Only the attempts know which bytes were sent.
        raise _errors.ServingError(
            error.code,
            error.message,
            not_run=attempts.not_run,
            **error.details,
        ) from error
    if scope.cancelled_caught:
        raise _errors.ServingError(
            steering.DEADLINE_EXCEEDED,
            "there was no answer within the deadline",
            not_run=attempts.not_run,
        )


def _too_large(
    record: model.UpstreamRecord, max_bytes: int
) -> ports.UpstreamError:
    return ports.UpstreamError(
        _errors.ANSWER_TOO_LARGE,
        f"the answer of {record.upstream} exceeds {max_bytes} bytes",
        not_run=False,
    )
