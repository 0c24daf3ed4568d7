"""Sliding windows over trio's clock."""

import collections
import math

import attrs


@attrs.define
class PeakWindow:
    """Highest value within a time, and always the last value.

    >>> peak = PeakWindow(span_s=2)
    >>> peak.add(0, 5); peak.add(1, 3)
    >>> peak.value(3), peak.value(3.5)
    (5, 3)

    Attributes:
        span_s: Length of the window in seconds.
    """

    span_s: float
    samples: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )

    def add(self, now_s: float, value: float) -> None:
        """Adds the value that holds from now on."""
        # A value is superseded only when the next one is known, so its time
        # is moved to the last moment at which it held.
        if self.samples:
            self.samples[-1] = (now_s, self.samples[-1][1])
        while self.samples and self.samples[-1][1] <= value:
            self.samples.pop()
        self.samples.append((now_s, value))

    def value(self, now_s: float) -> float:
        """Returns the highest value of the window; 0 when there is none."""
        while (
            len(self.samples) > 1 and self.samples[0][0] < now_s - self.span_s
        ):
            self.samples.popleft()
        return self.samples[0][1] if self.samples else 0


@attrs.define
class DecayingMean:
    """Mean of a level over time, where older times count less.

    >>> mean = DecayingMean(span_s=1)
    >>> mean.set(0, 10); round(mean.value(1), 2)
    6.32

    Attributes:
        span_s: Time over which the weight falls to 1 / e, in seconds.
    """

    span_s: float
    level: float = 0.0
    mean: float = 0.0
    updated_s: float = 0.0

    def set(self, now_s: float, level: float) -> None:
        """Sets the level that holds from now on."""
        self.mean = self.value(now_s)
        self.updated_s = now_s
        self.level = level

    def value(self, now_s: float) -> float:
        """Returns the mean."""
        kept = math.exp((self.updated_s - now_s) / self.span_s)
        return self.level + (self.mean - self.level) * kept
