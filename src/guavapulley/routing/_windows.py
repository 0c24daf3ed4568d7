"""Event counts over a sliding window."""

import collections

import trio


class SlidingWindowCounter:
    """Counts the events of a sliding window of time.

    Args:
        window_s: Length of the window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.timestamps_s: collections.deque[float] = collections.deque()

    def add(self) -> None:
        """Counts an event at the current time."""
        self.timestamps_s.append(trio.current_time())

    def value(self) -> int:
        """Returns the number of events in the window that ends now."""
        oldest_s = trio.current_time() - self.window_s
        while self.timestamps_s and self.timestamps_s[0] < oldest_s:
            self.timestamps_s.popleft()
        return len(self.timestamps_s)
