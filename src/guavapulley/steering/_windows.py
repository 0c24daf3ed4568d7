"""Sliding windows over times of trio's clock."""

import collections
import math

import attrs


@attrs.define
class PeakWindow:
    """Peak of the values that were in effect within a time window.

    The last value stays in effect until another one is added.

    >>> peak = PeakWindow(span_s=2)
    >>> peak.add(0, 5); peak.add(1, 3)
    >>> peak.value(3), peak.value(3.5)
    (5, 3)

    Attributes:
        span_s: Length of the window in seconds.
        samples: Times at which a value was last in effect, with the value;
            times increase and values decrease.
    """

    span_s: float
    samples: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )

    def add(self, now_s: float, value: float) -> None:
        """Adds the value that is in effect from now on."""
        # A value is in effect until the next one is added, so its time is moved
        # to that moment.
        if self.samples:
            self.samples[-1] = (now_s, self.samples[-1][1])
        while self.samples and self.samples[-1][1] <= value:
            self.samples.pop()
        self.samples.append((now_s, value))

    def value(self, now_s: float) -> float:
        """Returns the peak value of the window, or 0 without any value."""
        while (
            len(self.samples) > 1 and self.samples[0][0] < now_s - self.span_s
        ):
            self.samples.popleft()
        return self.samples[0][1] if self.samples else 0


@attrs.define
class DecayingMean:
    """Exponentially decaying mean of a level over time.

    >>> mean = DecayingMean(span_s=1)
    >>> mean.set(0, 10); round(mean.value(1), 2)
    6.32

    Attributes:
        span_s: Time over which the weight of the past falls to 1 / e, in
            seconds.
        level: Level that is in effect now.
        mean: Mean at the time of the last update.
        updated_s: Time of the last update on trio's clock.
    """

    span_s: float
    level: float = 0.0
    mean: float = 0.0
    updated_s: float = 0.0

    def set(self, now_s: float, level: float) -> None:
        """Sets the level that is in effect from now on."""
        self.mean = self.value(now_s)
        self.updated_s = now_s
        self.level = level

    def value(self, now_s: float) -> float:
        """Returns the mean at a time on trio's clock."""
        decay = math.exp((self.updated_s - now_s) / self.span_s)
        return self.level + (self.mean - self.level) * decay
