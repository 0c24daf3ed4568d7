"""One request between a worker thread and its trio task."""

from collections.abc import Iterator
import contextlib
import math

import attrs
import trio

from guavapulley import errors
from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http import _errors

# Chunks that a handler may be ahead of a slow caller.
CHUNKS_AHEAD = 4


@attrs.frozen
class Batch:
    """Parts of a reply in their order.

    Attributes:
        parts: Head first, then chunks of the body.
        done: Whether the reply is whole.
        broken: Whether the reply ended early; the caller must see that.
    """

    parts: tuple[model.AnswerHead | bytes, ...]
    done: bool = False
    broken: bool = False


class _EndOfReply:
    """Marks that the handler has returned and the reply is whole."""


_END = _EndOfReply()
_Part = model.AnswerHead | bytes | _EndOfReply


class ChannelReplyWriter:
    """`ports.ReplyWriter` over the channel to the worker thread.

    Attributes:
        started: Whether the head has been written.
    """

    def __init__(
        self, channel: trio.MemorySendChannel[_Part], bodyless: bool
    ) -> None:
        self.channel = channel
        self.bodyless = bodyless
        self.started = False
        self.expected: float = math.inf
        self.written = 0

    async def start(self, head: model.AnswerHead) -> None:
        """Hands the head over; see `ports.ReplyWriter`."""
        self.started = True
        if head.length is not None:
            self.expected = head.length
        await self._send(head)

    async def write(self, chunk: bytes) -> None:
        """Hands a chunk over; see `ports.ReplyWriter`."""
        self.written += len(chunk)
        if chunk and not self.bodyless:
            await self._send(chunk)

    async def finish(self) -> None:
        """Marks the reply as whole unless it is shorter than declared."""
        exact = self.expected in (self.written, math.inf)
        if self.started and (exact or self.bodyless):
            await self._send(_END)

    async def _send(self, part: _Part) -> None:
        # Without a checkpoint between head, body and end, the worker thread
        # is woken up once for a short reply.
        try:
            self.channel.send_nowait(part)
        except trio.WouldBlock:
            await self.channel.send(part)


class Exchange:
    """Runs the handler of one request and collects its reply."""

    def __init__(
        self,
        request: model.HttpRequest,
        handler: ports.HttpHandler,
        events: ports.EventLog,
    ) -> None:
        self.request = request
        self.handler = handler
        self.events = events
        send, receive = trio.open_memory_channel[_Part](CHUNKS_AHEAD)
        self.send = send
        self.receive = receive
        self.writer = ChannelReplyWriter(send, request.method == "HEAD")

    async def run(self) -> None:
        """Handles the request; always closes the channel."""
        with self.send, contextlib.suppress(trio.BrokenResourceError):
            try:
                await self.handler.handle(self.request, self.writer)
            except errors.GuavapulleyError as error:
                self._report(error.code, error)
                await self._fail(_errors.error_answer(error))
            except trio.BrokenResourceError:
                self.events.write("http:caller_gone", path=self.request.path)
            except Exception as error:  # one request must not end the others
                self._report(_errors.INTERNAL_ERROR, error)
                await self._fail(_errors.internal_error_answer())
            else:
                await self.writer.finish()

    async def more(self) -> Batch:
        """Waits for the next parts and returns all that are ready."""
        try:
            parts = [await self.receive.receive(), *self._ready()]
        except trio.EndOfChannel:
            return Batch((), done=True, broken=True)
        kept = tuple(p for p in parts if not isinstance(p, _EndOfReply))
        return Batch(kept, done=len(kept) < len(parts))

    async def abandon(self) -> None:
        """Tells the handler that the caller is gone."""
        self.receive.close()

    def _ready(self) -> Iterator[_Part]:
        with contextlib.suppress(trio.WouldBlock, trio.EndOfChannel):
            while True:
                yield self.receive.receive_nowait()

    async def _fail(self, answer: model.Answer) -> None:
        if not self.writer.started:
            await _errors.send_answer(self.writer, answer)
            await self.writer.finish()

    def _report(self, code: str, error: Exception) -> None:
        details = getattr(error, "details", {})
        self.events.write(
            "http:request_failed",
            code=code,
            path=self.request.path,
            request_id=details.get("request_id", ""),
            reason=repr(error),
        )
