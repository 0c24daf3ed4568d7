"""Unix time from the clock of the machine."""

import time


def unix_time_s() -> float:
    """Returns the Unix time in seconds."""
    return time.time()


def unix_time_ms() -> int:
    """Returns the Unix time in milliseconds, which numbers incarnations."""
    return time.time_ns() // 1_000_000
