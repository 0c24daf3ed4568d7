"""Errors of request handling, with whether the request can have run."""

from typing import Any

from guavapulley import errors

SERVICE_UNKNOWN = errors.register_code(
    "SERVICE_UNKNOWN", "The configuration has no such service."
)
CONFIGURATION_UNCONFIRMED = errors.register_code(
    "CONFIGURATION_UNCONFIRMED",
    "The entry has no configuration confirmed by a majority yet.",
)
ENTRY_DETACHED = errors.register_code(
    "ENTRY_DETACHED",
    "The entry has lost contact with control and refuses requests that must"
    " run at most once.",
)
REQUEST_TOO_LARGE = errors.register_code(
    "REQUEST_TOO_LARGE", "The body is larger than the service allows."
)
ANSWER_TOO_LARGE = errors.register_code(
    "ANSWER_TOO_LARGE",
    "The answer is larger than the service allows; the request has run.",
)
LABELS_INVALID = errors.register_code(
    "LABELS_INVALID", "The labels of the request are malformed."
)
KEY_INVALID = errors.register_code(
    "KEY_INVALID", "The idempotency key is empty, too long or not printable."
)
KEY_AGE_UNKNOWN = errors.register_code(
    "KEY_AGE_UNKNOWN",
    "The idempotency key carries no creation time, so its age is unknown.",
)
KEY_AGE_INVALID = errors.register_code(
    "KEY_AGE_INVALID", "The idempotency key was created in the future."
)
KEY_EXPIRED = errors.register_code(
    "KEY_EXPIRED",
    "The idempotency key is older than the retention; this request did not"
    " run, but an earlier one with the key may have.",
)
KEY_REUSED = errors.register_code(
    "KEY_REUSED",
    "The idempotency key belongs to a different request, which may have run;"
    " this one did not.",
)
CLAIM_FAILED = errors.register_code(
    "CLAIM_FAILED",
    "The idempotency key could not be claimed, so the request did not run.",
)
OUTCOME_UNKNOWN = errors.register_code(
    "OUTCOME_UNKNOWN", "The request may have run; its answer is not known."
)
OUTCOME_NOT_KEPT = errors.register_code(
    "OUTCOME_NOT_KEPT", "The request has run; its answer was not stored."
)
OUTCOME_NOT_FOUND = errors.register_code(
    "OUTCOME_NOT_FOUND", "No request with this key has been claimed so far."
)


class ServingError(errors.GuavapulleyError):
    """A request could not be answered from an upstream.

    Attributes:
        not_run: Whether no byte of this request can have reached an upstream
            and none will. An earlier request with the same idempotency key
            may have run; the detail `earlier_may_have_run` is true when the
            key has been used before or its record may have been deleted.
    """

    def __init__(
        self, code: str, message: str, *, not_run: bool, **details: Any
    ) -> None:
        super().__init__(code, message, **details)
        self.not_run = not_run
