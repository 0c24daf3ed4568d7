"""Limit on the memory for message bodies of all connections of a process."""

import attrs

DEFAULT_MAX_BYTES = 64 * 1_048_576
# Bodies up to this size are received even if larger ones have used up the
# budget.
FREE_BODY_BYTES = 16_384


@attrs.define
class BodyBudget:
    """Bytes that the bodies being received may occupy together.

    Each body may have `FREE_BODY_BYTES` in addition.

    Attributes:
        max_bytes: Limit on the bytes in use.
        used_bytes: Bytes in use.
    """

    max_bytes: int = DEFAULT_MAX_BYTES
    used_bytes: int = 0

    def try_acquire(self, count: int) -> bool:
        """Acquires bytes; returns whether that many were left."""
        if self.used_bytes + count > self.max_bytes:
            return False
        self.used_bytes += count
        return True

    def release(self, count: int) -> None:
        """Returns acquired bytes."""
        self.used_bytes -= count
