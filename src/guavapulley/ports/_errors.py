"""Errors that adapters raise through the ports."""

from typing import Any

from guavapulley import errors

PEER_UNREACHABLE = errors.register_code(
    "PEER_UNREACHABLE", "A process of the system could not be reached."
)
CALL_TIMEOUT = errors.register_code(
    "CALL_TIMEOUT", "A process of the system did not answer in time."
)
INTERNAL_ERROR = errors.register_code(
    "INTERNAL_ERROR", "A process failed with an unexpected error."
)
DISK_FAILED = errors.register_code(
    "DISK_FAILED", "A file in the data folder could not be read or synced."
)
LOG_CORRUPT = errors.register_code(
    "LOG_CORRUPT", "A record of the replicated log fails its checksum."
)
UPSTREAM_NOT_REACHED = errors.register_code(
    "UPSTREAM_NOT_REACHED",
    "No connection to the upstream could be opened; the request did not run.",
)
UPSTREAM_WITHDRAWN = errors.register_code(
    "UPSTREAM_WITHDRAWN",
    "The upstream became unavailable before the request was sent to it.",
)
UPSTREAM_BROKEN = errors.register_code(
    "UPSTREAM_BROKEN",
    "The upstream sent no complete answer; the request may have run.",
)
UPSTREAM_WRONG_ANSWER = errors.register_code(
    "UPSTREAM_WRONG_ANSWER",
    "The answer belongs to another request; the request may have run.",
)


class PeerError(errors.GuavapulleyError):
    """A peer could not be reached or did not answer in time."""


class PeerReplyError(PeerError):
    """A peer answered with an error; `code` is the error code it sent."""


class DiskError(errors.GuavapulleyError):
    """The data folder is not accessible or has damaged records."""


class UpstreamError(errors.GuavapulleyError):
    """An upstream sent no complete answer.

    Attributes:
        not_run: Whether it is certain that no byte of the request reached the
            upstream.
    """

    def __init__(
        self, code: str, message: str, *, not_run: bool, **details: Any
    ) -> None:
        super().__init__(code, message, **details)
        self.not_run = not_run
