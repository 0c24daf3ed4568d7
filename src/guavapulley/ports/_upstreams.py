"""The ports for streamed requests to upstreams and replies to callers."""

from collections.abc import AsyncIterator
from typing import Protocol

from guavapulley import model


class UpstreamAnswer(Protocol):
    """An answer whose body is being received.

    Attributes:
        head: Status and headers of the answer.
    """

    head: model.AnswerHead

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body in chunks.

        Raises:
            UpstreamError: The body is shorter than declared.
        """

    async def aclose(self) -> None:
        """Closes the answer, and its connection if the body is incomplete."""


class UpstreamClient(Protocol):
    """Sends requests to upstreams.

    Cancelling `send` or the iteration over chunks closes the connection, so
    that the upstream can stop working on the request.
    """

    async def send(
        self,
        upstream: model.UpstreamRecord,
        request: model.SteeredRequest,
        *,
        timeout_s: float,
        new_connection: bool = False,
    ) -> UpstreamAnswer:
        """Sends a request and returns the answer once its head is received.

        Args:
            upstream: Upstream to call.
            request: Request to send.
            timeout_s: Timeout for the head in seconds; sent to the upstream as
                the deadline.
            new_connection: Whether to bypass the connection pool. With a new
                connection a failed connect proves that nothing was sent.

        Raises:
            UpstreamError: No complete head was received. Unless `not_run` is
                set, the request may have reached the upstream.
        """


class ReplyWriter(Protocol):
    """Writes the reply to a caller."""

    async def start(self, head: model.AnswerHead) -> None:
        """Sends the status and the headers."""

    async def write(self, chunk: bytes) -> None:
        """Sends a chunk of the body; waits while the caller reads slowly.

        Raises:
            trio.BrokenResourceError: The caller closed the connection.
        """


class RequestHandler(Protocol):
    """Handles requests from callers."""

    async def handle(
        self, request: model.SteeredRequest, reply: ReplyWriter
    ) -> None:
        """Answers a request and returns when the reply is complete."""
