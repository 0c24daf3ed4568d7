"""Errors of upstream registration."""

from guavapulley import errors

UPSTREAM_UNKNOWN = errors.register_code(
    "UPSTREAM_UNKNOWN",
    "The entry has no record of the upstream; it must announce itself again.",
)
UPSTREAM_SUPERSEDED = errors.register_code(
    "UPSTREAM_SUPERSEDED",
    "A later incarnation of the upstream is registered, or this one is"
    " leaving.",
)
UPSTREAM_INVALID = errors.register_code(
    "UPSTREAM_INVALID", "The announcement of an upstream is invalid."
)


class MembershipError(errors.GuavapulleyError):
    """An announcement, renewal or departure of an upstream was refused."""
