"""Handling of requests in cheroot's worker threads."""

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
    """Starts trio tasks on behalf of worker threads.

    Args:
        handler: Handles the requests.
        nursery: Runs a task for each request.
        events: Receives failures of requests.
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

    async def start_exchange(
        self, request: model.HttpRequest
    ) -> tuple[_exchange.Exchange, _exchange.ReplyBatch]:
        """Starts the task of a request and waits for its first batch."""
        exchange = _exchange.Exchange(request, self.handler, self.events)
        self.nursery.start_soon(exchange.run)
        return exchange, await exchange.next_batch()


class Gateway(server.Gateway):
    """Passes a request to its trio task and writes the reply.

    The worker thread blocks in `trio.from_thread.run` between batches.
    """

    req: Any
    bridge: Bridge
    omit_body = False

    def respond(self) -> None:
        """Handles the request; called by cheroot in a worker thread."""
        request = self._read_request()
        if request is None:
            return
        token = self.bridge.token
        try:
            exchange, batch = trio.from_thread.run(
                self.bridge.start_exchange, request, trio_token=token
            )
        except RuntimeError:
            # The nursery or trio has ended; no handler received the request.
            self.req.simple_response("503 Service Unavailable", "stopping")
            return
        except trio.Cancelled as error:
            # A handler may have received it.
            raise _truncated_reply_error() from error
        try:
            while True:
                self._write(batch)
                if batch.is_complete:
                    return
                self.req.conn.wfile.flush()
                batch = trio.from_thread.run(
                    exchange.next_batch, trio_token=token
                )
        except (OSError, trio.Cancelled, trio.RunFinishedError) as error:
            self._abandon_exchange(exchange)
            raise _truncated_reply_error() from error

    def _abandon_exchange(self, exchange: _exchange.Exchange) -> None:
        try:
            trio.from_thread.run(exchange.abandon, trio_token=self.bridge.token)
        except (trio.Cancelled, trio.RunFinishedError):
            return

    def _write(self, batch: _exchange.ReplyBatch) -> None:
        for part in batch.parts:
            if isinstance(part, model.AnswerHead):
                self._write_head(part)
            elif self.omit_body:
                continue
            else:
                self.req.write(part)
        if batch.is_truncated:
            self.req.conn.wfile.flush()
            # Without the last chunk or byte, the caller detects the truncation.
            raise _truncated_reply_error()

    def _write_head(self, head: model.AnswerHead) -> None:
        self.omit_body = (
            self.req.method == b"HEAD" or head.status in BODYLESS_STATUSES
        )
        self.req.status = (
            f"{head.status} {_reason_phrase(head.status)}".encode()
        )
        encoded_headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in head.headers
        ]
        if head.length is not None and head.status not in BODYLESS_STATUSES:
            encoded_headers.append((b"Content-Length", b"%d" % head.length))
        self.req.outheaders = encoded_headers
        self.req.ensure_headers_sent()

    def _read_request(self) -> model.HttpRequest | None:
        try:
            body = self._read_body()
        except (ValueError, cheroot_errors.MaxSizeExceeded) as error:
            too_large = isinstance(error, cheroot_errors.MaxSizeExceeded)
            status = "413 Content Too Large" if too_large else "400 Bad Request"
            self.req.simple_response(status, "the body was not accepted")
            return None
        req = self.req
        raw_path = req.uri.partition(b"?")[0]
        if not raw_path.startswith(b"/"):
            raw_path = parse.urlsplit(raw_path).path
        headers = req.inheaders[req.header_reader.PAIRS]
        return model.HttpRequest(
            req.method.decode("ascii", "replace"),
            req.path.decode("utf-8", "replace"),
            req.qs.decode("latin-1"),
            tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in headers
            ),
            body,
            req.conn.remote_addr or "",
            raw_path.decode("latin-1"),
        )

    def _read_body(self) -> bytes:
        body_reader = self.req.rfile
        try:
            body: bytes = body_reader.read()
        except OSError as error:
            if error.args[:1] == ("Request Entity Too Large",):
                raise cheroot_errors.MaxSizeExceeded from error
            raise
        if self.req.chunked_read:
            # Unread trailers would be parsed as the next request.
            for _ in body_reader.read_trailer_lines():
                pass
        elif body_reader.remaining:
            raise ValueError("the body ended before its declared length")
        return body


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"


def _truncated_reply_error() -> ConnectionResetError:
    # Cheroot closes the connection without logging this error.
    return ConnectionResetError(errno.ECONNRESET, "the reply was truncated")
