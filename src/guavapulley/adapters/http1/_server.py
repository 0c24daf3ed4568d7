"""HTTP server with one task for each connection and one for each request."""

from collections import deque
from collections.abc import Callable
from typing import Protocol

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http1 import _body_budget
from guavapulley.adapters.http1 import _parsing
from guavapulley.adapters.http1 import _writing

RECEIVE_BYTES = 65_536
BACKLOG = 1_024
MAX_PIPELINED = 32
# Limit on sending one answer; the connection of a slower caller is closed.
WRITE_TIMEOUT_S = 20.0
# Idle connections are closed this time after the idle timeout, as callers may
# use them until just before it.
IDLE_MARGIN_S = 1.0
# Time in which the caller can read the last answer before a reset.
LINGER_S = 0.5

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class AnswerHandler(Protocol):
    """Answers complete requests."""

    async def answer(self, request: model.HttpRequest) -> model.Answer:
        """Returns the answer; cancelled when the caller disconnects."""

    def may_overlap(self, request: model.HttpRequest) -> bool:
        """Returns whether a request may run at the same time as earlier ones.

        Earlier ones are requests that were pipelined on the same connection.
        """


@attrs.define
class ServerState:
    """State that all connections of a server share.

    Attributes:
        stopping: Whether each answer closes its connection.
        idle_closing: Event that closes idle connections.
        body_budget: Limit on the bodies of all requests being received.
        unsent: Number of requests whose answers have not been sent.
        all_sent: Set, and replaced, when there is none.
    """

    stopping: bool = False
    idle_closing: trio.Event = attrs.field(factory=trio.Event)
    body_budget: _body_budget.BodyBudget = attrs.field(
        factory=_body_budget.BodyBudget
    )
    unsent: int = 0
    all_sent: trio.Event = attrs.field(factory=trio.Event)

    def record_ended(self, count: int) -> None:
        """Records requests whose answers were sent or are not wanted."""
        self.unsent -= count
        if not self.unsent:
            self.all_sent.set()
            self.all_sent = trio.Event()

    async def wait_sent(self) -> None:
        """Returns once all answers have been sent."""
        while self.unsent:
            await self.all_sent.wait()


@attrs.define(eq=False)
class _Exchange:
    """A request and, once `answered` is set, its answer."""

    parsed: _parsing.ParsedRequest
    answered: trio.Event = attrs.field(factory=trio.Event)
    answer: model.Answer | None = None
    sent: trio.Event = attrs.field(factory=trio.Event)


class _Connection:
    """A connection of a caller."""

    def __init__(
        self,
        stream: trio.SocketStream,
        handler: AnswerHandler,
        get_limits: Callable[[], model.CallerLimits],
        state: ServerState,
        events: ports.EventLog,
    ) -> None:
        self.stream = stream
        self.handler = handler
        self.get_limits = get_limits
        self.state = state
        self.events = events
        peer_address = stream.socket.getpeername()
        self.parser = _parsing.RequestParser(
            _message_limits(get_limits()),
            peer_address[0],
            state.body_budget,
        )
        self.queue: deque[_Exchange] = deque()
        self.changed = trio.Event()
        self.closing = False
        self.last_used_at_s = trio.current_time()

    async def run(self) -> None:
        """Serves requests until either side closes the connection."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write)
                nursery.start_soon(self._close_idle, nursery)
                await self._read(nursery)
                # The caller has disconnected; its requests are cancelled.
                nursery.cancel_scope.cancel()
        except* (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
        ):
            pass  # The caller has disconnected or is too slow.
        except* Exception as group:  # an error must not end other connections
            self.events.write("http:connection_failed", reason=repr(group))
        finally:
            self.state.record_ended(len(self.queue))
            self.parser.discard_body()
            self.stream.socket.close()

    async def _read(self, nursery: trio.Nursery) -> None:
        """Reads requests until the caller closes the connection."""
        while True:
            data = await self._receive()
            if data is None:
                return
            if self.closing:
                continue  # Unread bytes would turn the close into a reset.
            if not self.parser.message_begun:
                self.parser.limits = _message_limits(self.get_limits())
            try:
                for parsed in self.parser.feed(data):
                    await self._accept(nursery, parsed)
            except _parsing.MessageError as error:
                self._refuse(error)
            if self.parser.should_send_continue():
                await self.stream.send_all(CONTINUE)

    async def _receive(self) -> bytes | None:
        """Returns the next bytes, or None at the end of the connection."""
        message_begun = self.parser.message_begun
        timeout_s = (
            self.get_limits().header_timeout_s
            if message_begun and not self.parser.head_complete
            else float("inf")
        )
        with trio.move_on_after(timeout_s):
            return await self.stream.receive_some(RECEIVE_BYTES) or None
        self._refuse(_parsing.MessageError(408, "the head did not arrive"))
        return b" "

    async def _accept(
        self, nursery: trio.Nursery, parsed: _parsing.ParsedRequest
    ) -> None:
        while len(self.queue) >= MAX_PIPELINED:
            await self.queue[0].sent.wait()
        exchange = _Exchange(parsed)
        earlier = list(self.queue)
        self._enqueue(exchange)
        nursery.start_soon(self._answer, exchange, earlier)
        if not parsed.keep_alive:
            self.closing = True

    def _refuse(self, error: _parsing.MessageError) -> None:
        """Queues an error answer that ends the connection."""
        if self.closing:
            return
        request = _parsing.ParsedRequest(model.HttpRequest("GET", "/"), False)
        exchange = _Exchange(request)
        exchange.answer = model.Answer(
            model.AnswerHead(error.status), str(error).encode()
        )
        exchange.answered.set()
        self._enqueue(exchange)
        self.closing = True

    def _enqueue(self, exchange: _Exchange) -> None:
        self.queue.append(exchange)
        self.state.unsent += 1
        self.changed.set()
        self.changed = trio.Event()

    async def _answer(
        self, exchange: _Exchange, earlier: list[_Exchange]
    ) -> None:
        request = exchange.parsed.request
        if earlier and not self.handler.may_overlap(request):
            for predecessor in earlier:
                await predecessor.sent.wait()
        try:
            exchange.answer = await self.handler.answer(request)
        except Exception as error:  # an error must not end the process
            self.events.write("http:handler_failed", reason=repr(error))
            exchange.answer = model.Answer(model.AnswerHead(500))
        exchange.answered.set()

    async def _write(self) -> None:
        """Sends the answers in the order of the requests."""
        while True:
            while not self.queue:
                await self.changed.wait()
            exchange = self.queue[0]
            await exchange.answered.wait()
            assert exchange.answer is not None
            is_last = self.state.stopping or not exchange.parsed.keep_alive
            data = _writing.answer_bytes(
                exchange.answer, exchange.parsed.request.method, close=is_last
            )
            with trio.fail_after(WRITE_TIMEOUT_S):
                await self.stream.send_all(data)
            self.queue.popleft()
            self.state.record_ended(1)
            exchange.sent.set()
            self.last_used_at_s = trio.current_time()
            if is_last:
                await self._close_after_answer()

    async def _close_after_answer(self) -> None:
        """Closes the connection after the caller can read the last answer.

        Raises:
            ClosedResourceError: Always; it ends the task that writes.
        """
        self.closing = True
        await self.stream.send_eof()
        await trio.sleep(LINGER_S)
        self.stream.socket.close()
        raise trio.ClosedResourceError

    async def _close_idle(self, nursery: trio.Nursery) -> None:
        while True:
            idle_timeout_s = self.get_limits().idle_timeout_s + IDLE_MARGIN_S
            with trio.move_on_after(idle_timeout_s / 4):
                await self.state.idle_closing.wait()
            if self.queue or self.parser.message_begun:
                if self.state.idle_closing.is_set():
                    return  # The pending answer closes the connection.
                continue
            idle_s = trio.current_time() - self.last_used_at_s
            if self.state.idle_closing.is_set() or idle_s > idle_timeout_s:
                nursery.cancel_scope.cancel()
                return


def _message_limits(limits: model.CallerLimits) -> _parsing.MessageLimits:
    return _parsing.MessageLimits(
        limits.max_header_bytes, limits.max_body_bytes
    )


async def serve_http1(
    address: model.NodeAddress,
    handler: AnswerHandler,
    limits: Callable[[], model.CallerLimits],
    events: ports.EventLog,
    state: ServerState | None = None,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves callers until cancelled.

    Args:
        address: Address to listen on.
        handler: Answers the requests.
        limits: Returns the limits in force. Those on sizes apply to requests
            that begin later, also on open connections.
        events: Receives failures of connections and of the handler.
        state: Closes connections when the process stops; None for a state that
            never does.
        task_status: Notified once the server listens.

    Raises:
        OSError: The server cannot listen on the address.
    """
    server_state = state or ServerState()
    listeners = await trio.open_tcp_listeners(
        address.port, host=address.host, backlog=BACKLOG
    )

    async def serve(stream: trio.SocketStream) -> None:
        try:
            connection = _Connection(
                stream, handler, limits, server_state, events
            )
        except OSError:
            return  # The caller disconnected before the accept.
        await connection.run()

    task_status.started()
    await trio.serve_listeners(serve, listeners)
