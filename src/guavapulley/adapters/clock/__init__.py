"""Wall clock, for IDs and the age of idempotency keys, and Lamport clock."""

from guavapulley.adapters.clock._lamport import LamportClock
from guavapulley.adapters.clock._unix_time import unix_time_ms
from guavapulley.adapters.clock._unix_time import unix_time_s

__all__ = ["LamportClock", "unix_time_ms", "unix_time_s"]
