"""Errors of requests that are refused or fail in steering."""

from typing import Any

from guavapulley import errors

NO_UPSTREAM = errors.register_code(
    "NO_UPSTREAM", "No upstream may receive the request."
)
OVERLOADED = errors.register_code(
    "OVERLOADED", "The request would not be answered before its deadline."
)
DEADLINE_EXCEEDED = errors.register_code(
    "DEADLINE_EXCEEDED", "The deadline passed before there was an answer."
)
REGION_LIMIT = errors.register_code(
    "REGION_LIMIT", "The limit or headroom of every possible region is used up."
)
LINK_CAP = errors.register_code(
    "LINK_CAP", "The share of the link between two regions is used up."
)
UPSTREAM_FAILED = errors.register_code(
    "UPSTREAM_FAILED", "Every attempt failed; the last error is the cause."
)


class SteeringError(errors.GuavapulleyError):
    """A request was refused, or all its attempts failed.

    Attributes:
        not_run: Whether it is certain that no byte of the request has reached
            an upstream.
    """

    def __init__(
        self, code: str, message: str, *, not_run: bool, **details: Any
    ) -> None:
        super().__init__(code, message, **details)
        self.not_run = not_run
