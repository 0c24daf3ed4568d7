"""Client that exchanges messages with upstreams over pooled connections."""

import collections
from collections.abc import Callable
import socket as stdlib_socket
from typing import NamedTuple

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http1 import _body_budget
from guavapulley.adapters.http1 import _parsing
from guavapulley.adapters.http1 import _writing

RECEIVE_BYTES = 65_536
# Allows several round trips between regions.
CONNECT_TIMEOUT_S = 0.5
MAX_ANSWER_HEAD_BYTES = 65_536
MAX_ANSWER_BODY_BYTES = 64 * 1_048_576
# Connections are not reused in the last second before their idle timeout,
# because the upstream may close them while a request is in transit.
IDLE_MARGIN_S = 1.0
DEFAULT_IDLE_S = 4.0
MAX_IDLE_PER_UPSTREAM = 16
# Limit on the answers to earlier requests that one exchange skips.
MAX_LATE_ANSWERS = 4


@attrs.define(eq=False)
class _IdleConnection:
    """An idle connection.

    Attributes:
        stream: The connection.
        usable_until_s: Time on trio's clock until which it may be reused.
    """

    stream: trio.SocketStream
    usable_until_s: float


class _PoolKey(NamedTuple):
    """Identifies the upstream process to which connections are open."""

    upstream: str
    incarnation: int
    address: model.NodeAddress


def _pool_key(upstream: model.UpstreamRecord) -> _PoolKey:
    return _PoolKey(upstream.upstream, upstream.incarnation, upstream.address)


class Http1Client:
    """Exchanges complete messages with upstreams; a `ports.ExchangeClient`.

    Args:
        header_codec: Reads the request IDs of requests and answers.
        events: Receives an event for each answer to another request.
        body_budget: Limit on the bodies of all answers; None for the default.
    """

    def __init__(
        self,
        header_codec: ports.HeaderCodec,
        events: ports.EventLog,
        body_budget: _body_budget.BodyBudget | None = None,
    ) -> None:
        self.header_codec = header_codec
        self.events = events
        self.body_budget = body_budget or _body_budget.BodyBudget()
        self.idle: dict[_PoolKey, collections.deque[_IdleConnection]] = {}

    async def exchange(
        self,
        upstream: model.UpstreamRecord,
        request: model.HttpRequest,
        *,
        reuse_connection: bool,
        may_send: Callable[[], bool] = lambda: True,
    ) -> model.Answer:
        """Sends a request and returns its answer.

        See `ports.ExchangeClient`.
        """
        stream = self._acquire_idle(upstream) if reuse_connection else None
        pooled = stream is not None
        if stream is None:
            stream = await self._connect(upstream)
        try:
            if not may_send():
                raise ports.UpstreamError(
                    ports.UPSTREAM_WITHDRAWN,
                    f"{upstream.upstream} became unavailable",
                    not_run=True,
                )
            answer, idle_limit_s = await self._exchange(
                upstream, stream, request, pooled=pooled
            )
        except BaseException:
            stream.socket.close()
            raise
        if idle_limit_s > 0:
            self._release(upstream, stream, idle_limit_s)
        else:
            stream.socket.close()
        return answer

    def _acquire_idle(
        self, upstream: model.UpstreamRecord
    ) -> trio.SocketStream | None:
        """Returns a usable idle connection, or None without one."""
        connections = self.idle.get(_pool_key(upstream), collections.deque())
        while connections:
            connection = connections.pop()
            if (
                connection.usable_until_s > trio.current_time()
                and _is_open_and_silent(connection.stream)
            ):
                return connection.stream
            connection.stream.socket.close()
        return None

    def _release(
        self,
        upstream: model.UpstreamRecord,
        stream: trio.SocketStream,
        idle_limit_s: float,
    ) -> None:
        connections = self.idle.setdefault(
            _pool_key(upstream), collections.deque()
        )
        connections.append(
            _IdleConnection(stream, trio.current_time() + idle_limit_s)
        )
        if len(connections) > MAX_IDLE_PER_UPSTREAM:
            connections.popleft().stream.socket.close()

    def close_idle_except(
        self, upstreams: tuple[model.UpstreamRecord, ...]
    ) -> None:
        """Closes the idle connections to all upstreams but the given ones."""
        records = {upstream.upstream: upstream for upstream in upstreams}
        for key in list(self.idle):
            record = records.get(key.upstream)
            if record is None or _pool_key(record) != key:
                for connection in self.idle.pop(key):
                    connection.stream.socket.close()

    async def _connect(
        self, upstream: model.UpstreamRecord
    ) -> trio.SocketStream:
        address = upstream.address
        socket = trio.socket.socket()
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await socket.connect((address.host, address.port))
        except (OSError, trio.TooSlowError) as error:
            socket.close()
            raise ports.UpstreamError(
                ports.UPSTREAM_NOT_REACHED,
                f"{address}: {error!r}",
                not_run=True,
            ) from error
        except BaseException:
            socket.close()
            raise
        return trio.SocketStream(socket)

    async def _exchange(
        self,
        upstream: model.UpstreamRecord,
        stream: trio.SocketStream,
        request: model.HttpRequest,
        *,
        pooled: bool,
    ) -> tuple[model.Answer, float]:
        """Returns the answer and the connection's `_idle_limit_s`."""
        request_id = self.header_codec.caller_metadata(request).request_id
        limits = _parsing.MessageLimits(
            MAX_ANSWER_HEAD_BYTES, MAX_ANSWER_BODY_BYTES
        )
        parser = _parsing.AnswerParser(
            limits, self.body_budget, no_body=request.method == "HEAD"
        )
        late_answers = 0
        try:
            await stream.send_all(_writing.request_bytes(request))
            while late_answers <= MAX_LATE_ANSWERS:
                await self._receive(stream, parser)
                parsed = parser.complete.pop(0)
                metadata = self.header_codec.answer_metadata(parsed.answer.head)
                answered_id = metadata.request_id
                if answered_id == request_id or (
                    answered_id is None and not pooled
                ):
                    return parsed.answer, _idle_limit_s(parser, parsed)
                late_answers += 1
                self.events.write(
                    "upstream:late_answer",
                    upstream=upstream.upstream,
                    request_id=request_id,
                    answers=answered_id,
                )
        except trio.BrokenResourceError as error:
            raise _lost_answer_error(
                upstream, "the connection was lost"
            ) from error
        except _parsing.MessageError as error:
            raise _lost_answer_error(upstream, str(error)) from error
        finally:
            parser.discard_body()
        raise ports.UpstreamError(
            ports.UPSTREAM_WRONG_ANSWER,
            f"{upstream.upstream} answered only other requests",
            not_run=False,
        )

    async def _receive(
        self, stream: trio.SocketStream, parser: _parsing.AnswerParser
    ) -> None:
        """Receives bytes until the parser holds a complete answer."""
        while not parser.complete:
            if parser.has_invalid_bytes:
                raise _parsing.MessageError(
                    502, "invalid bytes instead of an answer"
                )
            data = await stream.receive_some(RECEIVE_BYTES)
            if data:
                parser.feed(data)
            else:
                parser.receive_eof()
            # Hundreds of exchanges that wait would keep as many buffers.
            del data


def _is_open_and_silent(stream: trio.SocketStream) -> bool:
    """Returns whether the peer has neither sent bytes nor closed."""
    raw_socket = stream.socket
    try:
        flags = stdlib_socket.MSG_PEEK | stdlib_socket.MSG_DONTWAIT
        raw_socket._sock.recv(1, flags)  # type: ignore[attr-defined]
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _idle_limit_s(
    parser: _parsing.AnswerParser, parsed: _parsing.ParsedAnswer
) -> float:
    """Returns the seconds during which the connection may be reused."""
    if not parsed.keep_alive or not parser.is_reusable():
        return 0.0
    if parsed.idle_timeout_s is None:
        return DEFAULT_IDLE_S
    return max(0.0, parsed.idle_timeout_s - IDLE_MARGIN_S)


def _lost_answer_error(
    upstream: model.UpstreamRecord, reason: str
) -> ports.UpstreamError:
    return ports.UpstreamError(
        ports.UPSTREAM_BROKEN,
        f"{upstream.upstream}: {reason}",
        not_run=False,
    )
