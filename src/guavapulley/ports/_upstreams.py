"""Dispatch to upstreams and replies to callers."""

from collections.abc import AsyncIterator
from typing import Protocol

from guavapulley import model


class UpstreamAnswer(Protocol):
    """An answer that is being received.

    Attributes:
        head: Status and headers.
    """

    head: model.AnswerHead

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body.

        Raises:
            UpstreamError: The body ended before its declared end.
        """

    async def aclose(self) -> None:
        """Ends the answer; an incomplete one closes its connection."""


class UpstreamClient(Protocol):
    """Sends requests to upstreams.

    Cancelling `send` or the reading of chunks closes the connection, so that
    the upstream can stop working on the request.
    """

    async def send(
        self,
        upstream: model.UpstreamRecord,
        request: model.SteeredRequest,
        *,
        timeout_s: float,
        new_connection: bool = False,
    ) -> UpstreamAnswer:
        """Sends a request and returns its answer once the head is there.

        Args:
            upstream: Where to send it.
            request: The request.
            timeout_s: Longest wait for the head; passed on as the deadline.
            new_connection: Never use a pooled connection, so that a failed
                connect proves that nothing was sent.

        Raises:
            UpstreamError: No whole head was received; `not_run` tells whether
                the request can have reached the upstream.
        """


class ReplyWriter(Protocol):
    """Writes the reply to a caller."""

    async def start(self, head: model.AnswerHead) -> None:
        """Sends status and headers."""

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body; waits while the caller is slow.

        Raises:
            trio.BrokenResourceError: The caller is gone.
        """


class RequestHandler(Protocol):
    """Handles requests of callers."""

    async def handle(
        self, request: model.SteeredRequest, reply: ReplyWriter
    ) -> None:
        """Answers one request; returns when the reply is whole."""
