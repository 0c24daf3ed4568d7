"""A connection to an upstream, with blocking methods that run in threads."""

from collections.abc import Iterator
import contextlib
from http import client
import re
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

# Connecting to another region takes at most 100 ms. A lost SYN is resent only
# after 1 s; by then another upstream can have answered, because a request whose
# connect failed has certainly not run.
CONNECT_TIMEOUT_S = 0.5
CHUNK_BYTES = 65_536
# Bodies up to this size are read in the same thread call as the head.
PREFETCH_BYTES = 65_536

# Lines of the head of an answer, with their line breaks.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}( [^\r\n]*)?\r?\n")
_HEADER_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*)?\r?\n")
_CONTINUATION_LINE = re.compile(rb"[ \t][^\r\n]*\r?\n")

_ERRORS = (OSError, exceptions.HTTPError, ValueError, client.HTTPException)


class _HeadReader:
    """Reads the lines of a head and checks each.

    `http.client` takes the end of the connection for the end of a head, ignores
    the headers behind a malformed line, and accepts any number as a status.

    Attributes:
        stream: The connection.
        next_lines: Patterns of which the next line matches one.
    """

    def __init__(self, stream: Any) -> None:
        self.stream = stream
        self.next_lines: tuple[re.Pattern[bytes], ...] = ()

    def expect_status_line(self) -> None:
        """Begins a head."""
        self.next_lines = (_STATUS_LINE,)

    def readline(self, limit: int) -> bytes:
        """Returns the next line; see `io.BufferedIOBase`.

        Raises:
            HTTPException: It is not a complete line of a head.
        """
        line = bytes(self.stream.readline(limit))
        is_valid = any(pattern.fullmatch(line) for pattern in self.next_lines)
        if len(line) < limit and not is_valid:
            raise client.HTTPException(f"not a line of a head: {line[:80]!r}")
        if self.next_lines == (_STATUS_LINE,):
            self.next_lines = (_HEADER_LINE,)
        else:
            self.next_lines = (_HEADER_LINE, _CONTINUATION_LINE)
        return line


class _Response(client.HTTPResponse):
    """A response with a strict head, which detects surplus bytes.

    The read buffer is discarded with the response, so a check of the socket
    before the next request would miss surplus bytes in it.

    Attributes:
        has_surplus_bytes: Whether bytes followed the end of the response.
    """

    has_surplus_bytes = False
    fp: Any

    def __init__(
        self, sock: socket.socket, *args: Any, **keywords: Any
    ) -> None:
        super().__init__(sock, *args, **keywords)
        self.sock = sock

    def begin(self) -> None:
        stream, self.fp = self.fp, _HeadReader(self.fp)
        try:
            super().begin()
        finally:
            self.fp = stream

    def _read_status(self) -> tuple[str, int, str]:
        self.fp.expect_status_line()
        status: tuple[str, int, str] = super()._read_status()  # type: ignore[misc]
        return status

    def _close_conn(self) -> None:
        with contextlib.suppress(OSError, ValueError):
            self.sock.settimeout(0)
            self.has_surplus_bytes = bool(self.fp.peek(1))
        super()._close_conn()  # type: ignore[misc]


class _SendTrackingConnection(connection.HTTPConnection):
    """Records whether any byte of the current request may have been sent.

    Once `aborted` is set under the lock, no further byte is sent, so that
    `any_byte_sent` is final.
    """

    response_class = _Response
    any_byte_sent = False
    aborted = False

    def __init__(self, address: model.NodeAddress) -> None:
        super().__init__(address.host, address.port)
        self.lock = threading.Lock()

    def send(self, data: Any) -> None:
        with self.lock:
            if self.aborted:
                raise ConnectionAbortedError("the request was cancelled")
            self.any_byte_sent = True
        super().send(data)


@attrs.frozen
class OutgoingRequest:
    """A request in the form in which it is sent.

    Attributes:
        method: HTTP method.
        target: Path and query, percent-encoded.
        headers: Headers to send.
        body: Complete body.
        request_id: ID that the answer must echo.
        timeout_s: Limit on the wait for the head, in seconds.
    """

    method: str
    target: str
    headers: model.Headers
    body: bytes
    request_id: str
    timeout_s: float


class UpstreamConnection:
    """A connection that carries at most one request at a time.

    Cancelling a request shuts the socket down; the thread that blocks on it
    then fails and closes it. Only that thread closes the socket, because the
    descriptor of a closed socket could immediately be reused by another
    connection.

    Attributes:
        idle_since_s: Time on trio's clock when it was last released to the
            pool.
        request_count: Number of requests sent so far.
        is_reusable: Whether the answer so far permits another request on the
            connection.
    """

    def __init__(self, address: model.NodeAddress) -> None:
        self.http = _SendTrackingConnection(address)
        self.socket: socket.socket | None = None
        self.response: urllib3.HTTPResponse | None = None
        self.lock = self.http.lock
        self.busy = False
        self.idle_since_s = 0.0
        self.request_count = 0
        self.is_reusable = False

    def exchange(
        self, outgoing: OutgoingRequest
    ) -> tuple[model.AnswerHead, bytes]:
        """Sends a request and reads the head and, if short, the body.

        Returns:
            The head, and the body if it is short; `complete` tells whether
            the body has been read.

        Raises:
            UpstreamError: No complete head was received, or the short body
                was truncated.
        """
        try:
            with self._mark_busy():
                self._send(outgoing)
                head = self._receive_head(outgoing)
                return head, self._prefetch(head)
        except _ERRORS as error:
            raise self._convert_error(error) from error

    def read(self) -> bytes:
        """Reads the next part of the body; returns no bytes at its end.

        Raises:
            UpstreamError: The body ended before its declared end.
        """
        try:
            with self._mark_busy():
                return self._read()
        except _ERRORS as error:
            raise self._convert_error(error) from error

    @property
    def complete(self) -> bool:
        """Whether the complete answer has been received."""
        return self.response is None

    @property
    def can_be_kept(self) -> bool:
        """Whether the connection can be kept for another request."""
        return self.complete and self.is_reusable and not self.http.aborted

    @property
    def not_run(self) -> bool:
        """Whether no byte of the request was sent; final after `abort`."""
        return not self.http.any_byte_sent

    def prepare_for_reuse(self) -> None:
        """Resets the state of the last request."""
        self.http.any_byte_sent = False
        self.is_reusable = False

    def is_stale(self) -> bool:
        """Whether the idle socket is closed or holds unexpected bytes."""
        return not self.http.is_connected

    def abort(self) -> None:
        """Aborts the request; may be called from any thread."""
        with self.lock:
            self.http.aborted = True
            self.is_reusable = False
            if not self.busy:
                self._close()
            elif self.socket is not None:
                with contextlib.suppress(OSError):
                    self.socket.shutdown(socket.SHUT_RDWR)

    @contextlib.contextmanager
    def _mark_busy(self) -> Iterator[None]:
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

    def _send(self, outgoing: OutgoingRequest) -> None:
        deadline_s = time.monotonic() + outgoing.timeout_s
        if self.http.sock is None:
            self.http.timeout = min(CONNECT_TIMEOUT_S, outgoing.timeout_s)
            self.http.connect()
            self.socket = self.http.sock
        self.http.timeout = max(0.001, deadline_s - time.monotonic())
        self.request_count += 1
        headers = urllib3.HTTPHeaderDict()
        for name, value in outgoing.headers:
            headers.add(name, value)
        self.http.request(
            outgoing.method,
            outgoing.target,
            outgoing.body or None,
            headers,
            preload_content=False,
            decode_content=False,
        )

    def _receive_head(self, outgoing: OutgoingRequest) -> model.AnswerHead:
        response = self.http.getresponse()
        self.response = response
        echoed_id = response.headers.get(_headers.REQUEST_ID)
        is_first = self.request_count == 1
        if echoed_id != outgoing.request_id and not (
            is_first and echoed_id is None
        ):
            raise _WrongAnswerError(f"answer to request {echoed_id}")
        if response.status < 200:
            raise exceptions.HTTPError(f"unexpected status {response.status}")
        length = response.length_remaining
        if length is None and not response.chunked:
            raise exceptions.HTTPError("the answer declares no length")
        # An upstream that does not echo IDs gets a new connection for each
        # request: only there is the answer certain to belong to the request.
        self.is_reusable = echoed_id is not None
        forwarded = tuple(_headers.end_to_end_headers(response.headers.items()))
        declared_length = response.headers.get("Content-Length")
        if outgoing.method == "HEAD" and declared_length is not None:
            length = int(declared_length)
        return model.AnswerHead(response.status, forwarded, length)

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
            raw_response = cast(_Response, self.response._original_response)
            self.response = None
            if raw_response.has_surplus_bytes or self.http.is_closed:
                self.is_reusable = False
        return data

    def _convert_error(self, error: Exception) -> ports.UpstreamError:
        address = f"{self.http.host}:{self.http.port}"
        if isinstance(error, _WrongAnswerError):
            return ports.UpstreamError(
                ports.UPSTREAM_WRONG_ANSWER,
                f"{address}: {error}",
                not_run=False,
            )
        return lost_answer_error(self.not_run, f"{address}: {error}")


def lost_answer_error(not_run: bool, message: str) -> ports.UpstreamError:
    """Returns the error for an answer that did not arrive or is truncated."""
    code = ports.UPSTREAM_NOT_REACHED if not_run else ports.UPSTREAM_BROKEN
    return ports.UpstreamError(code, message, not_run=not_run)


class _WrongAnswerError(exceptions.HTTPError):
    """The answer belongs to another request."""
