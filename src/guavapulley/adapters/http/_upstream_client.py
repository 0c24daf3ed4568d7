"""Client of upstreams with urllib3 in threads."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import functools
import math
from typing import TypeVar

import trio

from guavapulley import model
from guavapulley.adapters.http import _connection
from guavapulley.adapters.http import _headers
from guavapulley.adapters.http import _pool

T = TypeVar("T")

# More requests than all traffic classes admit together, so that none waits for
# a thread.
MAX_THREADS = 512
_REPLACED_HEADERS = frozenset(
    {_headers.REQUEST_ID.lower(), _headers.DEADLINE_MS.lower()}
)


def upstream_connection_limit(upstream: model.UpstreamRecord) -> int:
    """Returns the number of connections that an upstream accepts."""
    return upstream.max_connections


class PooledAnswer:
    """Answer on a pooled connection; implements `ports.UpstreamAnswer`."""

    def __init__(
        self,
        head: model.AnswerHead,
        prefetched: bytes,
        client: "UrllibUpstreamClient",
        address: model.NodeAddress,
        connection: _connection.UpstreamConnection,
    ) -> None:
        self.head = head
        self.prefetched = prefetched
        self.client = client
        self.address = address
        self.connection = connection
        self.closed = False
        if connection.complete:
            self._release()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; see `ports.UpstreamAnswer`."""
        if self.prefetched:
            yield self.prefetched
        while not self.closed:
            chunk = await self.client.run_in_thread(
                self.connection, self.connection.read
            )
            if self.connection.complete:
                self._release()
            if chunk:
                yield chunk

    async def aclose(self) -> None:
        """Releases the connection; see `ports.UpstreamAnswer`."""
        self._release()

    def _release(self) -> None:
        if not self.closed:
            self.closed = True
            self.client.pool.release(self.address, self.connection)


class UrllibUpstreamClient:
    """Client with pooled urllib3 connections; a `ports.UpstreamClient`.

    Args:
        connection_limit: Returns the number of connections that may be opened
            to an upstream.
        max_threads: Maximum number of concurrent requests.
    """

    def __init__(
        self,
        connection_limit: _pool.ConnectionLimit = upstream_connection_limit,
        max_threads: int = MAX_THREADS,
    ) -> None:
        self.pool = _pool.ConnectionPool(connection_limit)
        self.limiter = trio.CapacityLimiter(max_threads)

    async def send(
        self,
        upstream: model.UpstreamRecord,
        request: model.SteeredRequest,
        *,
        timeout_s: float,
        new_connection: bool = False,
    ) -> PooledAnswer:
        """Sends a request; see `ports.UpstreamClient`."""
        connection = self.pool.acquire(upstream, new_connection)
        exchange = functools.partial(
            connection.exchange, _outgoing_request(request, timeout_s)
        )
        try:
            with trio.fail_after(timeout_s):
                head, prefetched = await self.run_in_thread(
                    connection, exchange
                )
        except trio.TooSlowError as error:
            self.pool.discard(upstream.address, connection)
            raise _connection.lost_answer_error(
                connection.not_run,
                f"{upstream.upstream} did not answer in time",
            ) from error
        except BaseException:
            self.pool.discard(upstream.address, connection)
            raise
        return PooledAnswer(
            head, prefetched, self, upstream.address, connection
        )

    async def run_in_thread(
        self,
        connection: _connection.UpstreamConnection,
        function: Callable[[], T],
    ) -> T:
        """Runs a blocking function; cancelling shuts the socket down."""
        try:
            return await trio.to_thread.run_sync(
                function, limiter=self.limiter, abandon_on_cancel=True
            )
        except trio.Cancelled:
            connection.abort()
            raise

    def close(self) -> None:
        """Closes the idle connections."""
        self.pool.close()


def _outgoing_request(
    request: model.SteeredRequest, timeout_s: float
) -> _connection.OutgoingRequest:
    forwarded = (
        (name, value)
        for name, value in _headers.end_to_end_headers(request.headers)
        if name.lower() not in _REPLACED_HEADERS
    )
    deadline_ms = str(max(1, math.floor(timeout_s * 1_000)))
    return _connection.OutgoingRequest(
        request.method,
        request.path,
        (
            *forwarded,
            (_headers.REQUEST_ID, request.request_id),
            (_headers.DEADLINE_MS, deadline_ms),
        ),
        request.body,
        request.request_id,
        timeout_s,
    )
