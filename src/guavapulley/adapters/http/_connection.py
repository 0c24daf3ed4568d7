"""A connection to an upstream; its methods block and run in threads."""

from collections.abc import Iterator
import contextlib
from http import client
import socket
import threading
import time
from typing import Any
from typing import cast

import attrs
import urllib3
from urllib3 import connection
from urllib3 import exceptions

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http import _headers

# Regions connect within 100 ms. A lost SYN is sent again only after 1 s; by
# then another upstream can have answered, because a failed connect is certain
# not to have run anything.
CONNECT_TIMEOUT_S = 0.5
CHUNK_BYTES = 65_536
# A body up to this size is read together with the head, in one thread call.
PREFETCH_BYTES = 65_536

_ERRORS = (OSError, exceptions.HTTPError, ValueError, client.HTTPException)


class _Response(client.HTTPResponse):
    """Notices bytes after its end that are in the buffer of its reader.

    The buffer is dropped with the response, so that a check of the socket
    before the next request would miss them.
    """

    left_over = False

    def __init__(self, sock: socket.socket, *args: Any, **named: Any) -> None:
        super().__init__(sock, *args, **named)
        self.sock = sock

    def _close_conn(self) -> None:
        with contextlib.suppress(OSError, ValueError):
            self.sock.settimeout(0)
            self.left_over = bool(self.fp.peek(1))
        super()._close_conn()  # type: ignore[misc]


class _CountingConnection(connection.HTTPConnection):
    """Knows whether any byte of the current request may have been sent.

    Once `aborted` is set under the lock, no further byte is sent, so that
    `sent_any` is final.
    """

    response_class = _Response
    sent_any = False
    aborted = False

    def __init__(self, address: model.NodeAddress) -> None:
        super().__init__(address.host, address.port)
        self.lock = threading.Lock()

    def send(self, data: Any) -> None:
        with self.lock:
            if self.aborted:
                raise ConnectionAbortedError("the request was cancelled")
            self.sent_any = True
        super().send(data)


@attrs.frozen
class Dispatch:
    """A request as it is sent.

    Attributes:
        method: HTTP method.
        target: Path and query, percent-encoded.
        headers: Headers to send.
        body: Whole body.
        request_id: ID that the answer must echo.
        timeout_s: Longest wait for the head, in seconds.
    """

    method: str
    target: str
    headers: model.Headers
    body: bytes
    request_id: str
    timeout_s: float


class UpstreamConnection:
    """One connection with at most one request at a time.

    A cancelled request shuts the socket down; the thread that blocks on it
    then fails and closes it. Only that thread closes the socket, because a
    closed descriptor could be taken by another connection at once.

    Attributes:
        idle_since_s: Time of the last checkin on trio's clock.
        requests: Requests sent so far.
        reusable: Whether the connection can carry another request.
    """

    def __init__(self, address: model.NodeAddress) -> None:
        self.http = _CountingConnection(address)
        self.socket: socket.socket | None = None
        self.response: urllib3.HTTPResponse | None = None
        self.lock = self.http.lock
        self.busy = False
        self.idle_since_s = 0.0
        self.requests = 0
        self.reusable = False

    def exchange(self, dispatch: Dispatch) -> tuple[model.AnswerHead, bytes]:
        """Sends a request and reads the head and, if short, the body.

        Returns:
            The head, and the body when it was short; `complete` tells whether
            the body has been read.

        Raises:
            UpstreamError: No whole head was received.
        """
        try:
            with self._busy():
                self._send(dispatch)
                head = self._receive_head(dispatch)
                return head, self._prefetch(head)
        except _ERRORS as error:
            raise self._error(error) from error

    def read(self) -> bytes:
        """Reads the next part of the body; empty at its end.

        Raises:
            UpstreamError: The body ended before its declared end.
        """
        try:
            with self._busy():
                return self._read()
        except _ERRORS as error:
            raise self._error(error) from error

    @property
    def complete(self) -> bool:
        """Whether the whole answer has been received."""
        return self.response is None

    @property
    def keepable(self) -> bool:
        """Whether another request can use the connection."""
        return self.complete and self.reusable and not self.http.aborted

    @property
    def not_run(self) -> bool:
        """Whether no byte of the request has been sent; final after abort."""
        return not self.http.sent_any

    def renew(self) -> None:
        """Prepares for the next request."""
        self.http.sent_any = False
        self.reusable = False

    def has_unread_bytes(self) -> bool:
        """Whether the idle socket is closed or holds unexpected bytes."""
        return not self.http.is_connected

    def abort(self) -> None:
        """Ends the request; callable from any thread."""
        with self.lock:
            self.http.aborted = True
            self.reusable = False
            if not self.busy:
                self._close()
            elif self.socket is not None:
                with contextlib.suppress(OSError):
                    self.socket.shutdown(socket.SHUT_RDWR)

    @contextlib.contextmanager
    def _busy(self) -> Iterator[None]:
        with self.lock:
            self.busy = True
        try:
            if self.http.aborted:
                raise ConnectionAbortedError("the request was cancelled")
            yield
        except BaseException:
            self.http.aborted = True
            raise
        finally:
            with self.lock:
                self.busy = False
                if self.http.aborted:
                    self._close()

    def _close(self) -> None:
        with contextlib.suppress(OSError):
            self.http.close()
        if self.response is not None:
            with contextlib.suppress(*_ERRORS):
                self.response.close()

    def _send(self, dispatch: Dispatch) -> None:
        ends_at = time.monotonic() + dispatch.timeout_s
        if self.http.sock is None:
            self.http.timeout = min(CONNECT_TIMEOUT_S, dispatch.timeout_s)
            self.http.connect()
            self.socket = self.http.sock
        self.http.timeout = max(0.001, ends_at - time.monotonic())
        self.requests += 1
        headers = urllib3.HTTPHeaderDict()
        for name, value in dispatch.headers:
            headers.add(name, value)
        self.http.request(
            dispatch.method,
            dispatch.target,
            dispatch.body or None,
            headers,
            preload_content=False,
            decode_content=False,
        )

    def _receive_head(self, dispatch: Dispatch) -> model.AnswerHead:
        response = self.http.getresponse()
        self.response = response
        echoed = response.headers.get(_headers.REQUEST_ID)
        first = self.requests == 1
        if echoed != dispatch.request_id and not (first and echoed is None):
            raise _WrongAnswerError(f"answer to request {echoed}")
        if response.status < 200:
            raise exceptions.HTTPError(f"unexpected status {response.status}")
        length = response.length_remaining
        if length is None and not response.chunked:
            raise exceptions.HTTPError("the answer declares no length")
        # An upstream that does not echo IDs gets a new connection each time,
        # because only there the answer certainly belongs to the request.
        self.reusable = echoed is not None
        pairs = tuple(_headers.end_to_end(response.headers.items()))
        declared = response.headers.get("Content-Length")
        if dispatch.method == "HEAD" and declared is not None:
            length = int(declared)
        return model.AnswerHead(response.status, pairs, length)

    def _prefetch(self, head: model.AnswerHead) -> bytes:
        assert self.response is not None
        length = self.response.length_remaining
        if length is None or length > PREFETCH_BYTES:
            return b""
        parts = []
        while self.response is not None:
            parts.append(self._read())
        return b"".join(parts)

    def _read(self) -> bytes:
        if self.response is None:
            return b""
        data = self.response.read1(CHUNK_BYTES, decode_content=False)
        if not data or self.response.length_remaining == 0:
            self.response.close()
            raw = cast(_Response, self.response._original_response)
            self.response = None
            if raw.left_over or self.http.is_closed:
                self.reusable = False
        return data

    def _error(self, error: Exception) -> ports.UpstreamError:
        host = f"{self.http.host}:{self.http.port}"
        if isinstance(error, _WrongAnswerError):
            return ports.UpstreamError(
                ports.UPSTREAM_WRONG_ANSWER, f"{host}: {error}", not_run=False
            )
        return broken(self.not_run, f"{host}: {error}")


def broken(not_run: bool, message: str) -> ports.UpstreamError:
    """Returns the error for an answer that did not arrive."""
    code = ports.UPSTREAM_NOT_REACHED if not_run else ports.UPSTREAM_BROKEN
    return ports.UpstreamError(code, message, not_run=not_run)


class _WrongAnswerError(exceptions.HTTPError):
    """The answer belongs to another request."""
