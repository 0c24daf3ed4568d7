"""Cheroot with stricter parsing, JSON errors and a graceful stop."""

from collections.abc import Iterator
import contextlib
import logging
import selectors
import socket
import threading
import time
from typing import Any

from cheroot import server
from cheroot.workers import threadpool

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http import _errors
from guavapulley.adapters.http import _limits
from guavapulley.adapters.http import _sockets

# The type stubs of cheroot omit its internal names.
_server: Any = server
WAKE_UP_TIMEOUT_S = 1.0
# A newly connected caller sends its request within one round trip.
LINGER_S = 0.5
# Several round trips, in which handshakes in progress complete.
HANDSHAKE_WAIT_S = 0.05
_CODE_BY_STATUS = {
    408: _errors.REQUEST_TIMEOUT,
    413: _errors.TOO_LARGE,
    414: _errors.TOO_LARGE,
    500: _errors.INTERNAL_ERROR,
    503: _errors.SERVER_BUSY,
}


class _HeaderReader(server.HeaderReader):
    """Reads headers and keeps repeated ones, which cheroot overwrites.

    The list of name-value pairs is stored in the returned dictionary under the
    key `PAIRS`. It cannot collide with a header, because header names are
    bytes.
    """

    PAIRS = "pairs"

    def __call__(
        self, rfile: Any, hdict: dict[Any, Any] | None = None
    ) -> dict[Any, Any]:
        headers_by_name: dict[Any, Any] = {} if hdict is None else hdict
        pairs = list(self._read_pairs(rfile))
        for name, value in pairs:
            if name in (b"Content-Length", b"Host") and name in headers_by_name:
                raise ValueError("A header that must be single is repeated.")
            previous = headers_by_name.get(name)
            headers_by_name[name] = (
                value if previous is None else previous + b", " + value
            )
        if b"Content-Length" in headers_by_name and (
            b"Transfer-Encoding" in headers_by_name
            or not headers_by_name[b"Content-Length"].isdigit()
        ):
            raise ValueError("The length of the body is ambiguous.")
        headers_by_name[self.PAIRS] = pairs
        return headers_by_name

    def _read_pairs(self, rfile: Any) -> Iterator[tuple[bytes, bytes]]:
        while (line := rfile.readline()) != _server.CRLF:
            name, colon, value = line.partition(b":")
            if not line.endswith(_server.CRLF) or not colon:
                raise ValueError("Malformed header line.")
            if not name or name != name.strip():
                raise ValueError("Malformed header name.")
            yield name.title(), value.strip()


class _Request(server.HTTPRequest):
    """A request whose parse errors are answered in JSON."""

    header_reader = _HeaderReader()

    def parse_request(self) -> None:
        self.conn.rfile.start_deadline(self.server.limits.receive_timeout_s)
        self.method = b""
        super().parse_request()
        if self.inheaders.get(b"Connection", b"").lower() == b"close":
            self.close_connection = True

    def simple_response(self, status: object, msg: str | bytes = "") -> None:
        message = msg.decode("latin-1") if isinstance(msg, bytes) else msg
        status_code = int(str(status)[:3])
        error_code = _CODE_BY_STATUS.get(status_code, _errors.BAD_REQUEST)
        error = _errors.HttpError(error_code, message or str(status)[4:])
        body = _errors.error_answer(error).body
        head = (
            f"{self.server.protocol} {status}\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n\r\n"
        )
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head.encode("latin-1") + body)
            self.conn.wfile.flush()

    def respond(self) -> None:
        # Sends a pending "100 Continue" before the body is read.
        self.conn.wfile.flush()
        super().respond()
        self.conn.wfile.flush()

    def send_headers(self) -> None:
        if self.server.keep_alive_disabled:
            self.close_connection = True
        super().send_headers()


class _Connection(server.HTTPConnection):
    """A caller's connection with buffered, non-blocking socket access."""

    RequestHandlerClass = _Request

    def __init__(
        self, http_server: Any, sock: Any, make_file: Any = None
    ) -> None:
        sock.setblocking(False)
        send_timeout_s = http_server.limits.send_timeout_s

        def make_stream(sock: socket.socket, mode: str, size: int) -> Any:
            if "r" in mode:
                return _sockets.RequestReader(sock)
            return _sockets.ReplyBuffer(sock, send_timeout_s)

        super().__init__(http_server, sock, make_stream)

    def close(self) -> None:
        # First, so that a caller that sees the close can connect again.
        self.server.admitted.discard(self)
        super().close()


class CherootServer(server.HTTPServer):
    """Cheroot's server with the limits of `HttpLimits`.

    Attributes:
        keep_alive_disabled: Whether each answer closes its connection.
        admitted: Open connections within the limit, whether idle or with a
            request in progress.
    """

    ConnectionClass = _Connection
    keep_alive_conn_limit: Any
    timeout: Any = None
    _connections: Any
    _unservicable_conns: Any

    def __init__(
        self,
        address: model.NodeAddress,
        gateway: type[server.Gateway],
        limits: _limits.HttpLimits,
        events: ports.EventLog,
    ) -> None:
        super().__init__((address.host, address.port), gateway)
        self.limits = limits
        self.events = events
        self.keep_alive_disabled = False
        self.admitted: set[_Connection] = set()
        # A second call of `stop` waits until the first has completed.
        self.stop_lock = threading.Lock()
        self.server_name = "guavapulley"
        self.max_request_body_size = limits.max_body_bytes
        self.max_request_header_size = limits.max_head_bytes
        self.timeout = limits.idle_timeout_s
        self.max_connections = limits.connection_limit()
        self.keep_alive_conn_limit = (
            _limits.KEEP_ALIVE_FRACTION * self.max_connections
        )
        self.request_queue_size = limits.backlog
        self.requests = threadpool.ThreadPool(
            self,
            min=limits.workers,
            max=limits.workers,
            accepted_queue_size=limits.queued_connections,
            accepted_queue_timeout=0,
        )

    def process_conn(self, conn: Any) -> None:
        """Passes a connection to a worker once the caller has sent data."""
        if conn.last_used is None and self.ready:
            if len(self.admitted) < self.max_connections:
                self.admitted.add(conn)
                self.put_conn(conn)
            else:
                self._unservicable_conns.put(conn)
        else:
            super().process_conn(conn)

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Writes cheroot's messages to the event log."""
        self.events.write("http:server", message=msg, level=level)

    def stop(self, linger_s: float = LINGER_S) -> None:
        """Stops after answering every request that has arrived.

        Requests may still be in transit on connections that wait to be
        accepted and on idle ones; closing these at once would abort the
        requests.

        Args:
            linger_s: Time in seconds during which idle connections are still
                served.
        """
        with self.stop_lock:
            if self.ready:
                self._stop(linger_s)

    def _stop(self, linger_s: float) -> None:
        self.keep_alive_disabled = True
        self._connections._stop_requested = True
        # A connection wakes the selector, which otherwise sleeps for 0.5 s.
        with contextlib.suppress(OSError):
            socket.create_connection(self.bind_addr, WAKE_UP_TIMEOUT_S).close()
        self._connections.stop()
        idle_connections = [
            conn for _, conn in self._connections._selector.connections
        ]
        self.ready = False
        self._unservicable_conns.put(_server._STOPPING_FOR_INTERRUPT)
        _sockets.refuse_new_connections(self.socket)
        time.sleep(HANDSHAKE_WAIT_S)
        pending_connections = list(self._accept_pending())
        self.socket.close()
        self._connections._selector.close()
        self._serve_remaining(
            [*idle_connections, *pending_connections], linger_s
        )
        # Waits without a timeout: handlers of requests end by their deadlines.
        self.requests.stop(timeout=None)

    def _serve_remaining(self, connections: list[Any], linger_s: float) -> None:
        deadline_s = time.monotonic() + linger_s
        with selectors.DefaultSelector() as selector:
            for conn in connections:
                if conn is not self:
                    selector.register(conn.socket, selectors.EVENT_READ, conn)
            while selector.get_map():
                remaining_s = deadline_s - time.monotonic()
                for key, _ in selector.select(max(0.0, remaining_s)):
                    selector.unregister(key.fileobj)
                    self.process_conn(key.data)
                if remaining_s <= 0:
                    break
            for key in list(selector.get_map().values()):
                key.data.close()

    def _accept_pending(self) -> Iterator[Any]:
        self.socket.settimeout(0)
        accept = self._connections._from_server_socket
        while (conn := accept(self.socket)) is not None:
            yield conn

    def _serve_unservicable(self) -> None:
        while True:
            conn = self._unservicable_conns.get()
            if conn is _server._STOPPING_FOR_INTERRUPT:
                return
            _Request(self, conn).simple_response("503 Service Unavailable")
            with contextlib.suppress(OSError):
                conn.close()
