"""Errors of the membership."""

from guavapulley import errors

UPSTREAM_UNKNOWN = errors.register_code(
    "UPSTREAM_UNKNOWN",
    "The entry does not know the upstream; it must announce itself again.",
)
UPSTREAM_SUPERSEDED = errors.register_code(
    "UPSTREAM_SUPERSEDED",
    "A later start of the upstream is known, or this start is leaving.",
)
UPSTREAM_INVALID = errors.register_code(
    "UPSTREAM_INVALID", "The announcement of an upstream makes no sense."
)


class MembershipError(errors.GuavapulleyError):
    """An announcement that cannot be taken."""
