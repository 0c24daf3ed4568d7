"""Encoding of HTTP/1.1 messages."""

from collections.abc import Iterable
import http

from guavapulley import model
from guavapulley.adapters.http1 import _parsing

_BODYLESS_STATUSES = frozenset({204, 304})


def _head(first_line: str, headers: Iterable[tuple[str, str]]) -> bytes:
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode(_parsing.ENCODING)


def request_bytes(request: model.HttpRequest) -> bytes:
    """Encodes a request and adds the header that declares its length."""
    length_headers = (
        [("Content-Length", str(len(request.body)))]
        if request.body or request.method not in ("GET", "HEAD", "DELETE")
        else []
    )
    request_line = f"{request.method} {request.raw_path} HTTP/1.1"
    return (
        _head(request_line, [*request.headers, *length_headers]) + request.body
    )


def answer_bytes(answer: model.Answer, method: str, *, close: bool) -> bytes:
    """Encodes an answer and adds the headers for its length and connection.

    Args:
        answer: Status, end-to-end headers and body.
        method: Method of the request.
        close: Whether the connection is closed after the answer.
    """
    status = answer.head.status
    headers = list(answer.head.headers)
    if status not in _BODYLESS_STATUSES:
        headers.append(("Content-Length", str(len(answer.body))))
    if close:
        headers.append(("Connection", "close"))
    body = (
        b"" if method == "HEAD" or status in _BODYLESS_STATUSES else answer.body
    )
    return _head(f"HTTP/1.1 {status} {_reason_phrase(status)}", headers) + body


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
