"""Error codes of HTTP, their statuses and JSON answers."""

import json
from typing import Any

from guavapulley import errors
from guavapulley import model
from guavapulley import ports

BAD_REQUEST = errors.register_code(
    "BAD_REQUEST", "The HTTP request is malformed."
)
NOT_FOUND = errors.register_code(
    "NOT_FOUND", "The path or the requested object does not exist."
)
METHOD_NOT_ALLOWED = errors.register_code(
    "METHOD_NOT_ALLOWED", "The path does not support this method."
)
TOO_LARGE = errors.register_code(
    "TOO_LARGE", "The head or body of the request exceeds its size limit."
)
REQUEST_TIMEOUT = errors.register_code(
    "REQUEST_TIMEOUT", "The request was not received in time."
)
NOT_AUTHORIZED = errors.register_code(
    "NOT_AUTHORIZED", "The bearer token is missing or wrong."
)
SERVER_BUSY = errors.register_code(
    "SERVER_BUSY", "No worker of the HTTP server is free."
)
SERVER_STOPPING = errors.register_code(
    "SERVER_STOPPING", "The process is stopping."
)
INTERNAL_ERROR = ports.INTERNAL_ERROR

STATUS_BY_CODE = {
    BAD_REQUEST: 400,
    NOT_AUTHORIZED: 401,
    NOT_FOUND: 404,
    METHOD_NOT_ALLOWED: 405,
    REQUEST_TIMEOUT: 408,
    TOO_LARGE: 413,
    INTERNAL_ERROR: 500,
    SERVER_BUSY: 503,
    SERVER_STOPPING: 503,
    ports.PEER_UNREACHABLE: 503,
    ports.CALL_TIMEOUT: 503,
    ports.UPSTREAM_NOT_REACHED: 502,
    ports.UPSTREAM_BROKEN: 502,
    ports.UPSTREAM_WRONG_ANSWER: 502,
}
# Codes of packages that the adapters do not import.
STATUS_BY_CODE.update(
    {
        "SERVICE_UNKNOWN": 404,
        "OUTCOME_NOT_FOUND": 404,
        "UPSTREAM_UNKNOWN": 404,
        "UPSTREAM_SUPERSEDED": 409,
        "UPSTREAM_INVALID": 400,
        "LABELS_INVALID": 400,
        "KEY_AGE_UNKNOWN": 400,
        "KEY_AGE_INVALID": 400,
        "KEY_INVALID": 400,
        "CONFLICT": 409,
        "OUTCOME_UNKNOWN": 502,
        "KEY_EXPIRED": 410,
        "KEY_REUSED": 422,
        "REQUEST_TOO_LARGE": 413,
        "OUTCOME_NOT_KEPT": 409,
        "DEADLINE_EXCEEDED": 504,
    }
)
STATUS_REFUSED = 503
STATUS_UNKNOWN_OUTCOME = 502
STATUS_INTERNAL = 500
JSON_CONTENT_TYPE = ("Content-Type", "application/json")


class HttpError(errors.GuavapulleyError):
    """A request that the HTTP front end rejects; it has not run."""

    not_run = True


def http_status(error: errors.GuavapulleyError) -> int:
    """Returns the HTTP status for an error.

    For a code without a status of its own, `not_run` of the error decides:
    true means a refusal, false an unknown outcome, and an error without
    `not_run` is an internal failure.

    >>> http_status(HttpError(NOT_FOUND, "no such path"))
    404
    """
    status = STATUS_BY_CODE.get(error.code)
    if status is not None:
        return status
    not_run = getattr(error, "not_run", None)
    if not_run is None:
        return STATUS_INTERNAL
    return STATUS_REFUSED if not_run else STATUS_UNKNOWN_OUTCOME


def error_answer(error: errors.GuavapulleyError) -> model.Answer:
    """Encodes an error; without `not_run`, the request may have run."""
    body = {
        "code": error.code,
        "message": error.message,
        "not_run": bool(getattr(error, "not_run", False)),
        "details": error.details,
    }
    return json_answer(body, http_status(error))


def internal_error_answer() -> model.Answer:
    """Returns the answer to a request whose handler failed."""
    return error_answer(
        errors.GuavapulleyError(INTERNAL_ERROR, "the request failed")
    )


def json_answer(body: Any, status: int = 200) -> model.Answer:
    """Encodes a JSON answer; values of other types become strings."""
    data = json.dumps(body, default=str).encode() + b"\n"
    head = model.AnswerHead(status, (JSON_CONTENT_TYPE,), len(data))
    return model.Answer(head, data)


async def send_answer(reply: ports.ReplyWriter, answer: model.Answer) -> None:
    """Writes a complete answer."""
    await reply.start(answer.head)
    if answer.body:
        await reply.write(answer.body)
