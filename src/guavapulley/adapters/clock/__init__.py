"""Wall clock, for IDs and for the age of idempotency keys."""

from guavapulley.adapters.clock._clock import unix_time_ms
from guavapulley.adapters.clock._clock import unix_time_s

__all__ = ["unix_time_ms", "unix_time_s"]
