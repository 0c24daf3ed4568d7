"""Exchange of a request and its reply between a worker thread and trio."""

from collections.abc import Iterator
import contextlib
import math

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http import _errors

# Parts of a reply that a handler may produce ahead of a slow caller.
MAX_BUFFERED_PARTS = 4


@attrs.frozen
class ReplyBatch:
    """Consecutive parts of a reply.

    Attributes:
        parts: The head, if it is part of the batch, then chunks of the body.
        is_complete: Whether no further parts follow.
        is_truncated: Whether the reply ended early, which the caller must be
            able to detect.
    """

    parts: tuple[model.AnswerHead | bytes, ...]
    is_complete: bool = False
    is_truncated: bool = False


class _EndOfReply:
    """Marks that the handler has returned and the reply is complete."""


_END_OF_REPLY = _EndOfReply()
_Part = model.AnswerHead | bytes | _EndOfReply


class ChannelReplyWriter:
    """Sends a reply to the worker thread; implements `ports.ReplyWriter`.

    Attributes:
        started: Whether the head has been written.
    """

    def __init__(
        self, channel: trio.MemorySendChannel[_Part], omit_body: bool
    ) -> None:
        self.channel = channel
        self.omit_body = omit_body
        self.started = False
        self.expected_bytes: float = math.inf
        self.written_bytes = 0

    async def start(self, head: model.AnswerHead) -> None:
        """Sends the head; see `ports.ReplyWriter`."""
        self.started = True
        if head.length is not None:
            self.expected_bytes = head.length
        await self._send(head)

    async def write(self, chunk: bytes) -> None:
        """Sends a chunk of the body; see `ports.ReplyWriter`."""
        self.written_bytes += len(chunk)
        if chunk and not self.omit_body:
            await self._send(chunk)

    async def finish(self) -> None:
        """Marks the reply as complete if it has its declared length."""
        exact = self.expected_bytes in (self.written_bytes, math.inf)
        if self.started and (exact or self.omit_body):
            await self._send(_END_OF_REPLY)

    async def _send(self, part: _Part) -> None:
        # Without a checkpoint between head, body and end, the worker thread
        # is woken only once for a short reply.
        try:
            self.channel.send_nowait(part)
        except trio.WouldBlock:
            await self.channel.send(part)


class Exchange:
    """Runs the handler of a request and passes its reply on in batches."""

    def __init__(
        self,
        request: model.HttpRequest,
        handler: ports.HttpHandler,
        events: ports.EventLog,
    ) -> None:
        self.request = request
        self.handler = handler
        self.events = events
        send_channel, receive_channel = trio.open_memory_channel[_Part](
            MAX_BUFFERED_PARTS
        )
        self.send_channel = send_channel
        self.receive_channel = receive_channel
        self.writer = ChannelReplyWriter(send_channel, request.method == "HEAD")

    async def run(self) -> None:
        """Handles the request; closes the channel in every case."""
        with self.send_channel, contextlib.suppress(trio.BrokenResourceError):
            try:
                await self.handler.handle(self.request, self.writer)
            except errors.GuavapulleyError as error:
                self._log_failure(error.code, error)
                await self._send_error(_errors.error_answer(error))
            except trio.BrokenResourceError:
                self.events.write("http:caller_gone", path=self.request.path)
            except Exception as error:  # an error must not end other requests
                self._log_failure(_errors.INTERNAL_ERROR, error)
                await self._send_error(_errors.internal_error_answer())
            else:
                await self.writer.finish()

    async def next_batch(self) -> ReplyBatch:
        """Waits for the next part and returns all parts that are ready."""
        try:
            parts = [await self.receive_channel.receive(), *self._ready_parts()]
        except trio.EndOfChannel:
            return ReplyBatch((), is_complete=True, is_truncated=True)
        reply_parts = tuple(
            part for part in parts if not isinstance(part, _EndOfReply)
        )
        return ReplyBatch(
            reply_parts, is_complete=len(reply_parts) < len(parts)
        )

    async def abandon(self) -> None:
        """Makes further writes of the handler fail; the caller is gone."""
        self.receive_channel.close()

    def _ready_parts(self) -> Iterator[_Part]:
        with contextlib.suppress(trio.WouldBlock, trio.EndOfChannel):
            while True:
                yield self.receive_channel.receive_nowait()

    async def _send_error(self, answer: model.Answer) -> None:
        if not self.writer.started:
            await _errors.send_answer(self.writer, answer)
            await self.writer.finish()

    def _log_failure(self, code: str, error: Exception) -> None:
        details = getattr(error, "details", {})
        self.events.write(
            "http:request_failed",
            code=code,
            path=self.request.path,
            request_id=details.get("request_id", ""),
            reason=repr(error),
        )
