"""Parsers of HTTP/1.1 requests and answers with httptools."""

from collections.abc import Iterator
import re

import attrs
import httptools

from guavapulley import model
from guavapulley.adapters.http1 import _body_budget

ENCODING = "latin-1"
# Line breaks, start line and chunk framing beyond the limit of the head. Chunks
# of one byte have five bytes of framing each.
FRAMING_BYTES = 4_096
FRAMING_BYTES_PER_BODY_BYTE = 8
# Bodies are collected in parts, as growing a single buffer leaves free memory
# between the buffers of many bodies, and each small chunk would be an object.
BODY_PART_BYTES = 32_768
# Interim answers (1xx) accepted before the final one.
MAX_INTERIM_ANSWERS = 8

HTTP_VERSIONS = frozenset({"1.0", "1.1"})
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
# What a status line begins with, up to the first digit of the status.
STATUS_LINE_START = re.compile(rb"HTTP/1\.[01] [1-5]")
STATUS_LINE_START_BYTES = 10

_IDLE_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})\b")


class MessageError(Exception):
    """The bytes are not an acceptable message.

    Attributes:
        status: HTTP status with which a caller is answered.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@attrs.frozen
class MessageLimits:
    """Limits on one message.

    Attributes:
        max_head_bytes: Maximum size of the target and the headers.
        max_body_bytes: Maximum size of the body.
    """

    max_head_bytes: int
    max_body_bytes: int


@attrs.frozen
class ParsedRequest:
    """A complete request.

    Attributes:
        request: The parsed request.
        keep_alive: Whether the caller keeps the connection open after it.
    """

    request: model.HttpRequest
    keep_alive: bool


class _MessageCollector:
    """Callbacks of httptools that collect the headers and the body.

    httptools passes on a start line, header, chunk extension or trailer only
    when it is complete, so the bytes of unfinished ones are counted as they
    arrive.

    Attributes:
        no_memory_status: HTTP status of the error when the budget for bodies is
            used up.
    """

    no_memory_status = 503

    def __init__(
        self, limits: MessageLimits, body_budget: _body_budget.BodyBudget
    ) -> None:
        self.limits = limits
        self.body_budget = body_budget
        self.acquired_bytes = 0
        self.reset()

    def reset(self) -> None:
        """Discards the last message."""
        self.headers: list[tuple[str, str]] = []
        self.discard_body()
        self.received_bytes = 0
        self.head_bytes = 0
        self.message_begun = False
        self.head_complete = False

    def discard_body(self) -> None:
        """Frees the memory of the body.

        The parser of httptools refers to this object, so that its memory would
        be freed only by the cyclic garbage collector.
        """
        self.body_parts: list[bytearray] = []
        self.body_bytes = 0
        self.body_budget.release(self.acquired_bytes)
        self.acquired_bytes = 0

    def on_message_begin(self) -> None:
        """Starts a message."""
        self.reset()
        self.message_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self.head_bytes += len(name) + len(value) + 4
        self._check_head_size()
        self.headers.append((name.decode(ENCODING), value.decode(ENCODING)))

    def on_headers_complete(self) -> None:
        """Marks the head as complete."""
        self.head_complete = True

    def on_body(self, data: bytes) -> None:
        """Adds a part of the body."""
        if not self.body_parts or len(self.body_parts[-1]) >= BODY_PART_BYTES:
            self.body_parts.append(bytearray())
        self.body_parts[-1] += data
        self.body_bytes += len(data)
        if self.body_bytes > self.limits.max_body_bytes:
            raise MessageError(413, "the body is too large")
        missing_bytes = (
            self.body_bytes - _body_budget.FREE_BODY_BYTES - self.acquired_bytes
        )
        if missing_bytes <= 0:
            return
        if not self.body_budget.try_acquire(missing_bytes):
            raise MessageError(
                self.no_memory_status, "too many large bodies at the same time"
            )
        self.acquired_bytes += missing_bytes

    def _check_received_size(self) -> None:
        """Checks the bytes received since the start of the message."""
        max_bytes = (
            self.limits.max_head_bytes
            + FRAMING_BYTES
            + FRAMING_BYTES_PER_BODY_BYTE * self.body_bytes
        )
        if self.received_bytes - self.body_bytes > max_bytes:
            raise MessageError(431, "the head or the framing is too large")

    def _check_head_size(self) -> None:
        if self.head_bytes > self.limits.max_head_bytes:
            raise MessageError(431, "the head is too large")

    def header_values(self, name: str) -> list[str]:
        """Returns the values of the headers with a name in lower case."""
        return [value for key, value in self.headers if key.lower() == name]


class RequestParser(_MessageCollector):
    """Parses the requests of a connection, including pipelined ones.

    One parser serves the entire connection, because it may hold the start of
    the next request.

    Args:
        limits: Limits on each request.
        peer_host: IP address of the caller.
        body_budget: Limit on the bodies of all connections.

    Attributes:
        complete: Complete requests that `feed` has not yielded yet.
    """

    def __init__(
        self,
        limits: MessageLimits,
        peer_host: str,
        body_budget: _body_budget.BodyBudget,
    ) -> None:
        super().__init__(limits, body_budget)
        self.peer_host = peer_host
        self.target = b""
        self.complete: list[ParsedRequest] = []
        self.parser = httptools.HttpRequestParser(self)

    def reset(self) -> None:
        """Discards the last request."""
        super().reset()
        self.target = b""
        self.continue_checked = False

    def on_url(self, url: bytes) -> None:
        """Adds a part of the target."""
        self.target += url
        self.head_bytes += len(url)
        self._check_head_size()

    def on_message_complete(self) -> None:
        """Adds a complete request."""
        target = self.target.decode(ENCODING)
        path, _, query = target.partition("?")
        request = model.HttpRequest(
            self.parser.get_method().decode(ENCODING),
            path,
            query,
            tuple(self.headers),
            b"".join(self.body_parts),
            self.peer_host,
            target,
        )
        keep_alive = self.parser.should_keep_alive()
        self.complete.append(ParsedRequest(request, keep_alive))
        self.reset()

    def should_send_continue(self) -> bool:
        """Returns whether the caller waits for "100 Continue".

        It is true at most once for each request.
        """
        if not self.head_complete or self.continue_checked:
            return False
        self.continue_checked = True
        return "100-continue" in [
            value.lower() for value in self.header_values("expect")
        ]

    def feed(self, data: bytes) -> Iterator[ParsedRequest]:
        """Parses bytes and yields the requests that they complete.

        Raises:
            MessageError: The bytes are not an acceptable request. It is raised
                after the requests before it have been yielded.
        """
        parse_error: MessageError | None = None
        self.received_bytes += len(data)
        try:
            self._feed_parser(data)
            self._check_received_size()
        except MessageError as error:
            parse_error = error
        except httptools.HttpParserError as error:
            parse_error = _callback_error(error) or MessageError(
                400, str(error)
            )
        complete, self.complete = self.complete, []
        yield from complete
        if parse_error is not None:
            raise parse_error

    def _feed_parser(self, data: bytes) -> None:
        """Parses bytes and ignores offers to upgrade (RFC 9110, section 7.8).

        httptools ends at the head of a request with such an offer. The head is
        parsed again without it, as a body and further requests may follow.
        """
        while True:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                unparsed = data[upgrade.args[0] :]
            offering = self.complete.pop()
            if offering.request.method == "CONNECT":
                # What follows is meant for a tunnel.
                self.complete.append(attrs.evolve(offering, keep_alive=False))
                return
            version = self.parser.get_http_version()
            self.parser = httptools.HttpRequestParser(self)
            data = _head_without_offer(offering.request, version) + unparsed


def _head_without_offer(request: model.HttpRequest, version: str) -> bytes:
    """Returns the head of a request without its offer to upgrade."""
    lines = [
        f"{request.method} {request.raw_path} HTTP/{version}",
        *(
            f"{name}: {value}"
            for name, value in request.headers
            if name.lower() != "upgrade"
        ),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode(ENCODING)


def _message_error(error: Exception) -> MessageError:
    """Returns an error of an answer as one of this adapter."""
    if isinstance(error, MessageError):
        return error
    return _callback_error(error) or MessageError(502, str(error))


def _callback_error(error: BaseException) -> MessageError | None:
    """Returns the error that a callback raised within httptools, if any."""
    cause = error.__context__ or error.__cause__
    return cause if isinstance(cause, MessageError) else None


@attrs.frozen
class ParsedAnswer:
    """A complete answer.

    Attributes:
        answer: The parsed answer.
        keep_alive: Whether the connection can carry another exchange.
        idle_timeout_s: Time in seconds for which the upstream keeps an idle
            connection open; None if it does not declare one.
    """

    answer: model.Answer
    keep_alive: bool
    idle_timeout_s: int | None


class AnswerParser(_MessageCollector):
    """Parses the answers received during one exchange.

    The answer to the request may be preceded by late answers to earlier
    requests and followed by bytes that belong to no request.

    Args:
        limits: Limits on each answer.
        body_budget: Limit on the bodies of all connections.
        no_body: Whether the method of the request permits no body in the
            answer.

    Attributes:
        start: The first bytes received, up to `STATUS_LINE_START_BYTES`.
        complete: Complete answers that have not been consumed.
        has_invalid_bytes: Whether bytes other than answers were received.
            Always true after an answer for which `no_body` is set, which ends
            the use of the parser.
    """

    no_memory_status = 502

    def __init__(
        self,
        limits: MessageLimits,
        body_budget: _body_budget.BodyBudget,
        *,
        no_body: bool,
    ) -> None:
        super().__init__(limits, body_budget)
        self.start = b""
        self.interim_answers = 0
        self.no_body = no_body
        self.complete: list[ParsedAnswer] = []
        self.has_invalid_bytes = False
        self.parser = httptools.HttpResponseParser(self)

    def reset(self) -> None:
        """Discards the last answer."""
        super().reset()
        self.body_ends_at_close = False

    def on_status(self, reason: bytes) -> None:
        """Checks the status line before the headers have arrived."""
        self._check_status_line()

    def on_headers_complete(self) -> None:
        """Determines what ends the body."""
        super().on_headers_complete()
        self._check_status_line()
        status = self.parser.get_status_code()
        if status < MIN_FINAL_STATUS:
            return
        if self.no_body:
            self._add_complete(keep_alive=False)
            self.has_invalid_bytes = True
        elif status not in (204, 304):
            framing_headers = self.header_values("transfer-encoding")
            framing_headers += self.header_values("content-length")
            self.body_ends_at_close = not framing_headers

    def on_message_complete(self) -> None:
        """Adds a complete answer unless it is an interim one."""
        if self.body_ends_at_close:
            return
        if self.parser.get_status_code() < MIN_FINAL_STATUS:
            self._count_interim()
        elif not self.no_body:
            self._add_complete(keep_alive=bool(self.parser.should_keep_alive()))
        self.reset()

    def _check_status_line(self) -> None:
        """Checks what httptools leaves to its users.

        Raises:
            MessageError: It is not the status line of an answer.
        """
        status = self.parser.get_status_code()
        version = self.parser.get_http_version()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise MessageError(502, f"invalid status {status:03}")
        if version not in HTTP_VERSIONS:
            raise MessageError(502, f"HTTP version {version}")

    def _check_start(self, data: bytes) -> None:
        """Checks the first bytes, as the rest of their line may never arrive.

        Raises:
            MessageError: No answer begins with them.
        """
        if len(self.start) == STATUS_LINE_START_BYTES:
            return
        # Line breaks before a message are ignored (RFC 9112, section 2.2).
        received = (self.start + data).lstrip(b"\r\n")
        self.start = received[:STATUS_LINE_START_BYTES]
        is_complete = len(self.start) == STATUS_LINE_START_BYTES
        if is_complete and not STATUS_LINE_START.match(self.start):
            raise MessageError(502, f"not a status line: {self.start!r}")

    def _count_interim(self) -> None:
        self.interim_answers += 1
        if self.interim_answers > MAX_INTERIM_ANSWERS:
            raise MessageError(502, "too many interim answers")

    def _add_complete(self, *, keep_alive: bool) -> None:
        head = model.AnswerHead(
            self.parser.get_status_code(), tuple(self.headers), self.body_bytes
        )
        matches = (
            _IDLE_TIMEOUT.search(value)
            for value in self.header_values("keep-alive")
        )
        timeouts = [int(match.group(1)) for match in matches if match]
        self.complete.append(
            ParsedAnswer(
                model.Answer(head, b"".join(self.body_parts)),
                keep_alive,
                timeouts[0] if timeouts else None,
            )
        )

    def feed(self, data: bytes) -> None:
        """Parses bytes.

        Raises:
            MessageError: The bytes are not an answer, and no answer before them
                is complete.
        """
        self.received_bytes += len(data)
        try:
            self._check_start(data)
            self.parser.feed_data(data)
            self._check_received_size()
        except (
            MessageError,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.has_invalid_bytes = True
            if not self.complete:
                raise _message_error(error) from error

    def receive_eof(self) -> None:
        """Handles the clean end of the stream; a reset is not one.

        Raises:
            MessageError: The stream ended within an answer.
        """
        if not self.body_ends_at_close or not self.head_complete:
            raise MessageError(502, "the answer was truncated")
        self._add_complete(keep_alive=False)

    def is_reusable(self) -> bool:
        """Returns whether nothing beyond the consumed answers was received."""
        return not (
            self.has_invalid_bytes or self.message_begun or self.complete
        )
