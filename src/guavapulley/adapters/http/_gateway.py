"""The side of a request that runs in a worker thread."""

import errno
import http
from typing import Any
from urllib import parse

from cheroot import errors as cheroot_errors
from cheroot import server
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.adapters.http import _exchange

BODYLESS_STATUSES = frozenset({204, 205, 304})


class Bridge:
    """Where worker threads enter trio.

    Args:
        handler: Handles the requests.
        nursery: Runs a task for each request.
        events: Receives failures.
    """

    def __init__(
        self,
        handler: ports.HttpHandler,
        nursery: trio.Nursery,
        events: ports.EventLog,
    ) -> None:
        self.handler = handler
        self.nursery = nursery
        self.events = events
        self.token = trio.lowlevel.current_trio_token()

    async def begin(
        self, request: model.HttpRequest
    ) -> tuple[_exchange.Exchange, _exchange.Batch]:
        """Starts the task of a request and waits for its first parts."""
        exchange = _exchange.Exchange(request, self.handler, self.events)
        self.nursery.start_soon(exchange.run)
        return exchange, await exchange.more()


class Gateway(server.Gateway):
    """Hands a request to its task and writes the parts of the reply.

    The worker thread blocks in `trio.from_thread.run` between the parts.
    """

    req: Any
    bridge: Bridge
    bodyless = False

    def respond(self) -> None:
        """Handles the request; called by cheroot in a worker thread."""
        request = self._request()
        if request is None:
            return
        token = self.bridge.token
        try:
            exchange, batch = trio.from_thread.run(
                self.bridge.begin, request, trio_token=token
            )
        except (RuntimeError, trio.Cancelled):
            # The nursery or the run has ended; no handler saw the request.
            self.req.simple_response("503 Service Unavailable", "stopping")
            return
        try:
            while True:
                self._write(batch)
                if batch.done:
                    return
                self.req.conn.wfile.flush()
                batch = trio.from_thread.run(exchange.more, trio_token=token)
        except (OSError, trio.Cancelled, trio.RunFinishedError) as error:
            self._abandon(exchange)
            raise _reset() from error

    def _abandon(self, exchange: _exchange.Exchange) -> None:
        try:
            trio.from_thread.run(exchange.abandon, trio_token=self.bridge.token)
        except (trio.Cancelled, trio.RunFinishedError):
            return

    def _write(self, batch: _exchange.Batch) -> None:
        for part in batch.parts:
            if isinstance(part, model.AnswerHead):
                self._write_head(part)
            elif self.bodyless:
                continue
            else:
                self.req.write(part)
        if batch.broken:
            self.req.conn.wfile.flush()
            # Without the last chunk or byte the caller sees a cut answer.
            raise _reset()

    def _write_head(self, head: model.AnswerHead) -> None:
        self.bodyless = (
            self.req.method == b"HEAD" or head.status in BODYLESS_STATUSES
        )
        self.req.status = f"{head.status} {_phrase(head.status)}".encode()
        named = [
            (k.encode("latin-1"), v.encode("latin-1")) for k, v in head.headers
        ]
        if head.length is not None and head.status not in BODYLESS_STATUSES:
            named.append((b"Content-Length", b"%d" % head.length))
        self.req.outheaders = named
        self.req.ensure_headers_sent()

    def _request(self) -> model.HttpRequest | None:
        try:
            body = self._body()
        except (ValueError, cheroot_errors.MaxSizeExceeded) as error:
            large = isinstance(error, cheroot_errors.MaxSizeExceeded)
            status = "413 Content Too Large" if large else "400 Bad Request"
            self.req.simple_response(status, "the body was not accepted")
            return None
        req = self.req
        raw_path = req.uri.partition(b"?")[0]
        if not raw_path.startswith(b"/"):
            raw_path = parse.urlsplit(raw_path).path
        pairs = req.inheaders[req.header_reader.PAIRS]
        return model.HttpRequest(
            req.method.decode("ascii", "replace"),
            req.path.decode("utf-8", "replace"),
            req.qs.decode("latin-1"),
            tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in pairs),
            body,
            req.conn.remote_addr or "",
            raw_path.decode("latin-1"),
        )

    def _body(self) -> bytes:
        source = self.req.rfile
        try:
            body: bytes = source.read()
        except OSError as error:
            if error.args[:1] == ("Request Entity Too Large",):
                raise cheroot_errors.MaxSizeExceeded from error
            raise
        if self.req.chunked_read:
            # Unread trailers would be taken for the next request.
            for _ in source.read_trailer_lines():
                pass
        elif source.remaining:
            raise ValueError("the body ended before its declared length")
        return body


def _phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"


def _reset() -> ConnectionResetError:
    # Cheroot closes the connection without a word on this error.
    return ConnectionResetError(errno.ECONNRESET, "the reply was cut off")
